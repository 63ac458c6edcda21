package org.meadowhollow.cli.reservation;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The operators' commands {@code reserve}, {@code window} and {@code plan}, which send requests to
 * any node. A process that runs a controller never loads them.
 */
@Command(
        name = "meadowhollow",
        subcommands = {ReserveCommand.class, WindowCommand.class, PlanCommand.class})
public final class ReservationCommand {
    private final Map<String, String> environment;

    private ReservationCommand(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Returns the environment variables of the process. */
    Map<String, String> environment() {
        return environment;
    }

    /** Returns whether the arguments start with one of these commands. */
    public static boolean handles(String[] args) {
        return args.length > 0 && List.of("reserve", "window", "plan").contains(args[0]);
    }

    /**
     * Runs one command.
     *
     * @param environment the environment variables
     * @return the exit code: 0 for success, 1 if refused or not answered, 2 for invalid flags
     */
    public static int run(
            String[] args, Map<String, String> environment, PrintWriter out, PrintWriter err) {
        CommandLine command = new CommandLine(new ReservationCommand(environment));
        command.setOut(out).setErr(err);
        command.setExecutionExceptionHandler(
                (failure, line, parsed) -> {
                    err.println("meadowhollow: " + failure.getMessage());
                    return CommandLine.ExitCode.SOFTWARE;
                });
        return command.execute(args);
    }
}
