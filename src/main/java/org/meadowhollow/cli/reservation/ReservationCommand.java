package org.meadowhollow.cli.reservation;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * What operators do from the command line: {@code reserve}, {@code window} and {@code plan}, sent
 * to any node. Not loaded by a process that runs a controller.
 */
@Command(
        name = "meadowhollow",
        subcommands = {
            ReservationCommand.ReserveCommand.class,
            ReservationCommand.WindowCommand.class,
            ReservationCommand.PlanCommand.class
        })
public final class ReservationCommand {
    private static final String NODE_URL_VARIABLE = "MEADOWHOLLOW_CALENDAR_URL";
    private static final String TOKEN_VARIABLE = "MEADOWHOLLOW_CALENDAR_TOKEN";
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

    /** How often a node's word to come back is followed before it is told to the operator. */
    private static final int MAX_ATTEMPTS = 5;

    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

    private final Map<String, String> environment;

    /** The request was answered otherwise than hoped for, or not at all. */
    private static final class CommandFailedException extends Exception {
        CommandFailedException(String why) {
            super(why, null, false, false);
        }
    }

    private ReservationCommand(Map<String, String> variables) {
        this.environment = variables;
    }

    /** Whether a command line is for these commands. */
    public static boolean handles(String[] args) {
        return args.length > 0 && List.of("reserve", "window", "plan").contains(args[0]);
    }

    /**
     * Runs one command.
     *
     * @param variables the environment
     * @return the exit code: 0 if done, 1 if refused or not answered, 2 for wrong flags
     */
    public static int run(
            String[] args, Map<String, String> variables, PrintWriter out, PrintWriter err) {
        CommandLine command = new CommandLine(new ReservationCommand(variables));
        command.setOut(out).setErr(err);
        command.setExecutionExceptionHandler(
                (failure, line, parsed) -> {
                    err.println("meadowhollow: " + failure.getMessage());
                    return CommandLine.ExitCode.SOFTWARE;
                });
        return command.execute(args);
    }

    /** What all of them need. */
    private static final class NodeOptions {
        @Option(
                names = "--node",
                paramLabel = "URL",
                description =
                        "a node's --calendar-listen address"
                                + " (default: the variable "
                                + NODE_URL_VARIABLE
                                + "); the token is in "
                                + TOKEN_VARIABLE)
        private String node;

        @Option(
                names = {"-h", "--help"},
                usageHelp = true,
                description = "Show this help message and exit.")
        private boolean help;

        private Map<String, Object> sendRequest(
                ReservationCommand command,
                String method,
                String path,
                Long version,
                Map<String, Object> body)
                throws CommandFailedException {
            String base = node != null ? node : command.environment.get(NODE_URL_VARIABLE);
            String token = command.environment.get(TOKEN_VARIABLE);
            if (base == null || token == null) {
                throw new CommandFailedException(
                        "--node or "
                                + NODE_URL_VARIABLE
                                + ", and "
                                + TOKEN_VARIABLE
                                + ", are needed");
            }
            HttpRequest.Builder request;
            try {
                request =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                (base.contains("://") ? base : "http://" + base)
                                                        + "/calendar/v1/"
                                                        + path))
                                .timeout(RESPONSE_TIMEOUT)
                                .header("Authorization", "Bearer " + token);
            } catch (IllegalArgumentException wrong) {
                throw new CommandFailedException(base + " is not a node's address");
            }
            if (version != null) {
                request.header("If-Match", String.valueOf(version));
            }
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofByteArray(JsonCodec.encode(body)));
            return sendWithRetries(request.build());
        }

        /** Every request can be repeated without harm, so that one the node can't take now is. */
        private static Map<String, Object> sendWithRetries(HttpRequest request)
                throws CommandFailedException {
            String why = "no answer";
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                try {
                    HttpResponse<byte[]> reply =
                            HttpClient.newHttpClient()
                                    .send(request, HttpResponse.BodyHandlers.ofByteArray());
                    Map<String, Object> told = JsonCodec.decode(reply.body());
                    if (reply.statusCode() / 100 == 2) {
                        return told;
                    }
                    why = reply.statusCode() + ", " + told.get("error");
                    if (reply.statusCode() != 503) {
                        throw new CommandFailedException(why);
                    }
                    Duration pause =
                            Duration.ofSeconds(
                                    reply.headers().firstValueAsLong("Retry-After").orElse(1));
                    Thread.sleep(
                            (pause.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : pause)
                                    .toMillis());
                } catch (IOException | MalformedMessageException lost) {
                    why =
                            "no answer from "
                                    + request.uri().getAuthority()
                                    + ": "
                                    + lost.getMessage();
                } catch (InterruptedException stopped) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
            throw new CommandFailedException(why);
        }
    }

    /** The parts of a schedule. */
    private static final class ScheduleOptions {
        @Option(
                names = "--start",
                paramLabel = "TIME",
                description =
                        "first start on the clocks of the time zone," + " like 2026-12-31T02:00")
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

        private void put(Map<String, Object> body) throws CommandFailedException {
            put(body, "start", start);
            put(body, "time_zone", zone);
            put(body, "rule", rule);
            if (length != null) {
                body.put("length_s", parseSeconds(length, "--length"));
            }
        }

        private static void put(Map<String, Object> body, String key, Object value) {
            if (value != null) {
                body.put(key, value);
            }
        }

        private static double parseSeconds(String duration, String flag)
                throws CommandFailedException {
            try {
                return Duration.parse(duration).toMillis() / 1000.0;
            } catch (DateTimeParseException wrong) {
                throw new CommandFailedException(flag + " is not a duration like PT2H30M");
            }
        }
    }

    /** What reservations and windows have in common. */
    private abstract static class EntryCommand implements Callable<Integer> {
        @CommandLine.ParentCommand private ReservationCommand parent;
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
        @Mixin private NodeOptions nodeOptions;
        @Mixin private ScheduleOptions scheduleOptions;

        @Parameters(index = "0", paramLabel = "put|show|list|withdraw")
        private String action;

        @Parameters(index = "1", arity = "0..1", paramLabel = "NAME")
        private String name;

        @Option(
                names = "--version",
                paramLabel = "N",
                description = "the version that is meant, to change one")
        private Long version;

        abstract String collectionPath();

        abstract void addFields(Map<String, Object> body) throws CommandFailedException;

        @Override
        public Integer call() throws Exception {
            if ((name == null) != action.equals("list")
                    || !List.of("put", "show", "list", "withdraw").contains(action)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "put, show or withdraw a NAME, or list");
            }
            String path = name == null ? collectionPath() : collectionPath() + '/' + name;
            Map<String, Object> body = null;
            if (action.equals("put")) {
                body = new LinkedHashMap<>();
                scheduleOptions.put(body);
                addFields(body);
            }
            Map<String, Object> told =
                    nodeOptions.sendRequest(
                            parent,
                            action.equals("put")
                                    ? "PUT"
                                    : action.equals("withdraw") ? "DELETE" : "GET",
                            path,
                            version,
                            body);
            spec.commandLine().getOut().println(new String(JsonCodec.encode(told)));
            return CommandLine.ExitCode.OK;
        }
    }

    /** Reservations. */
    @Command(name = "reserve", description = "Reserves room for some jobs of a team.")
    static final class ReserveCommand extends EntryCommand {
        @Option(names = "--team", paramLabel = "TEAM")
        private String team;

        @Option(names = "--tasks", paramLabel = "N", description = "tasks that it has room for")
        private Long tasks;

        @Option(names = "--cpus", paramLabel = "N", description = "of each task")
        private Double cpus;

        @Option(names = "--gpus", paramLabel = "N", description = "of each task")
        private Double gpus;

        @Option(names = "--ram-gb", paramLabel = "N", description = "of each task")
        private Double ramGb;

        @Option(
                names = "--priority",
                paramLabel = "P",
                description =
                        "work below it may be stopped: critical, urgent,"
                                + " normal (default) or idle")
        private String priority;

        @Option(
                names = "--class",
                paramLabel = "CLASS",
                description = "of the jobs that may use it (default: any)")
        private String jobClass;

        @Option(
                names = "--job",
                paramLabel = "ID",
                description = "that may use it (default: any); may be repeated")
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

        @Option(names = "--spot", description = "spot machines will do")
        private Boolean spot;

        @Option(
                names = "--image",
                paramLabel = "IMAGE",
                description = "that the tasks are likely to need")
        private String image;

        @Option(names = "--image-gb", paramLabel = "N", description = "its size")
        private Double imageGb;

        @Override
        String collectionPath() {
            return "reservations";
        }

        @Override
        void addFields(Map<String, Object> body) {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("team", team);
            all.put("tasks", tasks);
            all.put("cpus", cpus);
            all.put("gpus", gpus);
            all.put("ram_gb", ramGb);
            all.put("priority", priority);
            all.put("class", jobClass);
            all.put("jobs", jobs);
            all.put("machine_types", types);
            all.put("zone", zone);
            all.put("spot", spot);
            all.put("image", image);
            all.put("image_gb", imageGb);
            all.forEach((key, value) -> ScheduleOptions.put(body, key, value));
        }
    }

    /** Maintenance windows. */
    @Command(name = "window", description = "Declares when machines are out.")
    static final class WindowCommand extends EntryCommand {
        @Option(
                names = "--machine",
                paramLabel = "NAME",
                description = "that is out; may be repeated")
        private List<String> machines;

        @Option(
                names = "--type",
                paramLabel = "TYPE",
                description = "whose machines are out; may be repeated")
        private List<String> types;

        @Option(
                names = "--zone",
                paramLabel = "ZONE",
                description = "whose machines are out; may be repeated")
        private List<String> zones;

        @Option(
                names = "--notice",
                paramLabel = "DURATION",
                description = "how long before it services begin to move")
        private String notice;

        @Override
        String collectionPath() {
            return "windows";
        }

        @Override
        void addFields(Map<String, Object> body) throws CommandFailedException {
            ScheduleOptions.put(body, "machines", machines);
            ScheduleOptions.put(body, "machine_types", types);
            ScheduleOptions.put(body, "zones", zones);
            if (notice != null) {
                body.put("notice_s", ScheduleOptions.parseSeconds(notice, "--notice"));
            }
        }
    }

    /** Who has what when. */
    @Command(name = "plan", description = "Prints who has what when, as text or as a page.")
    static final class PlanCommand implements Callable<Integer> {
        @CommandLine.ParentCommand private ReservationCommand parent;
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
        @Mixin private NodeOptions nodeOptions;

        @Option(names = "--hours", paramLabel = "N", description = "how far ahead (default: 48)")
        private int hours = 48;

        @Option(names = "--html", description = "a page instead of text")
        private boolean html;

        @Option(
                names = "--time-zone",
                paramLabel = "ZONE",
                description = "whose clocks times are told by (default: UTC)")
        private String zone = "UTC";

        @Override
        public Integer call() throws Exception {
            Map<String, Object> plan =
                    nodeOptions.sendRequest(parent, "GET", "plan?hours=" + hours, null, null);
            spec.commandLine().getOut().print(PlanRenderer.render(plan, zone, html));
            spec.commandLine().getOut().flush();
            return CommandLine.ExitCode.OK;
        }
    }
}
