package org.meadowhollow.coordination.api;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * What a leader's risk tables have learned since a standby last asked.
 *
 * @param token the fencing token of the leader that sent it
 * @param lastSample the number of the last sample in it, from which to go on
 * @param fullTables whether it holds whole tables, and not samples
 * @param hasMore whether to ask again at once; with whole tables, after the last machine in it
 */
public record RiskTableDelta(
        FencingToken token,
        long lastSample,
        boolean fullTables,
        boolean hasMore,
        List<MachineEntry> entries) {
    /**
     * What is new of one machine.
     *
     * @param machineIdentityHash a hash of what the machine's name stands for: its type, zone,
     *     price model and address
     * @param workerIncarnation the incarnation of the last heartbeat that is in it
     * @param sequenceNumber the number of that heartbeat
     * @param table a whole table as {@code RiskTable} exports its state; empty if there are samples
     * @param samples four numbers each, oldest first: incarnation, sequence number, age in
     *     milliseconds, sample
     */
    // The arrays are handed on as they are; no entry is compared with another.
    @SuppressWarnings("ArrayRecordComponent")
    public record MachineEntry(
            MachineId machine,
            int machineIdentityHash,
            WorkerIncarnation workerIncarnation,
            long sequenceNumber,
            int[] table,
            long[] samples) {}

    /** Numbers of a sample in {@link MachineEntry#samples}. */
    public static final int NUMBERS_PER_SAMPLE = 4;
}
