package org.meadowhollow.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.Charset;
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
 * The command that runs a controller. Its options are declared in code because the inspection of
 * annotations would take longer than the rest of the command at every start.
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

    /** The limit of the wait for a handover, which takes one transaction of the key-value store. */
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
                                            "serve the GA4GH task execution API on this address (default: not served)")
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
                                    .description("certificate for --tes-listen, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TES_KEY)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("the private key of that certificate, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(ORDER_LOG)
                                    .description(
                                            "log the events of jobs and tasks, numbered in one order across all nodes")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_LISTEN)
                                    .paramLabel("HOST:PORT")
                                    .type(String.class)
                                    .description(
                                            "serve the API for reservations and maintenance windows on this address"
                                                    + " (default: not served)")
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
                                    .description("certificate for --calendar-listen, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_KEY)
                                    .paramLabel("FILE")
                                    .type(Path.class)
                                    .description("the private key of that certificate, in PEM")
                                    .build())
                    .addOption(
                            OptionSpec.builder(CALENDAR_MOST)
                                    .paramLabel("TYPE[/ZONE]=N")
                                    .type(List.class)
                                    .auxiliaryTypes(String.class)
                                    .arity("1")
                                    .description(
                                            "the most machines of a type that reservations may use (default: no limit);"
                                                    + " may be repeated")
                                    .build())
                    .addOption(
                            OptionSpec.builder(TRACE_OTLP)
                                    .paramLabel("URL")
                                    .type(String.class)
                                    .description(
                                            "send spans to this collector by OTLP over HTTP, for tasks whose clients trace"
                                                    + " them (default: not sent)")
                                    .build())
                    .addOption(
                            OptionSpec.builder(STANDBY)
                                    .description(
                                            "keep the state that a takeover needs loaded while another node leads, and hand"
                                                    + " over the leadership on shutdown")
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
                        "meadowhollow reserve, window and plan manage the reservations and maintenance windows of a"
                                + " running cluster; see their --help.",
                        "The variable LOG_LEVEL (error, info or debug) sets the level of the log on standard error.",
                        TesOptions.TOKENS_VARIABLE
                                + " holds tokens as "
                                + TES_TOKEN
                                + " takes them, separated by blanks.");
    }

    /** Reads the version that the build wrote into the manifest. */
    static final class ManifestVersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"meadowhollow " + (version == null ? "(not packaged)" : version)};
        }
    }

    /**
     * Reports invalid flags in one line. It is a named class because the class archive cannot hold
     * the lambda expression in its place.
     */
    static final class OneLineErrorHandler implements CommandLine.IParameterExceptionHandler {
        @Override
        public int handleParseException(CommandLine.ParameterException wrong, String[] args) {
            System.err.println("meadowhollow: " + wrong.getMessage() + " (see --help)");
            return CommandLine.ExitCode.USAGE;
        }
    }

    /** Runs the command and exits, unless it started a controller. */
    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            System.err.println("meadowhollow: LOG_LEVEL is none of error, info, debug");
            System.exit(CommandLine.ExitCode.USAGE);
        }
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.jboss.logging.provider", "slf4j");
        // XNIO and its thread pool would start the JVM's management to register MBeans that nobody
        // reads, which takes a quarter of the processor time of a start. Without an MBean server
        // they skip the registration.
        System.setProperty("javax.management.builder.initial", "none");
        System.setProperty("jboss.threads.eqe.register-mbean", "false");
        if (ReservationCommand.handles(args)) {
            System.exit(
                    ReservationCommand.run(
                            args,
                            System.getenv(),
                            new PrintWriter(System.out, true, Charset.defaultCharset()),
                            new PrintWriter(System.err, true, Charset.defaultCharset())));
        }
        CommandLine command = new CommandLine(new Main().spec);
        command.setParameterExceptionHandler(new OneLineErrorHandler());
        int code = command.execute(args);
        if (code != KEEP_RUNNING) {
            System.exit(code);
        }
    }

    /**
     * The result of a command that started a controller, not an exit code: the process keeps
     * running, kept alive by the controller's threads.
     */
    private static final int KEEP_RUNNING = -1;

    /**
     * The validated values of the settings file, the flags and the environment.
     *
     * @param tes the task execution API, or null if it is not served
     * @param reservations the reservation API, or null if it is not served
     * @param traceCollector the URL of the trace collector, or null if tracing is disabled
     */
    private record Options(
            Settings settings,
            TesOptions tes,
            ReservationOptions reservations,
            URI traceCollector) {}

    /** Runs the command; returns its exit code, or {@link #KEEP_RUNNING} if a controller runs. */
    @Override
    public Integer call() throws Exception {
        CommandLine.ParseResult flags = spec.commandLine().getParseResult();
        if (flags.hasMatchedOption(TRAIN_CLASS_ARCHIVE)) {
            ClassArchiveTraining.run();
            return CommandLine.ExitCode.OK;
        }
        Path config = flags.matchedOptionValue(CONFIG, null);
        if (config == null) {
            System.err.println("meadowhollow: --config FILE is missing (see --help)");
            return CommandLine.ExitCode.USAGE;
        }
        Options options;
        try {
            options = readOptions(config, flags);
        } catch (Settings.InvalidSettingsException invalidSettingsException) {
            System.err.println("meadowhollow: " + invalidSettingsException.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        if (flags.hasMatchedOption(CHECK)) {
            return CommandLine.ExitCode.OK;
        }
        try {
            start(options, flags);
        } catch (IOException | RuntimeException failure) {
            System.err.println("meadowhollow: cannot start: " + failure.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        }
        return KEEP_RUNNING;
    }

    private static Options readOptions(Path config, CommandLine.ParseResult flags)
            throws Settings.InvalidSettingsException {
        Settings settings = Settings.read(config);
        TesOptions tes =
                TesOptions.parse(
                        flags.matchedOptionValue(TES_LISTEN, null),
                        flags.matchedOptionValue(TES_TOKEN, List.of()),
                        flags.matchedOptionValue(TES_CERT, null),
                        flags.matchedOptionValue(TES_KEY, null),
                        System.getenv(),
                        settings);
        ReservationOptions reservations =
                ReservationOptions.fromFlags(
                        flags.matchedOptionValue(CALENDAR_LISTEN, null),
                        flags.matchedOptionValue(CALENDAR_TOKEN, List.of()),
                        flags.matchedOptionValue(CALENDAR_CERT, null),
                        flags.matchedOptionValue(CALENDAR_KEY, null),
                        flags.matchedOptionValue(CALENDAR_MOST, List.of()),
                        System.getenv());
        return new Options(
                settings,
                tes,
                reservations,
                parseCollectorUrl(flags.matchedOptionValue(TRACE_OTLP, null)));
    }

    private static void start(Options options, CommandLine.ParseResult flags) throws IOException {
        String member = options.settings().deployment().member();
        Controller.Builder builder =
                Controller.builder(options.settings())
                        .tes(options.tes())
                        .calendar(options.reservations())
                        .eventListeners(newEventListeners(options, flags, member));
        boolean standby = flags.hasMatchedOption(STANDBY);
        if (standby) {
            builder.standby(new ManifestVersionProvider().getVersion()[0]);
        }
        Controller controller = builder.start();
        if (standby) {
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(() -> controller.handOver(HANDOVER_TIMEOUT), "hand-over"));
        }
        // Log lines show milliseconds since the start, because formatting the time of day made
        // every start a fifth longer. This line ties that count to the time of day.
        LoggerFactory.getLogger(Main.class)
                .info("controller started node={} time={}", member, Instant.now());
    }

    private static JobEventListeners newEventListeners(
            Options options, CommandLine.ParseResult flags, String member) {
        JobEventLog eventLog =
                flags.hasMatchedOption(ORDER_LOG)
                        ? new JobEventLog(
                                event ->
                                        LoggerFactory.getLogger(JobEventLog.class)
                                                .info("{}", event))
                        : JobEventLog.NONE;
        TaskTracer tracer =
                options.traceCollector() == null
                        ? TaskTracer.NONE
                        : createTracer(options.traceCollector(), member);
        return new JobEventListeners(eventLog, tracer);
    }

    /**
     * Creates the tracer and redirects the log of its library to SLF4J. Only a process with tracing
     * enabled loads the classes that this method uses.
     */
    private static TaskTracer createTracer(URI collector, String member) {
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        return OtlpTaskTracer.exportingTo(collector, member);
    }

    /**
     * Parses the URL of the trace collector; null if none is given.
     *
     * @throws Settings.InvalidSettingsException with a one-line message that names the flag
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
            // Reported below, with the same message as every other invalid URL.
        }
        throw new Settings.InvalidSettingsException(
                TRACE_OTLP + " is not of the form http://HOST:PORT or https://HOST:PORT");
    }
}
