package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.storage.RecordDigests;

/** Delivers the messages that one simulated node sends to the others. */
final class SimulatedPeerGateway implements PeerGateway {
    private static final Duration ROUND_TRIP = Duration.ofMillis(5);

    private final SimulatedCluster cluster;
    private final SimulatedNode sender;

    SimulatedPeerGateway(SimulatedCluster cluster, SimulatedNode sender) {
        this.cluster = cluster;
        this.sender = sender;
    }

    private boolean hasPathTo(SimulatedNode other) {
        return !cluster.network().arePeersCut()
                && !sender.isPartitioned()
                && !other.isPartitioned();
    }

    /** Returns whether a connection to a node is accepted, whether or not its process is paused. */
    private boolean connectsTo(SimulatedNode other) {
        return hasPathTo(other) && !other.refusesPeers() && other.isRunning();
    }

    private boolean getsAnswersFrom(SimulatedNode other) {
        return connectsTo(other) && !other.isPaused();
    }

    @Override
    public CompletableFuture<Boolean> anyPeerReachesStore() {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        cluster.loop()
                .schedule(
                        ROUND_TRIP,
                        () ->
                                answer.complete(
                                        cluster.nodes().stream()
                                                .anyMatch(this::reachesStoreThrough)));
        return answer;
    }

    private boolean reachesStoreThrough(SimulatedNode other) {
        return other != sender && connectsTo(other) && !other.storeConnection().seemsUnavailable();
    }

    @Override
    public CompletableFuture<ProbeResult> probe(String name) {
        CompletableFuture<ProbeResult> answer = new CompletableFuture<>();
        SimulatedNode target = cluster.nodeNamed(name);
        cluster.loop().schedule(ROUND_TRIP, () -> answer.complete(probe(target)));
        return answer;
    }

    private ProbeResult probe(SimulatedNode target) {
        boolean isRefused =
                hasPathTo(target)
                        && (target.refusesPeers()
                                || (!target.isRunning() && !target.isPoweredOff()));
        if (isRefused && connectsToAnyExcept(target)) {
            return ProbeResult.CONNECTION_REFUSED;
        }
        if (isRefused || !hasPathTo(target) || !target.isResponsive()) {
            return ProbeResult.UNRESPONSIVE;
        }
        return target.controller().isMissingHeartbeats()
                ? ProbeResult.ISOLATED
                : ProbeResult.HEALTHY;
    }

    private boolean connectsToAnyExcept(SimulatedNode target) {
        return cluster.nodes().stream()
                .anyMatch(other -> other != sender && other != target && connectsTo(other));
    }

    @Override
    public CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within) {
        CompletableFuture<List<PeerReachabilityReport>> reports = new CompletableFuture<>();
        cluster.loop()
                .schedule(
                        ROUND_TRIP,
                        () ->
                                reports.complete(
                                        cluster.nodes().stream()
                                                .filter(other -> other != sender)
                                                .map(other -> report(other, machines, within))
                                                .toList()));
        return reports;
    }

    private PeerReachabilityReport report(
            SimulatedNode other, List<MachineId> machines, Duration within) {
        if (!getsAnswersFrom(other)) {
            return PeerReachabilityReport.unanswered(other.name());
        }
        return new PeerReachabilityReport(
                other.name(),
                true,
                !other.storeConnection().seemsUnavailable(),
                other.controller().recentlyHeardMachines(machines, within));
    }

    @Override
    public CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest request) {
        return query(
                leader,
                cluster.network().riskTableDelay(),
                controller ->
                        controller.riskTableDelta(request).map(cluster.network()::alterRiskTables));
    }

    @Override
    public CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader) {
        return query(leader, ROUND_TRIP, ControllerNode::recordDigests);
    }

    /**
     * Sends a query to another node at once, and delivers its answer after a delay; empty without
     * an answer.
     */
    private <T> CompletableFuture<Optional<T>> query(
            String name, Duration delay, Function<ControllerNode, Optional<T>> responder) {
        CompletableFuture<Optional<T>> answer = new CompletableFuture<>();
        SimulatedNode target = cluster.nodeNamed(name);
        Optional<T> response;
        try {
            response =
                    getsAnswersFrom(target)
                            ? responder.apply(target.controller())
                            : Optional.empty();
        } catch (PeerGateway.UnreadableResponseException unreadable) {
            cluster.loop().schedule(delay, () -> answer.completeExceptionally(unreadable));
            return answer;
        }
        cluster.loop()
                .schedule(delay, () -> sender.runWhenResumed(() -> answer.complete(response)));
        return answer;
    }

    @Override
    public void announceLeader(String leader, FencingToken fencingToken) {
        Runnable delivery = () -> deliverAnnouncement(leader, fencingToken);
        cluster.loop().schedule(ROUND_TRIP, delivery);
        cluster.network().maybeDuplicate(delivery);
    }

    private void deliverAnnouncement(String leader, FencingToken fencingToken) {
        for (SimulatedNode node : cluster.nodes()) {
            if (node != sender && connectsTo(node)) {
                node.runWhenResumed(
                        () -> {
                            if (node.isRunning()) {
                                node.controller().observeLeader(fencingToken, leader);
                            }
                        });
            }
        }
    }
}
