package org.meadowhollow.cli.reservation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code reserve}, which manages reservations. */
@Command(name = "reserve", description = "Manages reservations of capacity for jobs of a team.")
final class ReserveCommand extends EntryCommand {
    @Option(names = "--team", paramLabel = "TEAM")
    private String team;

    @Option(names = "--tasks", paramLabel = "N", description = "number of tasks to reserve for")
    private Long tasks;

    @Option(names = "--cpus", paramLabel = "N", description = "CPUs of each task")
    private Double cpus;

    @Option(names = "--gpus", paramLabel = "N", description = "GPUs of each task")
    private Double gpus;

    @Option(names = "--ram-gb", paramLabel = "N", description = "memory of each task, in GB")
    private Double ramGb;

    @Option(
            names = "--priority",
            paramLabel = "P",
            description =
                    "tasks of a lower priority may be preempted: critical, urgent,"
                            + " normal (default) or idle")
    private String priority;

    @Option(
            names = "--class",
            paramLabel = "CLASS",
            description = "class of the jobs that may use the reservation (default: any)")
    private String jobClass;

    @Option(
            names = "--job",
            paramLabel = "ID",
            description = "job that may use the reservation (default: any); may be repeated")
    private List<String> jobs;

    @Option(
            names = "--type",
            paramLabel = "TYPE",
            description = "allowed machine type (default: any); may be repeated")
    private List<String> types;

    @Option(
            names = "--zone",
            paramLabel = "ZONE",
            description = "the only allowed zone (default: any)")
    private String zone;

    @Option(names = "--spot", description = "allow spot machines")
    private Boolean spot;

    @Option(
            names = "--image",
            paramLabel = "IMAGE",
            description = "container image that the tasks are likely to need")
    private String image;

    @Option(names = "--image-gb", paramLabel = "N", description = "size of the image, in GB")
    private Double imageGb;

    @Override
    String collectionPath() {
        return "reservations";
    }

    @Override
    void addFields(Map<String, Object> body) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("team", team);
        fields.put("tasks", tasks);
        fields.put("cpus", cpus);
        fields.put("gpus", gpus);
        fields.put("ram_gb", ramGb);
        fields.put("priority", priority);
        fields.put("class", jobClass);
        fields.put("jobs", jobs);
        fields.put("machine_types", types);
        fields.put("zone", zone);
        fields.put("spot", spot);
        fields.put("image", image);
        fields.put("image_gb", imageGb);
        fields.forEach((key, value) -> ScheduleOptions.putIfGiven(body, key, value));
    }
}
