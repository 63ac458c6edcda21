package org.meadowhollow.cli.reservation;

import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code window}, which manages maintenance windows. */
@Command(
        name = "window",
        description = "Manages maintenance windows, in which machines are out of service.")
final class WindowCommand extends EntryCommand {
    @Option(
            names = "--machine",
            paramLabel = "NAME",
            description = "machine that is out of service; may be repeated")
    private List<String> machines;

    @Option(
            names = "--type",
            paramLabel = "TYPE",
            description = "machine type that is out of service; may be repeated")
    private List<String> types;

    @Option(
            names = "--zone",
            paramLabel = "ZONE",
            description = "zone that is out of service; may be repeated")
    private List<String> zones;

    @Option(
            names = "--notice",
            paramLabel = "DURATION",
            description = "time before the window at which services begin to move")
    private String notice;

    @Override
    String collectionPath() {
        return "windows";
    }

    @Override
    void addFields(Map<String, Object> body) throws CommandFailedException {
        ScheduleOptions.putIfGiven(body, "machines", machines);
        ScheduleOptions.putIfGiven(body, "machine_types", types);
        ScheduleOptions.putIfGiven(body, "zones", zones);
        if (notice != null) {
            body.put("notice_s", ScheduleOptions.parseSeconds(notice, "--notice"));
        }
    }
}
