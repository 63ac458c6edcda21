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
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/**
 * Decodes heartbeats of workers and encodes commands to them. The platform's names for fields and
 * states are confined to this class. Stateless.
 */
final class WorkerCodec {
    private static final String MACHINE_ID = "stall";
    private static final String ADDRESS = "endpoint";
    private static final String MACHINE_TYPE = "breed";
    private static final String ZONE = "field";
    private static final String IS_SPOT = "loaners";
    private static final String INCARNATION = "tenure";
    private static final String SEQUENCE_NUMBER = "tally";
    private static final String FENCING_TOKEN = "baton";
    private static final String PREEMPTION_NOTICE_SECONDS = "warningS";
    private static final String TASKS = "chores";
    private static final String TASK_ID = "chore";
    private static final String ATTEMPT_NUMBER = "try";
    private static final String TASK_STATE = "phase";
    private static final String EXIT_REASON = "cause";
    private static final String COMMANDS = "orders";
    private static final String ACTION = "verb";
    private static final String GRACE_SECONDS = "leewayS";
    private static final String LEADER = "herder";

    private static final String ACTION_START = "run";
    private static final String ACTION_STOP = "halt";
    private static final String ACTION_FORGET = "reap";

    private static final String STATE_PULLING_IMAGE = "pulling";
    private static final String STATE_WAITING_FOR_GANG = "waiting";
    private static final String STATE_RUNNING = "running";
    private static final String STATE_CHECKPOINTING = "flushing";
    private static final String STATE_EXITED = "ended";

    private static final String REASON_DONE = "done";
    private static final String REASON_STOPPED = "stopped";
    private static final String REASON_PEERS = "peers";
    private static final String REASON_ALONE = "incomplete";
    private static final String REASON_NO_ROOM = "no_room";
    private static final String REASON_BUSY = "in_use";
    private static final String REASON_UNKNOWN = "unknown";

    private WorkerCodec() {}

    /**
     * Decodes a heartbeat.
     *
     * @param origin how the worker sent the bytes; both kinds have the same format
     */
    static Heartbeat decodeHeartbeat(byte[] bytes, Heartbeat.Origin origin)
            throws MalformedMessageException {
        MessageReader body =
                origin == Heartbeat.Origin.REQUEST
                        ? MessageReader.decodeRequest(bytes)
                        : MessageReader.decode(bytes);
        List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
        for (MessageReader item : body.nestedList(TASKS)) {
            tasks.add(decodeTaskStatus(item));
        }
        return new Heartbeat(
                origin,
                new MachineId(body.string(MACHINE_ID)),
                body.string(ADDRESS),
                body.string(MACHINE_TYPE),
                body.string(ZONE),
                body.booleanOr(IS_SPOT, false),
                new WorkerIncarnation(body.unsignedLong(INCARNATION)),
                body.unsignedLong(SEQUENCE_NUMBER),
                new FencingToken(body.has(FENCING_TOKEN) ? body.unsignedLong(FENCING_TOKEN) : 0),
                body.nonNegativeDoubleOr(PREEMPTION_NOTICE_SECONDS, Double.NaN),
                tasks);
    }

    private static Heartbeat.TaskStatus decodeTaskStatus(MessageReader item)
            throws MalformedMessageException {
        TaskId id = TaskId.parse(item.string(TASK_ID));
        if (id == null) {
            throw new MalformedMessageException(TASK_ID + " is not a task's name");
        }
        TaskState state = decodeTaskState(item.string(TASK_STATE));
        return new Heartbeat.TaskStatus(
                id,
                new AttemptNumber(item.unsignedLong(ATTEMPT_NUMBER)),
                state,
                state == TaskState.EXITED
                        ? decodeExitReason(item.stringOrNull(EXIT_REASON))
                        : null);
    }

    /** Encodes the body of a request that sends commands to a worker. */
    static byte[] encodeCommandRequest(
            FencingToken token,
            WorkerIncarnation incarnation,
            List<WorkerCommand.Direct> commands) {
        return MessagePackCodec.encode(
                MessageReader.mapOf(
                        FENCING_TOKEN,
                        MessagePackCodec.ofUnsigned(token.value()),
                        INCARNATION,
                        MessagePackCodec.ofUnsigned(incarnation.value()),
                        COMMANDS,
                        encodeCommands(commands)));
    }

    /** Encodes the body of the leader's response to a heartbeat. */
    static byte[] encodeHeartbeatResponse(FencingToken token, List<WorkerCommand> commands) {
        return MessagePackCodec.encode(
                MessageReader.mapOf(
                        FENCING_TOKEN,
                        MessagePackCodec.ofUnsigned(token.value()),
                        COMMANDS,
                        encodeCommands(commands)));
    }

    /**
     * Encodes the body of the response to a heartbeat by a node that does not lead.
     *
     * @param leader the leader's name, or null if it is not known
     */
    static byte[] encodeRedirect(String leader) {
        return MessagePackCodec.encode(
                leader == null ? MessageReader.mapOf() : MessageReader.mapOf(LEADER, leader));
    }

    private static List<Map<String, Object>> encodeCommands(
            List<? extends WorkerCommand> commands) {
        List<Map<String, Object>> list = new ArrayList<>(commands.size());
        for (WorkerCommand command : commands) {
            Map<String, Object> map =
                    MessageReader.mapOf(
                            ACTION,
                            encodeAction(command),
                            TASK_ID,
                            command.taskId().toString(),
                            ATTEMPT_NUMBER,
                            MessagePackCodec.ofUnsigned(command.attemptNumber().value()));
            if (command instanceof WorkerCommand.Stop stop) {
                map.put(GRACE_SECONDS, stop.graceSeconds());
            }
            list.add(map);
        }
        return list;
    }

    private static String encodeAction(WorkerCommand command) {
        if (command instanceof WorkerCommand.Start) {
            return ACTION_START;
        }
        return command instanceof WorkerCommand.Stop ? ACTION_STOP : ACTION_FORGET;
    }

    private static TaskState decodeTaskState(String word) throws MalformedMessageException {
        return switch (word) {
            case STATE_PULLING_IMAGE -> TaskState.PULLING_IMAGE;
            case STATE_WAITING_FOR_GANG -> TaskState.WAITING_FOR_GANG;
            case STATE_RUNNING -> TaskState.RUNNING;
            case STATE_CHECKPOINTING -> TaskState.CHECKPOINTING;
            case STATE_EXITED -> TaskState.EXITED;
            default -> throw new MalformedMessageException("unknown phase " + word);
        };
    }

    private static ExitReason decodeExitReason(String word) {
        return switch (word == null ? "" : word) {
            case REASON_DONE -> ExitReason.DONE;
            case REASON_STOPPED -> ExitReason.STOPPED;
            case REASON_PEERS -> ExitReason.PEERS;
            case REASON_ALONE -> ExitReason.ALONE;
            case REASON_NO_ROOM -> ExitReason.NO_ROOM;
            case REASON_BUSY -> ExitReason.BUSY;
            case REASON_UNKNOWN -> ExitReason.UNKNOWN;
            // A reason that this version does not know counts as a failure.
            default -> ExitReason.ERROR;
        };
    }
}
