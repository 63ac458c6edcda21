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

/**
 * Publishes the leader's risk tables to its standbys: keeps the latest samples and answers requests
 * with them or with full tables. Guarded by the leader's lock.
 */
public final class RiskTablePublisher {
    /**
     * The most samples kept: about twenty seconds of a thousand machines. A standby that is further
     * behind gets full tables.
     */
    static final int MAX_SAMPLES = 8192;

    /**
     * The most numbers in a response; each takes one to three bytes, and a response may have 60
     * KiB.
     */
    static final int MAX_NUMBERS_PER_RESPONSE = 16 * 1024;

    /** The size of a machine's name and the other fields of its entry, counted in numbers. */
    private static final int ENTRY_OVERHEAD_NUMBERS = 10;

    private record Sample(
            MachineId machine,
            WorkerIncarnation workerIncarnation,
            long sequenceNumber,
            MonotonicTime observedAt,
            int value) {}

    private final FencingToken fencingToken;

    /**
     * A ring buffer of the latest samples, indexed by sample number modulo its length; null if no
     * standby is configured.
     */
    private final Sample[] sampleRing;

    private long nextSampleNumber;

    /**
     * Creates a publisher without samples.
     *
     * @param hasStandbys whether there are standbys that may send requests
     */
    public RiskTablePublisher(FencingToken fencingToken, boolean hasStandbys) {
        this.fencingToken = fencingToken;
        this.sampleRing = hasStandbys ? new Sample[MAX_SAMPLES] : null;
    }

    /** Records the sample that a heartbeat added to a machine's table. */
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

    /**
     * A hash of the properties that tell a machine from an earlier one of the same name, since
     * names are reused.
     */
    static int identityHash(String type, String zone, boolean spot, String address) {
        return List.of(type, zone, spot, String.valueOf(address)).hashCode();
    }

    static int identityHash(Machine machine) {
        return identityHash(
                machine.type().name(), machine.zone(), machine.isSpot(), machine.address());
    }

    /**
     * Answers the request of a standby with the samples after those it has, or with a page of full
     * tables if it asks for these or if its samples are no longer kept.
     */
    public RiskTableDelta answerRequest(
            RiskTableRequest request,
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        boolean hasSamplesAfterRequest =
                request.token().equals(fencingToken)
                        && !request.isForFullTables()
                        && request.afterSample() < nextSampleNumber
                        && request.afterSample() >= nextSampleNumber - 1 - MAX_SAMPLES;
        return hasSamplesAfterRequest
                ? samplesSince(request.afterSample(), machines, now)
                : fullTablesPage(request, machines, tables, now);
    }

    /** Exports the tables of all machines that have sent a heartbeat, for a snapshot. */
    public static List<RiskTableDelta.MachineEntry> exportAll(
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        List<RiskTableDelta.MachineEntry> entries = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.incarnation() != null) {
                entries.add(createEntry(machine, tables.get(machine.id()).exportState(now)));
            }
        }
        return entries;
    }

    private static RiskTableDelta.MachineEntry createEntry(Machine machine, int[] table) {
        return new RiskTableDelta.MachineEntry(
                machine.id(),
                identityHash(machine),
                machine.incarnation(),
                machine.lastSequenceNumber(),
                table,
                new long[0]);
    }

    // The product is far below the range of int: the loop ends when it exceeds
    // MAX_NUMBERS_PER_RESPONSE.
    @SuppressWarnings("NarrowCalculation")
    private RiskTableDelta samplesSince(
            long afterSample, SortedMap<MachineId, Machine> machines, MonotonicTime now) {
        Map<MachineId, LongArrayList> byMachine = new LinkedHashMap<>();
        long lastSample = afterSample;
        while (lastSample + 1 < nextSampleNumber
                && (lastSample - afterSample) * RiskTableDelta.NUMBERS_PER_SAMPLE
                                + byMachine.size() * ENTRY_OVERHEAD_NUMBERS
                        < MAX_NUMBERS_PER_RESPONSE) {
            Sample sample = sampleRing[(int) (++lastSample % MAX_SAMPLES)];
            LongArrayList samples =
                    byMachine.computeIfAbsent(sample.machine(), unused -> new LongArrayList());
            samples.add(sample.workerIncarnation().value());
            samples.add(sample.sequenceNumber());
            samples.add(Math.max(0, now.elapsedSince(sample.observedAt()).toMillis()));
            samples.add(sample.value());
        }
        List<RiskTableDelta.MachineEntry> entries = new ArrayList<>();
        byMachine.forEach(
                (id, samples) -> {
                    Machine machine = machines.get(id);
                    if (machine != null) {
                        entries.add(
                                new RiskTableDelta.MachineEntry(
                                        id,
                                        identityHash(machine),
                                        machine.incarnation(),
                                        machine.lastSequenceNumber(),
                                        new int[0],
                                        samples.toLongArray()));
                    }
                });
        return new RiskTableDelta(
                fencingToken, lastSample, false, lastSample + 1 < nextSampleNumber, entries);
    }

    private RiskTableDelta fullTablesPage(
            RiskTableRequest request,
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        // Pages of another leader cannot be continued; start with the first one.
        boolean continuesPages =
                request.isForFullTables()
                        && request.token().equals(fencingToken)
                        && !request.afterMachine().isEmpty();
        SortedMap<MachineId, Machine> remaining =
                continuesPages
                        ? machines.tailMap(new MachineId(request.afterMachine() + '\0'))
                        : new TreeMap<>(machines);
        List<RiskTableDelta.MachineEntry> entries = new ArrayList<>();
        int numberCount = 0;
        for (Machine machine : remaining.values()) {
            if (numberCount > MAX_NUMBERS_PER_RESPONSE / 2) {
                return new RiskTableDelta(fencingToken, nextSampleNumber - 1, true, true, entries);
            }
            if (machine.incarnation() != null) {
                int[] table = tables.get(machine.id()).exportState(now);
                numberCount += table.length + ENTRY_OVERHEAD_NUMBERS;
                entries.add(createEntry(machine, table));
            }
        }
        return new RiskTableDelta(fencingToken, nextSampleNumber - 1, true, false, entries);
    }
}
