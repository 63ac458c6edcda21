package org.meadowhollow.coordination.succession;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.placement.RiskTable;
import org.meadowhollow.coordination.platform.TableDelta;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyspaceReplica;

/** What a standby hands to the leadership that begins on its node. Guarded by the leader's lock. */
public final class Inheritance {
    /** Of a node that followed nothing. */
    public static final Inheritance NONE = new Inheritance(Map.of(), new TableCopies());

    /**
     * Machines that the last leader heard of within this time, before it ended, are likely to
     * report again.
     */
    private static final Duration LIKELY = Standby.PULL.multipliedBy(3);

    /**
     * Tables of a snapshot that are made at a time: a starved node must come to renew its lease in
     * between.
     */
    private static final int MOST_AT_ONCE = 50;

    private final Map<String, RecordFollower> followers;
    private final TableCopies copies;

    /** What a snapshot holds and has not been handed over yet, and when that was so. */
    private final ArrayDeque<TableDelta.Part> noted = new ArrayDeque<>();

    private MonotonicTime notedAt;
    private int tables;

    Inheritance(Map<String, RecordFollower> followers, TableCopies copies) {
        this.followers = followers;
        this.copies = copies;
    }

    /** Whether anything was followed, so that a leader need not begin from nothing. */
    public boolean isWarm() {
        return !followers.isEmpty();
    }

    /**
     * The records by prefix, each with all changes up to a revision and maybe more; empty if one of
     * the images is missing, older than that, or of another history than the one that is served.
     */
    public CompletableFuture<Optional<Map<String, KeyspaceReplica>>> records(Revision atLeast) {
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
    public Optional<RiskTable> table(Heartbeat heartbeat, MonotonicTime now) {
        return inherited(
                copies.inherit(
                        heartbeat.machineId(),
                        TableFeed.incarnation(
                                heartbeat.machineType(),
                                heartbeat.zone(),
                                heartbeat.isSpot(),
                                heartbeat.address()),
                        heartbeat.incarnation(),
                        heartbeat.sequenceNumber(),
                        now));
    }

    private Optional<RiskTable> inherited(Optional<RiskTable> table) {
        tables += table.isPresent() ? 1 : 0;
        return table;
    }

    /**
     * Takes in the tables that were noted in the state service, where no leader handed any over
     * because all nodes ended.
     */
    public void noted(TableSnapshots.Read snapshot, MonotonicTime now) {
        noted.addAll(snapshot.parts());
        notedAt = new MonotonicTime(now.nanos() - snapshot.age().toNanos());
    }

    /** Whether no leader handed any tables over. */
    public boolean lacksTables() {
        return isWarm() && tables == 0 && copies.size() == 0;
    }

    /**
     * Hands over some of the tables that were read, to machines that have reported.
     *
     * @return whether there are more
     */
    public boolean handOverNoted(
            Map<MachineId, Machine> machines, Map<MachineId, RiskTable> risks, MonotonicTime now) {
        for (int done = 0; done < MOST_AT_ONCE && !noted.isEmpty(); done++) {
            TableDelta.Part part = noted.poll();
            copies.take(List.of(part), notedAt);
            Machine machine = machines.get(part.machine());
            if (machine != null && machine.incarnation() != null) {
                inherited(
                                copies.inherit(
                                        machine.id(),
                                        TableFeed.incarnation(machine),
                                        machine.incarnation(),
                                        machine.lastSequenceNumber(),
                                        now))
                        .ifPresent(table -> risks.put(machine.id(), table));
            }
        }
        return !noted.isEmpty();
    }

    /** Tables that were handed over so far. */
    public int tables() {
        return tables;
    }

    /**
     * Machines that the last leader heard of lately, and whose first report has not come here yet.
     */
    public int awaited(MonotonicTime now) {
        return copies.heardWithin(LIKELY, now);
    }
}
