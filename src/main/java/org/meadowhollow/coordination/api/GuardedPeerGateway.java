package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.storage.RecordDigests;

/** A gateway to the other controllers whose calls throw nothing, see {@link PortGuard}. */
record GuardedPeerGateway(PeerGateway peers, PortGuard guard) implements PeerGateway {
    @Override
    public void announceLeader(String leader, FencingToken fencingToken) {
        guard.run("announceLeader", () -> peers.announceLeader(leader, fencingToken));
    }

    @Override
    public CompletableFuture<Boolean> anyPeerReachesStore() {
        return guard.call("anyPeerReachesStore", peers::anyPeerReachesStore);
    }

    @Override
    public CompletableFuture<ProbeResult> probe(String member) {
        return guard.call("probe", () -> peers.probe(member));
    }

    @Override
    public CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within) {
        return guard.call(
                "queryRecentHeartbeats", () -> peers.queryRecentHeartbeats(machines, within));
    }

    @Override
    public CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest request) {
        return guard.call("fetchRiskTables", () -> peers.fetchRiskTables(leader, request));
    }

    @Override
    public CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader) {
        return guard.call("fetchDigests", () -> peers.fetchDigests(leader));
    }
}
