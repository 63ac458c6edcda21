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

/** What a standby hands to the leadership that begins on its node. Guarded by the leader's lock. */
public final class HandoverState {
    /** Of a node that followed nothing. */
    public static final HandoverState EMPTY = new HandoverState(Map.of(), new RiskTableReplica());

    /**
     * Machines that the last leader heard of within this time, before it ended, are likely to
     * report again.
     */
    private static final Duration RECENT_HEARTBEAT_WINDOW =
            WarmStandby.PULL_INTERVAL.multipliedBy(3);

    /**
     * Tables of a snapshot that are made at a time: a starved node must come to renew its lease in
     * between.
     */
    private static final int MAX_TABLES_PER_BATCH = 50;

    private final Map<String, ChangeFeedFollower> followers;
    private final RiskTableReplica tableReplica;

    /** What a snapshot holds and has not been handed over yet, and when that was so. */
    private final ArrayDeque<RiskTableDelta.MachineEntry> snapshotTables = new ArrayDeque<>();

    private MonotonicTime snapshotTakenAt;
    private int inheritedTableCount;

    HandoverState(Map<String, ChangeFeedFollower> followers, RiskTableReplica copies) {
        this.followers = followers;
        this.tableReplica = copies;
    }

    /** Whether anything was followed, so that a leader need not begin from nothing. */
    public boolean isWarm() {
        return !followers.isEmpty();
    }

    /**
     * The records by prefix, each with all changes up to a revision and maybe more; empty if one of
     * the images is missing, older than that, or of another history than the one that is served.
     */
    public CompletableFuture<Optional<Map<String, KeyspaceReplica>>> takeRecords(Revision atLeast) {
        List<CompletableFuture<Optional<KeyspaceReplica>>> images =
                followers.values().stream().map(follower -> follower.handOver(atLeast)).toList();
        return CompletableFuture.allOf(images.toArray(CompletableFuture[]::new))
                .thenApply(
                        unused -> {
                            Map<String, KeyspaceReplica> byPrefix = new TreeMap<>();
                            images.forEach(
                                    image ->
                                            image.join()
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
     * The table of a machine whose first report has come, if what is there is of the machine as it
     * is now.
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
     * Takes in the tables that were noted in the state service, where no leader handed any over
     * because all nodes ended.
     */
    public void snapshotTables(RiskTableSnapshotStore.StoredTables snapshot, MonotonicTime now) {
        snapshotTables.addAll(snapshot.parts());
        snapshotTakenAt = new MonotonicTime(now.nanos() - snapshot.age().toNanos());
    }

    /** Whether no leader handed any tables over. */
    public boolean hasNoTables() {
        return isWarm() && inheritedTableCount == 0 && tableReplica.size() == 0;
    }

    /**
     * Hands over some of the tables that were read, to machines that have reported.
     *
     * @return whether there are more
     */
    public boolean handOverSnapshotTables(
            Map<MachineId, Machine> machines, Map<MachineId, RiskTable> risks, MonotonicTime now) {
        for (int done = 0; done < MAX_TABLES_PER_BATCH && !snapshotTables.isEmpty(); done++) {
            RiskTableDelta.MachineEntry machineEntry = snapshotTables.poll();
            tableReplica.apply(List.of(machineEntry), snapshotTakenAt);
            Machine machine = machines.get(machineEntry.machine());
            if (machine != null && machine.incarnation() != null) {
                countInherited(
                                tableReplica.takeTable(
                                        machine.id(),
                                        RiskTablePublisher.identityHash(machine),
                                        machine.incarnation(),
                                        machine.lastSequenceNumber(),
                                        now))
                        .ifPresent(table -> risks.put(machine.id(), table));
            }
        }
        return !snapshotTables.isEmpty();
    }

    /** Tables that were handed over so far. */
    public int inheritedTableCount() {
        return inheritedTableCount;
    }

    /**
     * Machines that the last leader heard of lately, and whose first report has not come here yet.
     */
    public int countExpectedMachines(MonotonicTime now) {
        return tableReplica.countUpdatedWithin(RECENT_HEARTBEAT_WINDOW, now);
    }
}
