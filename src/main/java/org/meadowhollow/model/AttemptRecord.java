package org.meadowhollow.model;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An attempt of a task, as shown to users. Times are milliseconds of the leader's wall-clock time,
 * which is accurate to within the bound given in the settings; 0 means that the event has not
 * happened. Field names are part of the persisted format.
 *
 * @param machineName the name of the machine that the task was placed on
 * @param endReason the stored name for the reason of the attempt's end, or null while it has not
 *     ended
 */
public record AttemptRecord(
        int attemptNumber,
        String machineName,
        long placedAtMillis,
        long startedAtMillis,
        long endedAtMillis,
        String endReason) {
    private static final String ATTEMPT_NUMBER = "attempt";
    private static final String MACHINE_NAME = "machine";
    private static final String PLACED_AT_MILLIS = "placed";
    private static final String STARTED_AT_MILLIS = "started";
    private static final String ENDED_AT_MILLIS = "ended";
    private static final String END_REASON = "cause";

    AttemptRecord withStart(long millis) {
        return new AttemptRecord(
                attemptNumber, machineName, placedAtMillis, millis, endedAtMillis, endReason);
    }

    AttemptRecord withEnd(long millis, String reason) {
        return new AttemptRecord(
                attemptNumber, machineName, placedAtMillis, startedAtMillis, millis, reason);
    }

    Map<String, Object> encode() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(ATTEMPT_NUMBER, (long) attemptNumber);
        fields.put(MACHINE_NAME, machineName);
        fields.put(PLACED_AT_MILLIS, placedAtMillis);
        fields.put(STARTED_AT_MILLIS, startedAtMillis);
        fields.put(ENDED_AT_MILLIS, endedAtMillis);
        fields.put(END_REASON, endReason);
        return fields;
    }

    @SuppressWarnings("unchecked") // The store's codec decodes maps with string keys.
    static AttemptRecord decode(Object encoded) {
        Map<String, Object> fields = (Map<String, Object>) encoded;
        return new AttemptRecord(
                ((Number) fields.get(ATTEMPT_NUMBER)).intValue(),
                (String) fields.get(MACHINE_NAME),
                ((Number) fields.get(PLACED_AT_MILLIS)).longValue(),
                ((Number) fields.get(STARTED_AT_MILLIS)).longValue(),
                ((Number) fields.get(ENDED_AT_MILLIS)).longValue(),
                (String) fields.get(END_REASON));
    }
}
