package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.HashMap;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A replica of the leader's risk tables, kept up to date by its responses. The tables are hints: a
 * wrong one can only cause a worse placement.
 */
final class RiskTableReplica {
    private static final Logger LOG = LoggerFactory.getLogger(RiskTableReplica.class);

    /** The most tables kept; bounds memory, at a few kilobytes each. */
    private static final int MAX_TABLES = 2000;

    /**
     * The maximum age of a table since its last update. Older ones are discarded, since the machine
     * may have changed. A table itself is rebuilt from samples of the same time span.
     */
    static final Duration MAX_AGE = RiskTable.SAMPLE_RETENTION;

    private record ReplicatedTable(
            RiskTable table,
            int identityHash,
            WorkerIncarnation workerIncarnation,
            long sequenceNumber,
            MonotonicTime updatedAt) {}

    /** The result of applying a response. */
    enum ApplyResult {
        UP_TO_DATE,
        MORE_AVAILABLE,
        STALE_LEADER,
        INCONSISTENT
    }

    private final Map<MachineId, ReplicatedTable> tablesByMachine = new HashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;
    private long appliedUpTo = -1;

    /** The last machine of the pages of full tables received so far; empty before the first. */
    private String fullSyncCursor = "";

    private long fullSyncStartedAt;

    int size() {
        return tablesByMachine.size();
    }

    /**
     * Counts the machines whose table was updated within {@code window} before {@code now} and has
     * not been taken yet.
     */
    int countUpdatedWithin(Duration window, MonotonicTime now) {
        int count = 0;
        for (ReplicatedTable replicatedTable : tablesByMachine.values()) {
            count += now.elapsedSince(replicatedTable.updatedAt()).compareTo(window) <= 0 ? 1 : 0;
        }
        return count;
    }

    RiskTableRequest nextRequest(ControllerStatus requester) {
        return new RiskTableRequest(requester, fencingToken, appliedUpTo, fullSyncCursor);
    }

    /**
     * Applies a response of the leader.
     *
     * @param highestObservedToken the highest fencing token that this node has observed; a response
     *     with a lower one comes from a former leader and is dropped
     */
    ApplyResult apply(RiskTableDelta delta, FencingToken highestObservedToken, MonotonicTime now) {
        if (highestObservedToken.isAfter(delta.token())) {
            return ApplyResult.STALE_LEADER;
        }
        // Samples that do not continue the replica are useless, such as those in a late response to
        // an earlier request.
        boolean continuesReplica = delta.token().equals(fencingToken) && appliedUpTo >= 0;
        if (!delta.fullTables() && (!continuesReplica || delta.lastSample() < appliedUpTo)) {
            requestFullSync();
            return ApplyResult.INCONSISTENT;
        }
        try {
            for (RiskTableDelta.MachineEntry machineEntry : delta.entries()) {
                applyEntry(machineEntry, delta.fullTables(), now);
            }
        } catch (IllegalArgumentException invalidEntry) {
            requestFullSync();
            return ApplyResult.INCONSISTENT;
        }
        boolean hasMorePages = delta.fullTables() && delta.hasMore() && !delta.entries().isEmpty();
        if (delta.fullTables()
                && (fullSyncCursor.isEmpty() || !delta.token().equals(fencingToken))) {
            fullSyncStartedAt = delta.lastSample();
        }
        fencingToken = delta.token();
        fullSyncCursor =
                hasMorePages
                        ? delta.entries().get(delta.entries().size() - 1).machine().value()
                        : "";
        // Samples recorded while the pages were read are missing in the earlier pages, so they are
        // requested from the start of the first page.
        appliedUpTo =
                hasMorePages ? -1 : delta.fullTables() ? fullSyncStartedAt : delta.lastSample();
        if (delta.fullTables() && !hasMorePages) {
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

    /**
     * Applies a full table of a snapshot that was taken at {@code takenAt}. A malformed one is left
     * out; its machine begins with an empty table.
     */
    void applyFromSnapshot(RiskTableDelta.MachineEntry machineEntry, MonotonicTime takenAt) {
        try {
            applyEntry(machineEntry, true, takenAt);
        } catch (IllegalArgumentException malformed) {
            LOG.info(
                    "risk table ignored machine={} reason={}",
                    machineEntry.machine(),
                    malformed.getMessage());
        }
    }

    void requestFullSync() {
        appliedUpTo = -1;
        fullSyncCursor = "";
    }

    private void applyEntry(
            RiskTableDelta.MachineEntry machineEntry, boolean isFullTable, MonotonicTime now) {
        ReplicatedTable existing = tablesByMachine.get(machineEntry.machine());
        if (existing == null && tablesByMachine.size() >= MAX_TABLES) {
            return;
        }
        if (isFullTable) {
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
            throw new IllegalArgumentException("incomplete sample");
        }
        // A reused name denotes another machine, which begins with an empty table.
        boolean isSameMachine =
                existing != null && existing.identityHash() == machineEntry.machineIdentityHash();
        RiskTable table = isSameMachine ? existing.table() : new RiskTable();
        WorkerIncarnation workerIncarnation =
                isSameMachine ? existing.workerIncarnation() : new WorkerIncarnation(0);
        long sequenceNumber = isSameMachine ? existing.sequenceNumber() : 0;
        for (int offset = 0;
                offset < machineEntry.samples().length;
                offset += RiskTableDelta.NUMBERS_PER_SAMPLE) {
            WorkerIncarnation sampleIncarnation =
                    new WorkerIncarnation(machineEntry.samples()[offset]);
            long sampleSequenceNumber = machineEntry.samples()[offset + 1];
            // Full tables that were read page by page may contain some of these samples already.
            if (sampleIncarnation.isAfter(workerIncarnation)
                    || (sampleIncarnation.equals(workerIncarnation)
                            && Long.compareUnsigned(sampleSequenceNumber, sequenceNumber) > 0)) {
                table.replaySample(
                        (int) machineEntry.samples()[offset + 3],
                        new MonotonicTime(
                                now.nanos()
                                        - Math.max(0, machineEntry.samples()[offset + 2])
                                                * 1_000_000));
                workerIncarnation = sampleIncarnation;
                sequenceNumber = sampleSequenceNumber;
            }
        }
        tablesByMachine.put(
                machineEntry.machine(),
                new ReplicatedTable(
                        table,
                        machineEntry.machineIdentityHash(),
                        workerIncarnation,
                        sequenceNumber,
                        now));
    }

    /**
     * Removes and returns the table of a machine whose first heartbeat has arrived.
     *
     * @param identityHash the identity hash of the machine that has this name now
     * @param workerIncarnation the worker incarnation of that heartbeat
     * @param sequenceNumber the sequence number of that heartbeat
     * @return empty if there is none, if it belongs to another machine of the same name, if it is
     *     newer than the heartbeat, or if it is older than {@link #MAX_AGE}
     */
    Optional<RiskTable> takeTable(
            MachineId machine,
            int identityHash,
            WorkerIncarnation workerIncarnation,
            long sequenceNumber,
            MonotonicTime now) {
        ReplicatedTable replicatedTable = tablesByMachine.remove(machine);
        boolean precedesHeartbeat =
                replicatedTable != null
                        && (workerIncarnation.isAfter(replicatedTable.workerIncarnation())
                                || (workerIncarnation.equals(replicatedTable.workerIncarnation())
                                        && Long.compareUnsigned(
                                                        sequenceNumber,
                                                        replicatedTable.sequenceNumber())
                                                >= 0));
        return precedesHeartbeat
                        && replicatedTable.identityHash() == identityHash
                        && now.elapsedSince(replicatedTable.updatedAt()).compareTo(MAX_AGE) <= 0
                ? Optional.of(replicatedTable.table())
                : Optional.empty();
    }
}
