package org.meadowhollow.protocol.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.meadowhollow.bookkeeping.Attempt;
import org.meadowhollow.bookkeeping.Cause;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Order;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.bookkeeping.Session;
import org.meadowhollow.bookkeeping.TaskId;
import org.meadowhollow.bookkeeping.TaskState;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Malformed;

/** Workers' reports and the orders to them, between their wire names and ours. */
final class WorkerCodec {
    private WorkerCodec() {}

    static Report report(Fields body) throws Malformed {
        List<Report.Task> tasks = new ArrayList<>();
        for (Fields item : body.list("chores")) {
            TaskId id = TaskId.parse(item.text("chore"));
            if (id == null) {
                throw new Malformed("chore is not a task's name");
            }
            TaskState state = state(item.text("phase"));
            tasks.add(
                    new Report.Task(
                            id,
                            new Attempt((int) item.count("try")),
                            state,
                            state == TaskState.EXITED ? cause(item.textOrNull("cause")) : null));
        }
        return new Report(
                new MachineId(body.text("stall")),
                body.text("endpoint"),
                body.text("breed"),
                body.text("field"),
                body.flagOr("loaners", false),
                new Session(body.count("tenure")),
                body.count("tally"),
                new Term(body.has("baton") ? body.count("baton") : 0),
                body.amountOr("warningS", Double.NaN),
                tasks);
    }

    static List<Map<String, Object>> orders(List<Order> orders) {
        List<Map<String, Object>> list = new ArrayList<>(orders.size());
        for (Order order : orders) {
            Map<String, Object> map =
                    Fields.of(
                            "verb",
                            verb(order.op()),
                            "chore",
                            order.task().toString(),
                            "try",
                            (long) order.attempt().value());
            if (order.op() == Order.Op.STOP) {
                map.put("leewayS", order.graceS());
            }
            list.add(map);
        }
        return list;
    }

    private static String verb(Order.Op op) {
        return switch (op) {
            case START -> "run";
            case STOP -> "halt";
            case FORGET -> "reap";
        };
    }

    private static TaskState state(String phase) throws Malformed {
        return switch (phase) {
            case "pulling" -> TaskState.FETCHING;
            case "waiting" -> TaskState.WAITING;
            case "running" -> TaskState.RUNNING;
            case "flushing" -> TaskState.SAVING;
            case "ended" -> TaskState.EXITED;
            default -> throw new Malformed("unknown phase " + phase);
        };
    }

    private static Cause cause(String cause) {
        return switch (cause == null ? "" : cause) {
            case "done" -> Cause.DONE;
            case "stopped" -> Cause.STOPPED;
            case "peers" -> Cause.PEERS;
            case "incomplete" -> Cause.ALONE;
            case "no_room" -> Cause.NO_ROOM;
            case "in_use" -> Cause.BUSY;
            case "unknown" -> Cause.UNKNOWN;
            // A cause that this version does not know is some failure.
            default -> Cause.ERROR;
        };
    }
}
