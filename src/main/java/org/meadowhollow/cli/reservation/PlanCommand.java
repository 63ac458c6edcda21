package org.meadowhollow.cli.reservation;

import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command {@code plan}. */
@Command(name = "plan", description = "Prints who has what when, as text or as a page.")
final class PlanCommand implements Callable<Integer> {
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
                nodeOptions.sendRequest(
                        parent.environment(), "GET", "plan?hours=" + hours, null, null);
        spec.commandLine().getOut().print(PlanRenderer.render(plan, zone, html));
        spec.commandLine().getOut().flush();
        return CommandLine.ExitCode.OK;
    }
}
