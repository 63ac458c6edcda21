package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;

/** Delivers the direct commands that one simulated node sends to workers. */
final class SimulatedWorkerGateway implements WorkerGateway {
    private static final Duration ROUND_TRIP = Duration.ofMillis(5);

    private final SimulatedCluster cluster;
    private final SimulatedNode sender;

    SimulatedWorkerGateway(SimulatedCluster cluster, SimulatedNode sender) {
        this.cluster = cluster;
        this.sender = sender;
    }

    @Override
    public CompletableFuture<Heartbeat> sendCommands(
            String address,
            FencingToken token,
            WorkerIncarnation incarnation,
            List<WorkerCommand.Direct> commands) {
        MachineId machine = new MachineId(address.substring(0, address.indexOf(':')));
        Runnable deliveryWithoutResponse =
                () -> {
                    FakeWorker worker = cluster.worker(machine);
                    if (worker != null) {
                        worker.handleDirectCommands(token, incarnation, commands);
                    }
                };
        SimulatedNetwork network = cluster.network();
        network.countDirectMessage();
        network.maybeDuplicate(deliveryWithoutResponse);
        CompletableFuture<Heartbeat> answer = new CompletableFuture<>();
        ControllerNode sendingProcess = sender.controller();
        if (network.holdsCommands() && !commands.isEmpty()) {
            network.holdCommand(deliveryWithoutResponse);
            return answer;
        }
        cluster.loop()
                .schedule(
                        ROUND_TRIP.plus(network.nextCommandDelay()),
                        () -> {
                            Heartbeat heartbeat = deliver(machine, token, incarnation, commands);
                            if (heartbeat != null && !commands.isEmpty()) {
                                network.copyExecutedCommands(deliveryWithoutResponse);
                            }
                            network.runAfter(
                                    network.nextCommandDelay(),
                                    () ->
                                            sender.runWhenResumed(
                                                    () ->
                                                            complete(
                                                                    answer,
                                                                    heartbeat,
                                                                    sendingProcess)));
                        });
        return answer;
    }

    /**
     * Delivers commands to a worker, and returns its answer; null if it is unreachable or gives
     * none.
     */
    private Heartbeat deliver(
            MachineId machine,
            FencingToken token,
            WorkerIncarnation incarnation,
            List<WorkerCommand.Direct> commands) {
        FakeWorker worker = cluster.worker(machine);
        return isReachable(worker)
                ? worker.handleDirectCommands(token, incarnation, commands)
                : null;
    }

    private boolean isReachable(FakeWorker worker) {
        return worker != null
                && sender.reachesZone(worker.zone())
                && worker.reaches(sender.index());
    }

    /**
     * Delivers the worker's answer; the call fails if there is none or the process that sent the
     * commands has ended.
     */
    private void complete(
            CompletableFuture<Heartbeat> answer, Heartbeat heartbeat, ControllerNode process) {
        if (heartbeat != null && sender.controller() == process) {
            answer.complete(heartbeat);
        } else {
            answer.completeExceptionally(new IllegalStateException("no answer"));
        }
    }
}
