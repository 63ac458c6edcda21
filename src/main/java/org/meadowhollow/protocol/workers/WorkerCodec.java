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
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Malformed;

/** Workers' reports and the orders to them, between their wire names and ours. */
final class WorkerCodec {
    private WorkerCodec() {}

    static Heartbeat report(Fields body) throws Malformed {
        List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
        for (Fields item : body.list("chores")) {
            TaskId id = TaskId.parse(item.text("chore"));
            if (id == null) {
                throw new Malformed("chore is not a task's name");
            }
            TaskState state = state(item.text("phase"));
            tasks.add(
                    new Heartbeat.TaskStatus(
                            id,
                            new AttemptNumber((int) item.count("try")),
                            state,
                            state == TaskState.EXITED ? cause(item.textOrNull("cause")) : null));
        }
        return new Heartbeat(
                new MachineId(body.text("stall")),
                body.text("endpoint"),
                body.text("breed"),
                body.text("field"),
                body.flagOr("loaners", false),
                new WorkerIncarnation(body.count("tenure")),
                body.count("tally"),
                new FencingToken(body.has("baton") ? body.count("baton") : 0),
                body.amountOr("warningS", Double.NaN),
                tasks);
    }

    static List<Map<String, Object>> orders(List<WorkerCommand> orders) {
        List<Map<String, Object>> list = new ArrayList<>(orders.size());
        for (WorkerCommand workerCommand : orders) {
            Map<String, Object> map =
                    Fields.of(
                            "verb",
                            verb(workerCommand.action()),
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

    private static String verb(WorkerCommand.Action action) {
        return switch (action) {
            case START -> "run";
            case STOP -> "halt";
            case FORGET -> "reap";
        };
    }

    private static TaskState state(String phase) throws Malformed {
        return switch (phase) {
            case "pulling" -> TaskState.PULLING_IMAGE;
            case "waiting" -> TaskState.WAITING_FOR_GANG;
            case "running" -> TaskState.RUNNING;
            case "flushing" -> TaskState.CHECKPOINTING;
            case "ended" -> TaskState.EXITED;
            default -> throw new Malformed("unknown phase " + phase);
        };
    }

    private static ExitReason cause(String cause) {
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
