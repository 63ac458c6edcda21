package org.meadowhollow.coordination.failover;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.scheduling.RiskTable;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.WorkerIncarnation;

/** A leader's latest samples, for the standbys that ask for them. Guarded by the leader's lock. */
public final class RiskTablePublisher {
    /**
     * Samples kept: some twenty seconds of a thousand machines. Who asks later gets whole tables.
     */
    static final int MAX_SAMPLES = 8192;

    /**
     * Numbers in an answer at most; each takes one to three bytes, and an answer may have 60 KiB.
     */
    static final int MAX_NUMBERS_PER_ANSWER = 16 * 1024;

    /** What a machine's name and the rest of its part take, in such numbers. */
    private static final int PART_OVERHEAD = 10;

    private record Sample(
            MachineId machine,
            WorkerIncarnation workerIncarnation,
            long seq,
            MonotonicTime observedAt,
            int value) {}

    private final FencingToken fencingToken;

    /** By number, round the end; null where there are no standbys to ask. */
    private final Sample[] sampleRing;

    private long nextSampleNumber;

    /**
     * @param asked whether there are standbys that may ask
     */
    public RiskTablePublisher(FencingToken fencingToken, boolean asked) {
        this.fencingToken = fencingToken;
        this.sampleRing = asked ? new Sample[MAX_SAMPLES] : null;
    }

    /** A report has shown a machine's table something. */
    public void recordSample(Machine machine, int sample, MonotonicTime now) {
        if (sampleRing == null) {
            return;
        }
        sampleRing[(int) (nextSampleNumber++ % MAX_SAMPLES)] =
                new Sample(
                        machine.id(),
                        machine.incarnation(),
                        machine.lastSequenceNumber(),
                        now,
                        sample);
    }

    /** What a machine's name means now; a name that is used again means something else. */
    static int identityHash(String type, String zone, boolean spot, String address) {
        return List.of(type, zone, spot, String.valueOf(address)).hashCode();
    }

    static int identityHash(Machine machine) {
        return identityHash(
                machine.type().name(), machine.zone(), machine.isSpot(), machine.address());
    }

    /** The answer to a standby, over the machines and tables as they are now. */
    public RiskTableDelta answerRequest(
            RiskTableRequest asked,
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        boolean known =
                asked.token().equals(fencingToken)
                        && !asked.isForFullTables()
                        && asked.afterSample() < nextSampleNumber
                        && asked.afterSample() >= nextSampleNumber - 1 - MAX_SAMPLES;
        return known
                ? samplesSince(asked.afterSample(), machines, now)
                : fullTablesPage(asked, machines, tables, now);
    }

    /** All tables as they are now, for a snapshot. */
    public static List<RiskTableDelta.MachineEntry> exportAll(
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        List<RiskTableDelta.MachineEntry> parts = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.incarnation() != null) {
                parts.add(buildPart(machine, tables.get(machine.id()).exportState(now)));
            }
        }
        return parts;
    }

    private static RiskTableDelta.MachineEntry buildPart(Machine machine, int[] table) {
        return new RiskTableDelta.MachineEntry(
                machine.id(),
                identityHash(machine),
                machine.incarnation(),
                machine.lastSequenceNumber(),
                table,
                new long[0]);
    }

    // Far below the range of int: the loop ends once the product passes MAX_NUMBERS_PER_ANSWER.
    @SuppressWarnings("NarrowCalculation")
    private RiskTableDelta samplesSince(
            long after, SortedMap<MachineId, Machine> machines, MonotonicTime now) {
        Map<MachineId, LongArrayList> byMachine = new LinkedHashMap<>();
        long upTo = after;
        while (upTo + 1 < nextSampleNumber
                && (upTo - after) * RiskTableDelta.NUMBERS_PER_SAMPLE
                                + byMachine.size() * PART_OVERHEAD
                        < MAX_NUMBERS_PER_ANSWER) {
            Sample sample = sampleRing[(int) (++upTo % MAX_SAMPLES)];
            LongArrayList samples =
                    byMachine.computeIfAbsent(sample.machine(), unused -> new LongArrayList());
            samples.add(sample.workerIncarnation().value());
            samples.add(sample.seq());
            samples.add(Math.max(0, now.elapsedSince(sample.observedAt()).toMillis()));
            samples.add(sample.value());
        }
        List<RiskTableDelta.MachineEntry> parts = new ArrayList<>();
        byMachine.forEach(
                (id, samples) -> {
                    Machine machine = machines.get(id);
                    if (machine != null) {
                        parts.add(
                                new RiskTableDelta.MachineEntry(
                                        id,
                                        identityHash(machine),
                                        machine.incarnation(),
                                        machine.lastSequenceNumber(),
                                        new int[0],
                                        samples.toLongArray()));
                    }
                });
        return new RiskTableDelta(fencingToken, upTo, false, upTo + 1 < nextSampleNumber, parts);
    }

    private RiskTableDelta fullTablesPage(
            RiskTableRequest asked,
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        // Another leader's pages are begun anew.
        boolean goesOn =
                asked.isForFullTables()
                        && asked.token().equals(fencingToken)
                        && !asked.afterMachine().isEmpty();
        SortedMap<MachineId, Machine> rest =
                goesOn
                        ? machines.tailMap(new MachineId(asked.afterMachine() + '\0'))
                        : new TreeMap<>(machines);
        List<RiskTableDelta.MachineEntry> parts = new ArrayList<>();
        int numbers = 0;
        for (Machine machine : rest.values()) {
            if (numbers > MAX_NUMBERS_PER_ANSWER / 2) {
                return new RiskTableDelta(fencingToken, nextSampleNumber - 1, true, true, parts);
            }
            if (machine.incarnation() != null) {
                int[] table = tables.get(machine.id()).exportState(now);
                numbers += table.length + PART_OVERHEAD;
                parts.add(buildPart(machine, table));
            }
        }
        return new RiskTableDelta(fencingToken, nextSampleNumber - 1, true, false, parts);
    }
}
