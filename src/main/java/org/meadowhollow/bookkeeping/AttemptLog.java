package org.meadowhollow.bookkeeping;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One attempt of a task as told to those who ask. Times are milliseconds of the time of day, as the
 * leader's clock had it, right within the bound of the settings; 0 means not yet.
 *
 * @param cause why it ended, or null while it has not
 */
public record AttemptLog(
        int attempt,
        String machine,
        long placedMillis,
        long startedMillis,
        long endedMillis,
        String cause) {

    AttemptLog started(long millis) {
        return new AttemptLog(attempt, machine, placedMillis, millis, endedMillis, cause);
    }

    AttemptLog ended(long millis, String why) {
        return new AttemptLog(attempt, machine, placedMillis, startedMillis, millis, why);
    }

    Map<String, Object> encode() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("attempt", (long) attempt);
        map.put("machine", machine);
        map.put("placed", placedMillis);
        map.put("started", startedMillis);
        map.put("ended", endedMillis);
        map.put("cause", cause);
        return map;
    }

    @SuppressWarnings("unchecked")
    static AttemptLog decode(Object item) {
        Map<String, Object> map = (Map<String, Object>) item;
        return new AttemptLog(
                ((Number) map.get("attempt")).intValue(),
                (String) map.get("machine"),
                ((Number) map.get("placed")).longValue(),
                ((Number) map.get("started")).longValue(),
                ((Number) map.get("ended")).longValue(),
                (String) map.get("cause"));
    }
}
