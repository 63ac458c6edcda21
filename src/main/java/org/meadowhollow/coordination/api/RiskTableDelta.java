package org.meadowhollow.coordination.api;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * What a leader's risk tables have come to know since a standby last asked.
 *
 * @param token of the leader that it comes from
 * @param lastSample the last sample that is in it, to go on from
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
     * Of one machine.
     *
     * @param machineIdentityHash a hash of what the machine's name means: its type, zone, kind and
     *     address
     * @param workerIncarnation and {@code seq}: of the last report that is in it
     * @param table a whole table as {@code RiskTable.export} gives it; empty if there are samples
     * @param samples four numbers each, oldest first: session, number of the report, age in
     *     milliseconds, sample
     */
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
