package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.scheduling.RiskTable;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Copies of a leader's risk tables, kept up to date by its answers. Hints: a wrong one costs a
 * worse place, no more.
 */
final class RiskTableReplica {
    /** Tables kept; bounds memory, at a few kilobytes each. */
    private static final int MAX_TABLES = 2000;

    /** Older copies tell of a machine as it was; the tables themselves are rebuilt from as much. */
    static final Duration MAX_AGE = RiskTable.SAMPLE_RETENTION;

    private record ReplicatedTable(
            RiskTable table,
            int identityHash,
            WorkerIncarnation workerIncarnation,
            long seq,
            MonotonicTime updatedAt) {}

    /** What became of an answer. */
    enum ApplyResult {
        UP_TO_DATE,
        MORE_AVAILABLE,
        STALE_LEADER,
        INCONSISTENT
    }

    private final Map<MachineId, ReplicatedTable> tablesByMachine = new HashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;
    private long appliedUpTo = -1;

    /** The machine after which whole tables go on, or empty. */
    private String fullSyncCursor = "";

    private long fullSyncStartedAt;

    int size() {
        return tablesByMachine.size();
    }

    /**
     * Machines that the leader has heard of within a time before now, and that have not been
     * inherited yet.
     */
    int countUpdatedWithin(Duration span, MonotonicTime now) {
        int count = 0;
        for (ReplicatedTable replicatedTable : tablesByMachine.values()) {
            count += now.elapsedSince(replicatedTable.updatedAt()).compareTo(span) <= 0 ? 1 : 0;
        }
        return count;
    }

    RiskTableRequest nextRequest(ControllerStatus from) {
        return new RiskTableRequest(from, fencingToken, appliedUpTo, fullSyncCursor);
    }

    /**
     * Takes an answer in.
     *
     * @param highest the highest term that this node has heard of: what a leader says that it
     *     deposed is not believed
     */
    ApplyResult apply(RiskTableDelta delta, FencingToken highest, MonotonicTime now) {
        if (highest.isAfter(delta.token())) {
            return ApplyResult.STALE_LEADER;
        }
        // Samples that do not follow what is here are worth nothing; a late answer to an earlier
        // question is one.
        boolean follows = delta.token().equals(fencingToken) && appliedUpTo >= 0;
        if (!delta.fullTables() && (!follows || delta.lastSample() < appliedUpTo)) {
            requestFullSync();
            return ApplyResult.INCONSISTENT;
        }
        try {
            for (RiskTableDelta.MachineEntry machineEntry : delta.entries()) {
                applyPart(machineEntry, delta.fullTables(), now);
            }
        } catch (IllegalArgumentException broken) {
            requestFullSync();
            return ApplyResult.INCONSISTENT;
        }
        boolean unfinished = delta.fullTables() && delta.hasMore() && !delta.entries().isEmpty();
        if (delta.fullTables()
                && (fullSyncCursor.isEmpty() || !delta.token().equals(fencingToken))) {
            fullSyncStartedAt = delta.lastSample();
        }
        fencingToken = delta.token();
        fullSyncCursor =
                unfinished ? delta.entries().get(delta.entries().size() - 1).machine().value() : "";
        // What came between the pages is missing in the earlier ones.
        appliedUpTo = unfinished ? -1 : delta.fullTables() ? fullSyncStartedAt : delta.lastSample();
        if (delta.fullTables() && !unfinished) {
            tablesByMachine
                    .values()
                    .removeIf(
                            replicatedTable ->
                                    now.elapsedSince(replicatedTable.updatedAt()).compareTo(MAX_AGE)
                                            > 0);
        }
        return delta.hasMore() || appliedUpTo < delta.lastSample()
                ? ApplyResult.MORE_AVAILABLE
                : ApplyResult.UP_TO_DATE;
    }

    /** Takes in tables as they were some time ago, from a snapshot. */
    void apply(List<RiskTableDelta.MachineEntry> parts, MonotonicTime then) {
        parts.forEach(machineEntry -> applyPart(machineEntry, true, then));
    }

    void requestFullSync() {
        appliedUpTo = -1;
        fullSyncCursor = "";
    }

    private void applyPart(
            RiskTableDelta.MachineEntry machineEntry, boolean whole, MonotonicTime now) {
        ReplicatedTable known = tablesByMachine.get(machineEntry.machine());
        if (known == null && tablesByMachine.size() >= MAX_TABLES) {
            return;
        }
        if (whole) {
            tablesByMachine.put(
                    machineEntry.machine(),
                    new ReplicatedTable(
                            RiskTable.fromExportedState(machineEntry.table(), now),
                            machineEntry.machineIdentityHash(),
                            machineEntry.workerIncarnation(),
                            machineEntry.sequenceNumber(),
                            now));
            return;
        }
        if (machineEntry.samples().length % RiskTableDelta.NUMBERS_PER_SAMPLE != 0) {
            throw new IllegalArgumentException("half a sample");
        }
        // A name that is used again begins a table of its own.
        boolean same = known != null && known.identityHash() == machineEntry.machineIdentityHash();
        RiskTable table = same ? known.table() : new RiskTable();
        WorkerIncarnation workerIncarnation =
                same ? known.workerIncarnation() : new WorkerIncarnation(0);
        long seq = same ? known.seq() : 0;
        for (int at = 0;
                at < machineEntry.samples().length;
                at += RiskTableDelta.NUMBERS_PER_SAMPLE) {
            WorkerIncarnation itsSession = new WorkerIncarnation(machineEntry.samples()[at]);
            long itsSeq = machineEntry.samples()[at + 1];
            // Whole tables that came page by page may have some of them already.
            if (itsSession.isAfter(workerIncarnation)
                    || (itsSession.equals(workerIncarnation) && itsSeq > seq)) {
                table.replaySample(
                        (int) machineEntry.samples()[at + 3],
                        new MonotonicTime(
                                now.nanos()
                                        - Math.max(0, machineEntry.samples()[at + 2]) * 1_000_000));
                workerIncarnation = itsSession;
                seq = itsSeq;
            }
        }
        tablesByMachine.put(
                machineEntry.machine(),
                new ReplicatedTable(
                        table, machineEntry.machineIdentityHash(), workerIncarnation, seq, now));
    }

    /**
     * Hands over the table of a machine whose first report has come.
     *
     * @return empty if there is none, if the name meant another machine, or if it is too old to
     *     tell anything
     */
    Optional<RiskTable> takeTable(
            MachineId machine,
            int incarnation,
            WorkerIncarnation workerIncarnation,
            long seq,
            MonotonicTime now) {
        ReplicatedTable replicatedTable = tablesByMachine.remove(machine);
        boolean isOlder =
                replicatedTable != null
                        && (workerIncarnation.isAfter(replicatedTable.workerIncarnation())
                                || (workerIncarnation.equals(replicatedTable.workerIncarnation())
                                        && seq >= replicatedTable.seq()));
        return isOlder
                        && replicatedTable.identityHash() == incarnation
                        && now.elapsedSince(replicatedTable.updatedAt()).compareTo(MAX_AGE) <= 0
                ? Optional.of(replicatedTable.table())
                : Optional.empty();
    }
}
