package org.meadowhollow.model;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One attempt of a task as told to those who ask. Times are milliseconds of the time of day, as the
 * leader's clock had it, right within the bound of the settings; 0 means not yet.
 *
 * @param endReason why it ended, or null while it has not
 */
public record AttemptRecord(
        int attemptNumber,
        String machineName,
        long placedAtMillis,
        long startedAtMillis,
        long endedAtMillis,
        String endReason) {

    AttemptRecord withStart(long millis) {
        return new AttemptRecord(
                attemptNumber, machineName, placedAtMillis, millis, endedAtMillis, endReason);
    }

    AttemptRecord withEnd(long millis, String why) {
        return new AttemptRecord(
                attemptNumber, machineName, placedAtMillis, startedAtMillis, millis, why);
    }

    Map<String, Object> encode() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("attempt", (long) attemptNumber);
        map.put("machine", machineName);
        map.put("placed", placedAtMillis);
        map.put("started", startedAtMillis);
        map.put("ended", endedAtMillis);
        map.put("cause", endReason);
        return map;
    }

    @SuppressWarnings("unchecked")
    static AttemptRecord decode(Object item) {
        Map<String, Object> map = (Map<String, Object>) item;
        return new AttemptRecord(
                ((Number) map.get("attempt")).intValue(),
                (String) map.get("machine"),
                ((Number) map.get("placed")).longValue(),
                ((Number) map.get("started")).longValue(),
                ((Number) map.get("ended")).longValue(),
                (String) map.get("cause"));
    }
}
