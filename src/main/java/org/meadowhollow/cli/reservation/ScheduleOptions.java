package org.meadowhollow.cli.reservation;

import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.Map;
import picocli.CommandLine.Option;

/** The flags of a schedule, for both reservations and maintenance windows. */
final class ScheduleOptions {
    private static final double MILLIS_PER_SECOND = 1000.0;

    @Option(
            names = "--start",
            paramLabel = "TIME",
            description = "first start in local time of the time zone," + " like 2026-12-31T02:00")
    private String start;

    @Option(
            names = "--time-zone",
            paramLabel = "ZONE",
            description = "time zone of the schedule, like Asia/Amman (default: UTC)")
    private String zone;

    @Option(
            names = "--length",
            paramLabel = "DURATION",
            description = "length of each occurrence, like PT2H30M")
    private String length;

    @Option(
            names = "--rule",
            paramLabel = "RRULE",
            description = "recurrence rule of RFC 5545, like FREQ=DAILY" + " (default: once)")
    private String rule;

    /** Adds a field for each flag that was given. */
    void addFields(Map<String, Object> body) throws CommandFailedException {
        putIfGiven(body, "start", start);
        putIfGiven(body, "time_zone", zone);
        putIfGiven(body, "rule", rule);
        if (length != null) {
            body.put("length_s", parseSeconds(length, "--length"));
        }
    }

    static void putIfGiven(Map<String, Object> body, String key, Object value) {
        if (value != null) {
            body.put(key, value);
        }
    }

    /**
     * Converts an ISO 8601 duration to seconds.
     *
     * @throws CommandFailedException with the name of the flag, if the duration is invalid
     */
    static double parseSeconds(String duration, String flag) throws CommandFailedException {
        try {
            return Duration.parse(duration).toMillis() / MILLIS_PER_SECOND;
        } catch (DateTimeParseException invalid) {
            throw new CommandFailedException(flag + " is not a duration like PT2H30M");
        }
    }
}
