package org.meadowhollow.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command. */
@Command(name = "meadowhollow", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        description = "Runs one controller of the meadowhollow cluster scheduler until it is killed.",
        footer = {"", "The variable LOG_LEVEL (error, info or debug) sets how much goes to standard error."})
public final class Main implements Callable<Integer> {
    private static final Set<String> LEVELS = Set.of("error", "info", "debug");

    @Option(names = "--config", paramLabel = "FILE", description = "the platform's settings file")
    private Path config;

    @Option(names = "--rehearse", hidden = true)
    private boolean rehearse;

    @Option(names = "--check", description = "check the settings and exit")
    private boolean checkOnly;

    /** The version that the build wrote into the manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"meadowhollow " + (version == null ? "(not packaged)" : version)};
        }
    }

    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!LEVELS.contains(level)) {
            System.err.println("meadowhollow: LOG_LEVEL is none of error, info, debug");
            System.exit(CommandLine.ExitCode.USAGE);
        }
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        CommandLine command = new CommandLine(new Main());
        command.setParameterExceptionHandler((wrong, given) -> {
            System.err.println("meadowhollow: " + wrong.getMessage() + " (see --help)");
            return CommandLine.ExitCode.USAGE;
        });
        int code = command.execute(args);
        if (code != RUNNING) {
            System.exit(code);
        }
    }

    /** Not an exit code: the controller's own threads keep the process going. */
    private static final int RUNNING = -1;

    @Override
    public Integer call() throws Exception {
        if (rehearse) {
            Rehearsal.run();
            return CommandLine.ExitCode.OK;
        }
        if (config == null) {
            System.err.println("meadowhollow: --config FILE is missing (see --help)");
            return CommandLine.ExitCode.USAGE;
        }
        Settings settings;
        try {
            settings = Settings.read(config);
        } catch (Settings.Unusable unusable) {
            System.err.println("meadowhollow: " + unusable.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        if (checkOnly) {
            return CommandLine.ExitCode.OK;
        }
        try {
            Controller.builder(settings).start();
        } catch (IOException | RuntimeException failure) {
            System.err.println("meadowhollow: cannot start: " + failure.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        }
        return RUNNING;
    }
}
