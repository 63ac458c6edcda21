package org.meadowhollow.coordination.platform;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * What a leader's risk tables have come to know since a standby last asked.
 *
 * @param term of the leader that it comes from
 * @param upTo the last sample that is in it, to go on from
 * @param whole whether it holds whole tables, and not samples
 * @param more whether to ask again at once; with whole tables, after the last machine in it
 */
public record TableDelta(
        FencingToken term, long upTo, boolean whole, boolean more, List<Part> parts) {
    /**
     * Of one machine.
     *
     * @param incarnation a hash of what the machine's name means: its type, zone, kind and address
     * @param session and {@code seq}: of the last report that is in it
     * @param table a whole table as {@code RiskTable.export} gives it; empty if there are samples
     * @param samples four numbers each, oldest first: session, number of the report, age in
     *     milliseconds, sample
     */
    public record Part(
            MachineId machine,
            int incarnation,
            WorkerIncarnation session,
            long seq,
            int[] table,
            long[] samples) {}

    /** Numbers of a sample in {@link Part#samples}. */
    public static final int SAMPLE = 4;
}
