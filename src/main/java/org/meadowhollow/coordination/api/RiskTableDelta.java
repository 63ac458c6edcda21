package org.meadowhollow.coordination.api;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * The changes of a leader's risk tables since the last request of a standby.
 *
 * @param token the fencing token of the leader that sent it
 * @param lastSample the number of the last sample that it includes, after which the next request
 *     continues
 * @param fullTables whether it holds full tables instead of samples
 * @param hasMore whether to send the next request immediately; with full tables, for those after
 *     the last machine in it
 */
public record RiskTableDelta(
        FencingToken token,
        long lastSample,
        boolean fullTables,
        boolean hasMore,
        List<MachineEntry> entries) {
    /**
     * The full table or the new samples of one machine.
     *
     * @param machineIdentityHash a hash of the type, zone, price model and address of the machine
     *     that has this name
     * @param workerIncarnation the worker incarnation of the last heartbeat that it includes
     * @param sequenceNumber the sequence number of that heartbeat
     * @param table a full table as {@code RiskTable} exports it; empty if there are samples
     * @param samples four numbers each, oldest first: incarnation, sequence number, age in
     *     milliseconds, sample
     */
    // Entries are never compared with each other, so equality of their arrays does not matter.
    @SuppressWarnings("ArrayRecordComponent")
    public record MachineEntry(
            MachineId machine,
            int machineIdentityHash,
            WorkerIncarnation workerIncarnation,
            long sequenceNumber,
            int[] table,
            long[] samples) {}

    /** The count of numbers per sample in {@link MachineEntry#samples}. */
    public static final int NUMBERS_PER_SAMPLE = 4;
}
