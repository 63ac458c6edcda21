package org.meadowhollow.cli.reservation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.meadowhollow.protocol.JsonCodec;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A command that manages one kind of calendar entry: reservations or maintenance windows. */
abstract class EntryCommand implements Callable<Integer> {
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
            description = "the version that a change expects")
    private Long version;

    /** Returns the path of the collection of entries, below the path of the API. */
    abstract String collectionPath();

    /** Adds a field for each flag that was given, except those of the schedule. */
    abstract void addFields(Map<String, Object> body) throws CommandFailedException;

    // Known defect: the response is UTF-8 but is decoded in the platform's charset.
    @SuppressWarnings("DefaultCharset")
    @Override
    public Integer call() throws Exception {
        if ((name == null) != action.equals("list")
                || !List.of("put", "show", "list", "withdraw").contains(action)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(),
                    "expected put, show or withdraw with a NAME, or list without one");
        }
        String path = name == null ? collectionPath() : collectionPath() + '/' + name;
        Map<String, Object> body = null;
        if (action.equals("put")) {
            body = new LinkedHashMap<>();
            scheduleOptions.addFields(body);
            addFields(body);
        }
        Map<String, Object> answer =
                nodeOptions.sendRequest(parent.environment(), httpMethod(), path, version, body);
        spec.commandLine().getOut().println(new String(JsonCodec.encode(answer)));
        return CommandLine.ExitCode.OK;
    }

    private String httpMethod() {
        return switch (action) {
            case "put" -> "PUT";
            case "withdraw" -> "DELETE";
            default -> "GET";
        };
    }
}
