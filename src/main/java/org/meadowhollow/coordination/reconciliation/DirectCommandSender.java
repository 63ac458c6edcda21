package org.meadowhollow.coordination.reconciliation;

import java.util.List;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.lifecycle.CommandSender;
import org.meadowhollow.coordination.lifecycle.MachineRegistry;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Sends commands directly to workers, and applies the heartbeats with which they respond. Keeps no
 * state; responses are applied under the leader's lock.
 */
public final class DirectCommandSender implements CommandSender {
    private final HeartbeatContext context;
    private final WorkerGateway workerGateway;
    private final MachineRegistry machineRegistry;
    private final HeartbeatHandler heartbeatHandler;

    /** Creates a sender that passes the workers' responses to {@code heartbeatHandler}. */
    public DirectCommandSender(
            HeartbeatContext context,
            WorkerGateway workerGateway,
            MachineRegistry machineRegistry,
            HeartbeatHandler heartbeatHandler) {
        this.context = context;
        this.workerGateway = workerGateway;
        this.machineRegistry = machineRegistry;
        this.heartbeatHandler = heartbeatHandler;
    }

    /** The state of a machine, as the leader knew it when a command was sent. */
    private record Recipient(
            Machine machine, WorkerIncarnation incarnation, long lastSequenceNumber) {}

    // A lost command is not resent here: the response to the next heartbeat contains the commands
    // that are still needed.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void sendCommands(
            Machine machine, WorkerIncarnation incarnation, List<WorkerCommand.Direct> commands) {
        Recipient recipient =
                new Recipient(machine, machine.incarnation(), machine.lastSequenceNumber());
        workerGateway
                .sendCommands(machine.address(), context.fencingToken(), incarnation, commands)
                .whenComplete(
                        (heartbeat, failure) -> {
                            if (failure == null) {
                                onResponse(heartbeat, recipient);
                            }
                        });
    }

    /**
     * Applies a heartbeat with which a worker responds to a direct command. Its reports count like
     * those of any heartbeat, but it renews no lease.
     */
    private void onResponse(Heartbeat heartbeat, Recipient recipient) {
        synchronized (context.lock()) {
            if (context.isClosed().getAsBoolean()) {
                return;
            }
            if (heartbeat.fencingToken().isAfter(context.fencingToken())) {
                context.leadership().observeToken(heartbeat.fencingToken(), null);
                return;
            }
            MonotonicTime now = context.loop().now();
            Machine machine = machineRegistry.findOrRegister(heartbeat);
            if (machine == recipient.machine()
                    && recipient.incarnation() != null
                    && !heartbeat.isNewerThan(
                            recipient.incarnation(), recipient.lastSequenceNumber())) {
                machineRegistry.onIncarnationReset(machine, now);
            } else {
                heartbeatHandler.applyWithoutLeaseRenewal(machine, heartbeat, now);
            }
        }
    }
}
