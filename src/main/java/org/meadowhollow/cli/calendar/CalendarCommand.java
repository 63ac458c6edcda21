package org.meadowhollow.cli.calendar;

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
import org.meadowhollow.protocol.Json;
import org.meadowhollow.protocol.Malformed;
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
            CalendarCommand.Reserve.class,
            CalendarCommand.Windows.class,
            CalendarCommand.ShowPlan.class
        })
public final class CalendarCommand {
    private static final String NODE = "MEADOWHOLLOW_CALENDAR_URL";
    private static final String TOKEN = "MEADOWHOLLOW_CALENDAR_TOKEN";
    private static final Duration ANSWER = Duration.ofSeconds(10);

    /** How often a node's word to come back is followed before it is told to the operator. */
    private static final int MOST_TRIES = 5;

    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(5);

    private final Map<String, String> variables;

    /** The request was answered otherwise than hoped for, or not at all. */
    private static final class Failed extends Exception {
        Failed(String why) {
            super(why, null, false, false);
        }
    }

    private CalendarCommand(Map<String, String> variables) {
        this.variables = variables;
    }

    /** Whether a command line is for these commands. */
    public static boolean isMeant(String[] args) {
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
        CommandLine command = new CommandLine(new CalendarCommand(variables));
        command.setOut(out).setErr(err);
        command.setExecutionExceptionHandler(
                (failure, line, parsed) -> {
                    err.println("meadowhollow: " + failure.getMessage());
                    return CommandLine.ExitCode.SOFTWARE;
                });
        return command.execute(args);
    }

    /** What all of them need. */
    private static final class Common {
        @Option(
                names = "--node",
                paramLabel = "URL",
                description =
                        "a node's --calendar-listen address"
                                + " (default: the variable "
                                + NODE
                                + "); the token is in "
                                + TOKEN)
        private String node;

        @Option(
                names = {"-h", "--help"},
                usageHelp = true,
                description = "Show this help message and exit.")
        private boolean help;

        private Map<String, Object> ask(
                CalendarCommand command,
                String method,
                String path,
                Long version,
                Map<String, Object> body)
                throws Failed {
            String base = node != null ? node : command.variables.get(NODE);
            String token = command.variables.get(TOKEN);
            if (base == null || token == null) {
                throw new Failed("--node or " + NODE + ", and " + TOKEN + ", are needed");
            }
            HttpRequest.Builder request;
            try {
                request =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                (base.contains("://") ? base : "http://" + base)
                                                        + "/calendar/v1/"
                                                        + path))
                                .timeout(ANSWER)
                                .header("Authorization", "Bearer " + token);
            } catch (IllegalArgumentException wrong) {
                throw new Failed(base + " is not a node's address");
            }
            if (version != null) {
                request.header("If-Match", String.valueOf(version));
            }
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofByteArray(Json.encode(body)));
            return answer(request.build());
        }

        /** Every request can be repeated without harm, so that one the node can't take now is. */
        private static Map<String, Object> answer(HttpRequest request) throws Failed {
            String why = "no answer";
            for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
                try {
                    HttpResponse<byte[]> reply =
                            HttpClient.newHttpClient()
                                    .send(request, HttpResponse.BodyHandlers.ofByteArray());
                    Map<String, Object> told = Json.decode(reply.body());
                    if (reply.statusCode() / 100 == 2) {
                        return told;
                    }
                    why = reply.statusCode() + ", " + told.get("error");
                    if (reply.statusCode() != 503) {
                        throw new Failed(why);
                    }
                    Duration pause =
                            Duration.ofSeconds(
                                    reply.headers().firstValueAsLong("Retry-After").orElse(1));
                    Thread.sleep(
                            (pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause)
                                    .toMillis());
                } catch (IOException | Malformed lost) {
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
            throw new Failed(why);
        }
    }

    /** The parts of a schedule. */
    private static final class When {
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

        private void put(Map<String, Object> body) throws Failed {
            put(body, "start", start);
            put(body, "time_zone", zone);
            put(body, "rule", rule);
            if (length != null) {
                body.put("length_s", seconds(length, "--length"));
            }
        }

        private static void put(Map<String, Object> body, String key, Object value) {
            if (value != null) {
                body.put(key, value);
            }
        }

        private static double seconds(String duration, String flag) throws Failed {
            try {
                return Duration.parse(duration).toMillis() / 1000.0;
            } catch (DateTimeParseException wrong) {
                throw new Failed(flag + " is not a duration like PT2H30M");
            }
        }
    }

    /** What reservations and windows have in common. */
    private abstract static class Entries implements Callable<Integer> {
        @CommandLine.ParentCommand private CalendarCommand parent;
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
        @Mixin private Common common;
        @Mixin private When when;

        @Parameters(index = "0", paramLabel = "put|show|list|withdraw")
        private String what;

        @Parameters(index = "1", arity = "0..1", paramLabel = "NAME")
        private String name;

        @Option(
                names = "--version",
                paramLabel = "N",
                description = "the version that is meant, to change one")
        private Long version;

        abstract String path();

        abstract void fields(Map<String, Object> body) throws Failed;

        @Override
        public Integer call() throws Exception {
            if ((name == null) != what.equals("list")
                    || !List.of("put", "show", "list", "withdraw").contains(what)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "put, show or withdraw a NAME, or list");
            }
            String path = name == null ? path() : path() + '/' + name;
            Map<String, Object> body = null;
            if (what.equals("put")) {
                body = new LinkedHashMap<>();
                when.put(body);
                fields(body);
            }
            Map<String, Object> told =
                    common.ask(
                            parent,
                            what.equals("put") ? "PUT" : what.equals("withdraw") ? "DELETE" : "GET",
                            path,
                            version,
                            body);
            spec.commandLine().getOut().println(new String(Json.encode(told)));
            return CommandLine.ExitCode.OK;
        }
    }

    /** Reservations. */
    @Command(name = "reserve", description = "Reserves room for some jobs of a team.")
    static final class Reserve extends Entries {
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
        String path() {
            return "reservations";
        }

        @Override
        void fields(Map<String, Object> body) {
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
            all.forEach((key, value) -> When.put(body, key, value));
        }
    }

    /** Maintenance windows. */
    @Command(name = "window", description = "Declares when machines are out.")
    static final class Windows extends Entries {
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
        String path() {
            return "windows";
        }

        @Override
        void fields(Map<String, Object> body) throws Failed {
            When.put(body, "machines", machines);
            When.put(body, "machine_types", types);
            When.put(body, "zones", zones);
            if (notice != null) {
                body.put("notice_s", When.seconds(notice, "--notice"));
            }
        }
    }

    /** Who has what when. */
    @Command(name = "plan", description = "Prints who has what when, as text or as a page.")
    static final class ShowPlan implements Callable<Integer> {
        @CommandLine.ParentCommand private CalendarCommand parent;
        @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
        @Mixin private Common common;

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
            Map<String, Object> plan = common.ask(parent, "GET", "plan?hours=" + hours, null, null);
            spec.commandLine().getOut().print(PlanPage.render(plan, zone, html));
            spec.commandLine().getOut().flush();
            return CommandLine.ExitCode.OK;
        }
    }
}
