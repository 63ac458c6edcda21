package org.meadowhollow.coordination.succession;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.meadowhollow.coordination.placement.RiskTable;
import org.meadowhollow.coordination.platform.TableDelta;
import org.meadowhollow.coordination.platform.TableQuestion;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.WorkerIncarnation;

/** A leader's latest samples, for the standbys that ask for them. Guarded by the leader's lock. */
public final class TableFeed {
    /**
     * Samples kept: some twenty seconds of a thousand machines. Who asks later gets whole tables.
     */
    static final int MOST_KEPT = 8192;

    /**
     * Numbers in an answer at most; each takes one to three bytes, and an answer may have 60 KiB.
     */
    static final int MOST_NUMBERS = 16 * 1024;

    /** What a machine's name and the rest of its part take, in such numbers. */
    private static final int PART = 10;

    private record Sample(
            MachineId machine, WorkerIncarnation session, long seq, MonotonicTime at, int sample) {}

    private final FencingToken fencingToken;

    /** By number, round the end; null where there are no standbys to ask. */
    private final Sample[] kept;

    private long next;

    /**
     * @param asked whether there are standbys that may ask
     */
    public TableFeed(FencingToken fencingToken, boolean asked) {
        this.fencingToken = fencingToken;
        this.kept = asked ? new Sample[MOST_KEPT] : null;
    }

    /** A report has shown a machine's table something. */
    public void sampled(Machine machine, int sample, MonotonicTime now) {
        if (kept == null) {
            return;
        }
        kept[(int) (next++ % MOST_KEPT)] =
                new Sample(
                        machine.id(),
                        machine.incarnation(),
                        machine.lastSequenceNumber(),
                        now,
                        sample);
    }

    /** What a machine's name means now; a name that is used again means something else. */
    static int incarnation(String type, String zone, boolean spot, String address) {
        return List.of(type, zone, spot, String.valueOf(address)).hashCode();
    }

    static int incarnation(Machine machine) {
        return incarnation(
                machine.type().name(), machine.zone(), machine.isSpot(), machine.address());
    }

    /** The answer to a standby, over the machines and tables as they are now. */
    public TableDelta answer(
            TableQuestion asked,
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        boolean known =
                asked.term().equals(fencingToken)
                        && !asked.isForWhole()
                        && asked.after() < next
                        && asked.after() >= next - 1 - MOST_KEPT;
        return known ? samples(asked.after(), machines, now) : whole(asked, machines, tables, now);
    }

    /** All tables as they are now, for a snapshot. */
    public static List<TableDelta.Part> all(
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        List<TableDelta.Part> parts = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.incarnation() != null) {
                parts.add(part(machine, tables.get(machine.id()).export(now)));
            }
        }
        return parts;
    }

    private static TableDelta.Part part(Machine machine, int[] table) {
        return new TableDelta.Part(
                machine.id(),
                incarnation(machine),
                machine.incarnation(),
                machine.lastSequenceNumber(),
                table,
                new long[0]);
    }

    private TableDelta samples(
            long after, SortedMap<MachineId, Machine> machines, MonotonicTime now) {
        Map<MachineId, LongArrayList> byMachine = new LinkedHashMap<>();
        long upTo = after;
        while (upTo + 1 < next
                && (upTo - after) * TableDelta.SAMPLE + byMachine.size() * PART < MOST_NUMBERS) {
            Sample sample = kept[(int) (++upTo % MOST_KEPT)];
            LongArrayList samples =
                    byMachine.computeIfAbsent(sample.machine(), unused -> new LongArrayList());
            samples.add(sample.session().value());
            samples.add(sample.seq());
            samples.add(Math.max(0, now.elapsedSince(sample.at()).toMillis()));
            samples.add(sample.sample());
        }
        List<TableDelta.Part> parts = new ArrayList<>();
        byMachine.forEach(
                (id, samples) -> {
                    Machine machine = machines.get(id);
                    if (machine != null) {
                        parts.add(
                                new TableDelta.Part(
                                        id,
                                        incarnation(machine),
                                        machine.incarnation(),
                                        machine.lastSequenceNumber(),
                                        new int[0],
                                        samples.toLongArray()));
                    }
                });
        return new TableDelta(fencingToken, upTo, false, upTo + 1 < next, parts);
    }

    private TableDelta whole(
            TableQuestion asked,
            SortedMap<MachineId, Machine> machines,
            Map<MachineId, RiskTable> tables,
            MonotonicTime now) {
        // Another leader's pages are begun anew.
        boolean goesOn =
                asked.isForWhole()
                        && asked.term().equals(fencingToken)
                        && !asked.afterMachine().isEmpty();
        SortedMap<MachineId, Machine> rest =
                goesOn
                        ? machines.tailMap(new MachineId(asked.afterMachine() + '\0'))
                        : new TreeMap<>(machines);
        List<TableDelta.Part> parts = new ArrayList<>();
        int numbers = 0;
        for (Machine machine : rest.values()) {
            if (numbers > MOST_NUMBERS / 2) {
                return new TableDelta(fencingToken, next - 1, true, true, parts);
            }
            if (machine.incarnation() != null) {
                int[] table = tables.get(machine.id()).export(now);
                numbers += table.length + PART;
                parts.add(part(machine, table));
            }
        }
        return new TableDelta(fencingToken, next - 1, true, false, parts);
    }
}
