package org.meadowhollow.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.failover.RiskTableSnapshotStore;
import org.meadowhollow.coordination.heartbeat.HeartbeatTracker;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.golden.GoldenFile;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.Revision;

/**
 * An in-memory store that answers at once, for tests of what production code reads from golden
 * files and what it writes. The clock of {@link FrozenEventLoop} stands still and scheduled work
 * never runs, so that anything that waits for time to pass never continues.
 */
final class GoldenStore implements KeyValueStore {
    /** The lease that every grant returns. */
    static final long LEASE_ID = 77;

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private long revision;

    /** Records the results of an election. */
    static final class RecordingListener implements Leadership.Listener {
        final List<FencingToken> elected = new ArrayList<>();
        final List<String> following = new ArrayList<>();

        @Override
        public void onElected(
                FencingToken fencingToken, Revision leaderRevision, MonotonicTime observedAt) {
            elected.add(fencingToken);
        }

        @Override
        public void onLeadershipLost(String reason) {}

        @Override
        public void onFollowing(String leader) {
            following.add(leader);
        }
    }

    /**
     * An event loop whose monotonic clock stays at 0 and whose wall clock stays at a given time.
     * Scheduled work never runs.
     */
    record FrozenEventLoop(long wallClockMillis) implements EventLoop {
        @Override
        public MonotonicTime now() {
            return new MonotonicTime(0);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {}

        @Override
        public boolean runRepeating(RepeatingStep step, Runnable body) {
            body.run();
            return true;
        }
    }

    void put(GoldenFile file) {
        put(file.key(), file.value());
    }

    void put(String key, Map<String, Object> value) {
        entries.put(key, new Entry(key, value, new Revision(++revision)));
    }

    /** The value of a key, or null if the key does not exist. */
    Map<String, Object> get(String key) {
        return entries.containsKey(key) ? entries.get(key).value() : null;
    }

    /** A controller that is a candidate for leadership and reaches no other controller. */
    static Leadership createCandidate(
            String member, KeyValueStore store, Leadership.Listener listener) {
        DeploymentSettings deploymentSettings =
                new DeploymentSettings(
                        member,
                        List.of("a", "b"),
                        Map.of(),
                        List.of(),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(18),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(48),
                        100,
                        50,
                        16 * 1024,
                        12,
                        10,
                        Duration.ofSeconds(8));
        return new Leadership(
                store,
                new FrozenEventLoop(0),
                new NoPeers(),
                deploymentSettings,
                new HeartbeatTracker(),
                new Random(1),
                listener);
    }

    static void handOver(Leadership leadership, String successor) {
        leadership.handOver(successor);
    }

    /**
     * A store to which a snapshot of the risk tables was written.
     *
     * @param previousHead the head record of an earlier snapshot, if there is one
     * @param maxChunkBytes the largest size of a chunk in bytes
     */
    static GoldenStore withSnapshot(
            List<RiskTableDelta.MachineEntry> machineEntries,
            Optional<GoldenFile> previousHead,
            long wallClockMillis,
            int maxChunkBytes) {
        GoldenStore store = new GoldenStore();
        previousHead.ifPresent(store::put);
        RiskTableSnapshotStore snapshots =
                new RiskTableSnapshotStore(store, Revision.ABSENT, 100, maxChunkBytes);
        // The first call reads which set was written last, the second one writes the other set.
        for (int call = 0; call < 2; call++) {
            snapshots.writeNext(() -> machineEntries, true, new MonotonicTime(0), wallClockMillis);
        }
        return store;
    }

    @Override
    public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
        return CompletableFuture.completedFuture(Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletableFuture<Page> list(
            String prefix, String after, int maxEntries, RequestPriority requestPriority) {
        return CompletableFuture.completedFuture(
                new Page(
                        entries.values().stream()
                                .filter(entry -> entry.key().startsWith(prefix))
                                .toList(),
                        false,
                        new Revision(revision)));
    }

    @Override
    public CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority) {
        revision++;
        transaction
                .writes()
                .forEach(
                        (key, write) -> {
                            if (write.value() == null) {
                                entries.remove(key);
                            } else {
                                entries.put(
                                        key,
                                        new Entry(
                                                key,
                                                new HashMap<>(write.value()),
                                                new Revision(revision)));
                            }
                        });
        return CompletableFuture.completedFuture(
                new CommitResult(true, new Revision(revision), List.of()));
    }

    @Override
    public CompletableFuture<LeaseId> grantLease(Duration timeToLive) {
        return CompletableFuture.completedFuture(new LeaseId(LEASE_ID));
    }

    @Override
    public CompletableFuture<Void> renewLease(LeaseId lease) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Void> revokeLease(LeaseId lease) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration maxWait) {
        return new CompletableFuture<>();
    }

    @Override
    public boolean seemsUnavailable() {
        return false;
    }

    /** A gateway to peers of which none ever answers. */
    private static final class NoPeers implements PeerGateway {
        @Override
        public void announceLeader(String leader, FencingToken fencingToken) {}

        @Override
        public CompletableFuture<Boolean> anyPeerReachesStore() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<ProbeResult> probe(String member) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
                List<MachineId> machines, Duration within) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
                String leader, RiskTableRequest request) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader) {
            return new CompletableFuture<>();
        }
    }
}
