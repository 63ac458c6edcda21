package org.meadowhollow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import org.meadowhollow.cli.reservation.ReservationCommand;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.TaskTracer;
import org.meadowhollow.transport.tracing.OtlpTaskTracer;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * The command. Its options are described in code and not by annotations, whose inspection takes
 * longer than all the rest of the command, at every start.
 */
public final class Main implements Callable<Integer> {
    private static final Set<String> LOG_LEVELS = Set.of("error", "info", "debug");
    private static final Set<String> COLLECTOR_URL_SCHEMES = Set.of("http", "https");
    private static final String CONFIG = "--config";
    private static final String CHECK = "--check";
    private static final String TES_LISTEN = "--tes-listen";
    private static final String TES_TOKEN = "--tes-token";
    private static final String TES_CERT = "--tes-cert";
    private static final String TES_KEY = "--tes-key";
    private static final String ORDER_LOG = "--order-log";
    private static final String CALENDAR_LISTEN = "--calendar-listen";
    private static final String CALENDAR_TOKEN = "--calendar-token";
    private static final String CALENDAR_CERT = "--calendar-cert";
    private static final String CALENDAR_KEY = "--calendar-key";
    private static final String CALENDAR_MOST = "--calendar-most";
    private static final String TRACE_OTLP = "--trace-otlp";
    private static final String STANDBY = "--standby";

    /** A hand-over takes one change in the state service. */
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(2);

    private static final String TRAIN_CLASS_ARCHIVE = "--train-class-archive";

    private final CommandSpec spec =
            CommandSpec.wrapWithoutInspection(this)
                    .name("meadowhollow")
                    .versionProvider(new ManifestVersionProvider())
                    .addOption(
                            OptionSpec.builder(CONFIG)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("the platform's settings file")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CHECK)
                                    .description("check the settings and exit")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TES_LISTEN)
                                    .paramLabel("HOST:PORT")
                                    .type(String.class)
                                    .description(
                                            "serve the GA4GH task execution API there (default: not at all)")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TES_TOKEN)
                                    .paramLabel("TEAM=SHA256")
                                    .type(List.class)
                                    .auxiliaryTypes(String.class)
                                    .arity("1")
                                    .description(
                                            "a team's bearer token, by its SHA-256 in hex; may be repeated")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TES_CERT)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("certificate for that API, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TES_KEY)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("key of that certificate, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(ORDER_LOG)
                                    .description(
                                            "log what happens to jobs and tasks, numbered in one order for all nodes")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_LISTEN)
                                    .paramLabel("HOST:PORT")
                                    .type(String.class)
                                    .description(
                                            "take reservations and maintenance windows there (default: not at all)")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_TOKEN)
                                    .paramLabel("operator=SHA256")
                                    .type(List.class)
                                    .auxiliaryTypes(String.class)
                                    .arity("1")
                                    .description(
                                            "an operator's bearer token, by its SHA-256 in hex; may be repeated")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_CERT)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("certificate for that, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_KEY)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("key of that certificate, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_MOST)
                                    .paramLabel("TYPE[/ZONE]=N")
                                    .type(List.class)
                                    .auxiliaryTypes(String.class)
                                    .arity("1")
                                    .description(
                                            "machines of a type to reserve from (default: no bound); may be repeated")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TRACE_OTLP)
                                    .paramLabel("URL")
                                    .type(String.class)
                                    .description(
                                            "send spans of tasks whose clients trace them there, by OTLP over HTTP"
                                                    + " (default: nowhere)")
                                    .build())
                    .addOption(
                            OptionSpec.builder(STANDBY)
                                    .description(
                                            "keep warm what is needed to take over while another node leads, and hand the lead"
                                                    + " over when told to end")
                                    .build())
                    .addOption(OptionSpec.builder(TRAIN_CLASS_ARCHIVE).hidden(true).build())
                    .addOption(
                            OptionSpec.builder("-h", "--help")
                                    .usageHelp(true)
                                    .description("Show this help message and exit.")
                                    .build())
                    .addOption(
                            OptionSpec.builder("-V", "--version")
                                    .versionHelp(true)
                                    .description("Print version information and exit.")
                                    .build());

    private Main() {
        spec.usageMessage()
                .description(
                        "Runs one controller of the meadowhollow cluster scheduler until it is killed.")
                .footer(
                        "",
                        "meadowhollow reserve, window and plan work with the calendar of a running node; see their --help.",
                        "The variable LOG_LEVEL (error, info or debug) sets how much goes to standard error.",
                        TesOptions.TOKENS_VARIABLE
                                + " holds tokens as "
                                + TES_TOKEN
                                + " takes them, separated by blanks.");
    }

    /** The version that the build wrote into the manifest. */
    static final class ManifestVersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"meadowhollow " + (version == null ? "(not packaged)" : version)};
        }
    }

    /**
     * Wrong flags get one line. A class of its own, for the archive of classes takes no lambda of
     * this kind.
     */
    static final class OneLineErrorHandler implements CommandLine.IParameterExceptionHandler {
        @Override
        public int handleParseException(CommandLine.ParameterException wrong, String[] args) {
            System.err.println("meadowhollow: " + wrong.getMessage() + " (see --help)");
            return CommandLine.ExitCode.USAGE;
        }
    }

    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            System.err.println("meadowhollow: LOG_LEVEL is none of error, info, debug");
            System.exit(CommandLine.ExitCode.USAGE);
        }
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.jboss.logging.provider", "slf4j");
        // XNIO and its thread pool would set up the JVM's management, a quarter of the processor
        // time of a start,
        // for beans that nobody reads; without a server for them they go on without.
        System.setProperty("javax.management.builder.initial", "none");
        System.setProperty("jboss.threads.eqe.register-mbean", "false");
        if (ReservationCommand.handles(args)) {
            System.exit(
                    ReservationCommand.run(
                            args,
                            System.getenv(),
                            new PrintWriter(System.out, true),
                            new PrintWriter(System.err, true)));
        }
        CommandLine command = new CommandLine(new Main().spec);
        command.setParameterExceptionHandler(new OneLineErrorHandler());
        int code = command.execute(args);
        if (code != KEEP_RUNNING) {
            System.exit(code);
        }
    }

    /** Not an exit code: the controller's own threads keep the process going. */
    private static final int KEEP_RUNNING = -1;

    @Override
    public Integer call() throws Exception {
        CommandLine.ParseResult given = spec.commandLine().getParseResult();
        if (given.hasMatchedOption(TRAIN_CLASS_ARCHIVE)) {
            ClassArchiveTraining.run();
            return CommandLine.ExitCode.OK;
        }
        Path config = given.matchedOptionValue(CONFIG, null);
        if (config == null) {
            System.err.println("meadowhollow: --config FILE is missing (see --help)");
            return CommandLine.ExitCode.USAGE;
        }
        Settings settings;
        TesOptions tes;
        ReservationOptions calendar;
        URI traces;
        try {
            settings = Settings.read(config);
            tes =
                    TesOptions.parse(
                            given.matchedOptionValue(TES_LISTEN, null),
                            given.matchedOptionValue(TES_TOKEN, List.of()),
                            given.matchedOptionValue(TES_CERT, null),
                            given.matchedOptionValue(TES_KEY, null),
                            System.getenv(),
                            settings);
            calendar =
                    ReservationOptions.fromFlags(
                            given.matchedOptionValue(CALENDAR_LISTEN, null),
                            given.matchedOptionValue(CALENDAR_TOKEN, List.of()),
                            given.matchedOptionValue(CALENDAR_CERT, null),
                            given.matchedOptionValue(CALENDAR_KEY, null),
                            given.matchedOptionValue(CALENDAR_MOST, List.of()),
                            System.getenv());
            traces = parseCollectorUrl(given.matchedOptionValue(TRACE_OTLP, null));
        } catch (Settings.InvalidSettingsException invalidSettingsException) {
            System.err.println("meadowhollow: " + invalidSettingsException.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        if (given.hasMatchedOption(CHECK)) {
            return CommandLine.ExitCode.OK;
        }
        try {
            JobEventLog order =
                    given.hasMatchedOption(ORDER_LOG)
                            ? new JobEventLog(
                                    event ->
                                            LoggerFactory.getLogger(JobEventLog.class)
                                                    .info("{}", event))
                            : JobEventLog.NONE;
            Controller.Builder builder =
                    Controller.builder(settings)
                            .tes(tes)
                            .calendar(calendar)
                            .eventListeners(
                                    new JobEventListeners(
                                            order,
                                            traces == null
                                                    ? TaskTracer.NONE
                                                    : createTracer(
                                                            traces,
                                                            settings.deployment().member())));
            boolean standby = given.hasMatchedOption(STANDBY);
            if (standby) {
                builder.standby(new ManifestVersionProvider().getVersion()[0]);
            }
            Controller controller = builder.start();
            if (standby) {
                Runtime.getRuntime()
                        .addShutdownHook(
                                new Thread(
                                        () -> controller.handOver(HANDOVER_TIMEOUT), "hand-over"));
            }
            // The log counts milliseconds from the start, for formatting the time of day made every
            // start a fifth
            // longer. This line tells what the count was at which time.
            LoggerFactory.getLogger(Main.class)
                    .info("{} runs, at {}", settings.deployment().member(), Instant.now());
        } catch (IOException | RuntimeException failure) {
            System.err.println("meadowhollow: cannot start: " + failure.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        }
        return KEEP_RUNNING;
    }

    /**
     * Only a process that traces loads what this names, and has its library log where all else
     * does.
     */
    private static TaskTracer createTracer(URI collector, String member) {
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        return OtlpTaskTracer.exportingTo(collector, member);
    }

    /**
     * @throws Settings.InvalidSettingsException in one line, which names the flag
     */
    static URI parseCollectorUrl(String url) throws Settings.InvalidSettingsException {
        if (url == null) {
            return null;
        }
        try {
            URI uri = new URI(url);
            if (uri.getHost() != null
                    && uri.getUserInfo() == null
                    && COLLECTOR_URL_SCHEMES.contains(uri.getScheme())) {
                return uri;
            }
        } catch (URISyntaxException notAnAddress) {
            // One message for every wrong address.
        }
        throw new Settings.InvalidSettingsException(
                TRACE_OTLP + " is not of the form http://HOST:PORT or https://HOST:PORT");
    }
}
