package org.meadowhollow.protocol.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.TaskState;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;

/** Encodes heartbeats as workers do. */
public final class EncodedHeartbeats {
    private EncodedHeartbeats() {}

    /** Returns what a controller reads of a heartbeat that a worker encoded. */
    public static Heartbeat transmit(Heartbeat heartbeat, RandomEncoding encoding) {
        try {
            return WorkerCodec.decodeHeartbeat(
                    encoding.encode(fieldsOf(heartbeat)), heartbeat.origin());
        } catch (MalformedMessageException refused) {
            throw new AssertionError(refused);
        }
    }

    private static Map<String, Object> fieldsOf(Heartbeat heartbeat) {
        List<Map<String, Object>> tasks = new ArrayList<>();
        for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
            tasks.add(
                    MessageReader.mapOf(
                            "chore",
                            status.taskId().toString(),
                            "try",
                            MessagePackCodec.ofUnsigned(status.attemptNumber().value()),
                            "phase",
                            phaseOf(status.state()),
                            "cause",
                            causeOf(status.exitReason())));
        }
        double noticeSeconds = heartbeat.preemptionNoticeSeconds();
        return MessageReader.mapOf(
                "stall",
                heartbeat.machineId().value(),
                "endpoint",
                heartbeat.address(),
                "breed",
                heartbeat.machineType(),
                "field",
                heartbeat.zone(),
                "loaners",
                heartbeat.isSpot(),
                "tenure",
                MessagePackCodec.ofUnsigned(heartbeat.incarnation().value()),
                "tally",
                MessagePackCodec.ofUnsigned(heartbeat.sequenceNumber()),
                "baton",
                MessagePackCodec.ofUnsigned(heartbeat.fencingToken().value()),
                "warningS",
                Double.isNaN(noticeSeconds) ? null : noticeSeconds,
                "chores",
                tasks);
    }

    private static String phaseOf(TaskState state) {
        return switch (state) {
            case PULLING_IMAGE -> "pulling";
            case WAITING_FOR_GANG -> "waiting";
            case RUNNING -> "running";
            case CHECKPOINTING -> "flushing";
            case EXITED -> "ended";
        };
    }

    private static String causeOf(ExitReason reason) {
        if (reason == null) {
            return null;
        }
        return switch (reason) {
            case ALONE -> "incomplete";
            case BUSY -> "in_use";
            default -> reason.name().toLowerCase(Locale.ROOT);
        };
    }
}
