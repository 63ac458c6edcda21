package org.meadowhollow.cli.reservation;

import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command {@code plan}, which prints the reservations and maintenance windows ahead. */
@Command(
        name = "plan",
        description =
                "Prints the reservations and maintenance windows of the hours ahead, as text or HTML.")
final class PlanCommand implements Callable<Integer> {
    @CommandLine.ParentCommand private ReservationCommand parent;
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;
    @Mixin private NodeOptions nodeOptions;

    @Option(names = "--hours", paramLabel = "N", description = "how many hours ahead (default: 48)")
    private int hours = 48;

    @Option(names = "--html", description = "print an HTML page instead of text")
    private boolean html;

    @Option(
            names = "--time-zone",
            paramLabel = "ZONE",
            description = "time zone in which times are shown (default: UTC)")
    private String zone = "UTC";

    @Override
    public Integer call() throws Exception {
        Map<String, Object> plan =
                nodeOptions.sendRequest(
                        parent.environment(), "GET", "plan?hours=" + hours, null, null);
        spec.commandLine().getOut().print(PlanRenderer.render(plan, zone, html));
        spec.commandLine().getOut().flush();
        return CommandLine.ExitCode.OK;
    }
}
