package org.meadowhollow.cli.reservation;

import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.Map;
import picocli.CommandLine.Option;

/** The flags of a schedule, which reservations and maintenance windows share. */
final class ScheduleOptions {
    private static final double MILLIS_PER_SECOND = 1000.0;

    @Option(
            names = "--start",
            paramLabel = "TIME",
            description = "first start on the clocks of the time zone," + " like 2026-12-31T02:00")
    private String start;

    @Option(
            names = "--time-zone",
            paramLabel = "ZONE",
            description = "like Asia/Amman (default: UTC)")
    private String zone;

    @Option(names = "--length", paramLabel = "DURATION", description = "like PT2H30M")
    private String length;

    @Option(
            names = "--rule",
            paramLabel = "RRULE",
            description = "how it repeats, by RFC 5545, like FREQ=DAILY" + " (default: once)")
    private String rule;

    /** Adds the fields of the flags that were given. */
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
     * Parses an ISO 8601 duration to seconds.
     *
     * @throws CommandFailedException naming the flag, if it is none
     */
    static double parseSeconds(String duration, String flag) throws CommandFailedException {
        try {
            return Duration.parse(duration).toMillis() / MILLIS_PER_SECOND;
        } catch (DateTimeParseException invalid) {
            throw new CommandFailedException(flag + " is not a duration like PT2H30M");
        }
    }
}
