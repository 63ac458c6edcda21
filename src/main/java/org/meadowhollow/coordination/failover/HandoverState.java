package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.scheduling.RiskTable;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyspaceReplica;

/**
 * The state that a warm standby hands over to the leadership that begins on its node: replicas of
 * the records and of the risk tables. Guarded by the leader's lock.
 */
public final class HandoverState {
    /** The state of a node that was not a standby. */
    public static final HandoverState EMPTY = new HandoverState(Map.of(), new RiskTableReplica());

    /**
     * A machine whose heartbeat the last leader received at most this long ago is expected to send
     * one to this leader.
     */
    private static final Duration RECENT_HEARTBEAT_WINDOW =
            WarmStandby.PULL_INTERVAL.multipliedBy(3);

    /**
     * The most tables of a snapshot that are restored in one batch: a slow node must be able to
     * renew its lease between batches.
     */
    private static final int MAX_TABLES_PER_BATCH = 50;

    private final Map<String, ChangeFeedFollower> followers;
    private final RiskTableReplica tableReplica;

    /** Tables of a stored snapshot that have not been handed over yet. */
    private final ArrayDeque<RiskTableDelta.MachineEntry> snapshotTables = new ArrayDeque<>();

    private MonotonicTime snapshotTakenAt;
    private int inheritedTableCount;

    HandoverState(Map<String, ChangeFeedFollower> followers, RiskTableReplica tableReplica) {
        this.followers = followers;
        this.tableReplica = tableReplica;
    }

    /** Whether this node was a standby, so that the leader need not load all records again. */
    public boolean wasStandby() {
        return !followers.isEmpty();
    }

    /**
     * Takes the replicas of the records.
     *
     * @param atLeast the revision that each replica must cover; it may cover a later one
     * @return the replicas by prefix; empty if one is missing, is older than that revision, or has
     *     a history other than the one that the store serves
     */
    public CompletableFuture<Optional<Map<String, KeyspaceReplica>>> takeRecords(Revision atLeast) {
        List<CompletableFuture<Optional<KeyspaceReplica>>> replicas =
                followers.values().stream().map(follower -> follower.handOver(atLeast)).toList();
        return CompletableFuture.allOf(replicas.toArray(CompletableFuture[]::new))
                .thenApply(
                        unused -> {
                            Map<String, KeyspaceReplica> byPrefix = new TreeMap<>();
                            replicas.forEach(
                                    replica ->
                                            replica.join()
                                                    .ifPresent(
                                                            each ->
                                                                    byPrefix.put(
                                                                            each.prefix(), each)));
                            return byPrefix.isEmpty() || byPrefix.size() < followers.size()
                                    ? Optional.empty()
                                    : Optional.of(byPrefix);
                        });
    }

    /**
     * Takes the risk table of a machine whose first heartbeat has arrived.
     *
     * @return empty if there is none, or if it belongs to another machine of the same name
     */
    public Optional<RiskTable> takeTable(Heartbeat heartbeat, MonotonicTime now) {
        return countInherited(
                tableReplica.takeTable(
                        heartbeat.machineId(),
                        RiskTablePublisher.identityHash(
                                heartbeat.machineType(),
                                heartbeat.zone(),
                                heartbeat.isSpot(),
                                heartbeat.address()),
                        heartbeat.incarnation(),
                        heartbeat.sequenceNumber(),
                        now));
    }

    private Optional<RiskTable> countInherited(Optional<RiskTable> table) {
        inheritedTableCount += table.isPresent() ? 1 : 0;
        return table;
    }

    /**
     * Adds the tables of a stored snapshot, for a leader that found no standby's tables because all
     * nodes had ended.
     */
    public void addSnapshotTables(RiskTableSnapshotStore.StoredTables snapshot, MonotonicTime now) {
        snapshotTables.addAll(snapshot.machineEntries());
        snapshotTakenAt = new MonotonicTime(now.nanos() - snapshot.age().toNanos());
    }

    /** Whether this node was a standby, but has received no tables from any leader. */
    public boolean hasNoTables() {
        return wasStandby() && inheritedTableCount == 0 && tableReplica.size() == 0;
    }

    /**
     * Restores one batch of the snapshot's tables. Tables of machines that have sent no heartbeat
     * yet are kept for {@link #takeTable}.
     *
     * @param riskTables receives the tables of the other machines
     * @return whether there are more
     */
    public boolean restoreSnapshotTables(
            Map<MachineId, Machine> machines,
            Map<MachineId, RiskTable> riskTables,
            MonotonicTime now) {
        for (int restored = 0;
                restored < MAX_TABLES_PER_BATCH && !snapshotTables.isEmpty();
                restored++) {
            RiskTableDelta.MachineEntry machineEntry = snapshotTables.poll();
            tableReplica.applyFromSnapshot(machineEntry, snapshotTakenAt);
            Machine machine = machines.get(machineEntry.machine());
            if (machine != null && machine.incarnation() != null) {
                countInherited(
                                tableReplica.takeTable(
                                        machine.id(),
                                        RiskTablePublisher.identityHash(machine),
                                        machine.incarnation(),
                                        machine.lastSequenceNumber(),
                                        now))
                        .ifPresent(table -> riskTables.put(machine.id(), table));
            }
        }
        return !snapshotTables.isEmpty();
    }

    /** The number of tables that were handed over so far. */
    public int inheritedTableCount() {
        return inheritedTableCount;
    }

    /**
     * The number of machines that sent the last leader a recent heartbeat, but have not sent one to
     * this leader yet.
     */
    public int countExpectedMachines(MonotonicTime now) {
        return tableReplica.countUpdatedWithin(RECENT_HEARTBEAT_WINDOW, now);
    }
}
