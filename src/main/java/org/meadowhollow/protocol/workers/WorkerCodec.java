package org.meadowhollow.protocol.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.model.TaskState;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/** Workers' reports and the orders to them, between their wire names and ours. */
final class WorkerCodec {
    private WorkerCodec() {}

    static Heartbeat decodeHeartbeat(MessageReader body) throws MalformedMessageException {
        List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
        for (MessageReader item : body.nestedList("chores")) {
            TaskId id = TaskId.parse(item.string("chore"));
            if (id == null) {
                throw new MalformedMessageException("chore is not a task's name");
            }
            TaskState state = decodeTaskState(item.string("phase"));
            tasks.add(
                    new Heartbeat.TaskStatus(
                            id,
                            new AttemptNumber((int) item.nonNegativeLong("try")),
                            state,
                            state == TaskState.EXITED
                                    ? decodeExitReason(item.stringOrNull("cause"))
                                    : null));
        }
        return new Heartbeat(
                new MachineId(body.string("stall")),
                body.string("endpoint"),
                body.string("breed"),
                body.string("field"),
                body.booleanOr("loaners", false),
                new WorkerIncarnation(body.nonNegativeLong("tenure")),
                body.nonNegativeLong("tally"),
                new FencingToken(body.has("baton") ? body.nonNegativeLong("baton") : 0),
                body.nonNegativeDoubleOr("warningS", Double.NaN),
                tasks);
    }

    static List<Map<String, Object>> encodeCommands(List<WorkerCommand> orders) {
        List<Map<String, Object>> list = new ArrayList<>(orders.size());
        for (WorkerCommand workerCommand : orders) {
            Map<String, Object> map =
                    MessageReader.mapOf(
                            "verb",
                            wireWordOfAction(workerCommand.action()),
                            "chore",
                            workerCommand.taskId().toString(),
                            "try",
                            (long) workerCommand.attemptNumber().value());
            if (workerCommand.action() == WorkerCommand.Action.STOP) {
                map.put("leewayS", workerCommand.graceSeconds());
            }
            list.add(map);
        }
        return list;
    }

    private static String wireWordOfAction(WorkerCommand.Action action) {
        return switch (action) {
            case START -> "run";
            case STOP -> "halt";
            case FORGET -> "reap";
        };
    }

    private static TaskState decodeTaskState(String phase) throws MalformedMessageException {
        return switch (phase) {
            case "pulling" -> TaskState.PULLING_IMAGE;
            case "waiting" -> TaskState.WAITING_FOR_GANG;
            case "running" -> TaskState.RUNNING;
            case "flushing" -> TaskState.CHECKPOINTING;
            case "ended" -> TaskState.EXITED;
            default -> throw new MalformedMessageException("unknown phase " + phase);
        };
    }

    private static ExitReason decodeExitReason(String cause) {
        return switch (cause == null ? "" : cause) {
            case "done" -> ExitReason.DONE;
            case "stopped" -> ExitReason.STOPPED;
            case "peers" -> ExitReason.PEERS;
            case "incomplete" -> ExitReason.ALONE;
            case "no_room" -> ExitReason.NO_ROOM;
            case "in_use" -> ExitReason.BUSY;
            case "unknown" -> ExitReason.UNKNOWN;
            // A cause that this version does not know is some failure.
            default -> ExitReason.ERROR;
        };
    }
}
