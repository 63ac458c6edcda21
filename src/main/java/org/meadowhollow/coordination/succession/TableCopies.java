package org.meadowhollow.coordination.succession;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.placement.RiskTable;
import org.meadowhollow.coordination.platform.NodeStatus;
import org.meadowhollow.coordination.platform.TableDelta;
import org.meadowhollow.coordination.platform.TableQuestion;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.WorkerIncarnation;

/**
 * Copies of a leader's risk tables, kept up to date by its answers. Hints: a wrong one costs a
 * worse place, no more.
 */
final class TableCopies {
    /** Tables kept; bounds memory, at a few kilobytes each. */
    private static final int MOST_TABLES = 2000;

    /** Older copies tell of a machine as it was; the tables themselves are rebuilt from as much. */
    static final Duration MOST_AGE = RiskTable.RECENT;

    private record Copy(
            RiskTable table,
            int incarnation,
            WorkerIncarnation session,
            long seq,
            MonotonicTime at) {}

    /** What became of an answer. */
    enum Taken {
        IN,
        MORE,
        DEPOSED,
        BROKEN
    }

    private final Map<MachineId, Copy> copies = new HashMap<>();
    private FencingToken fencingToken = FencingToken.NONE;
    private long upTo = -1;

    /** The machine after which whole tables go on, or empty. */
    private String wholeAfter = "";

    private long firstPageUpTo;

    int size() {
        return copies.size();
    }

    /**
     * Machines that the leader has heard of within a time before now, and that have not been
     * inherited yet.
     */
    int heardWithin(Duration span, MonotonicTime now) {
        int count = 0;
        for (Copy copy : copies.values()) {
            count += now.elapsedSince(copy.at()).compareTo(span) <= 0 ? 1 : 0;
        }
        return count;
    }

    TableQuestion question(NodeStatus from) {
        return new TableQuestion(from, fencingToken, upTo, wholeAfter);
    }

    /**
     * Takes an answer in.
     *
     * @param highest the highest term that this node has heard of: what a leader says that it
     *     deposed is not believed
     */
    Taken take(TableDelta delta, FencingToken highest, MonotonicTime now) {
        if (highest.isAfter(delta.term())) {
            return Taken.DEPOSED;
        }
        // Samples that do not follow what is here are worth nothing; a late answer to an earlier
        // question is one.
        boolean follows = delta.term().equals(fencingToken) && upTo >= 0;
        if (!delta.whole() && (!follows || delta.upTo() < upTo)) {
            askForWhole();
            return Taken.BROKEN;
        }
        try {
            for (TableDelta.Part part : delta.parts()) {
                takePart(part, delta.whole(), now);
            }
        } catch (IllegalArgumentException broken) {
            askForWhole();
            return Taken.BROKEN;
        }
        boolean unfinished = delta.whole() && delta.more() && !delta.parts().isEmpty();
        if (delta.whole() && (wholeAfter.isEmpty() || !delta.term().equals(fencingToken))) {
            firstPageUpTo = delta.upTo();
        }
        fencingToken = delta.term();
        wholeAfter =
                unfinished ? delta.parts().get(delta.parts().size() - 1).machine().value() : "";
        // What came between the pages is missing in the earlier ones.
        upTo = unfinished ? -1 : delta.whole() ? firstPageUpTo : delta.upTo();
        if (delta.whole() && !unfinished) {
            copies.values().removeIf(copy -> now.elapsedSince(copy.at()).compareTo(MOST_AGE) > 0);
        }
        return delta.more() || upTo < delta.upTo() ? Taken.MORE : Taken.IN;
    }

    /** Takes in tables as they were some time ago, from a snapshot. */
    void take(List<TableDelta.Part> parts, MonotonicTime then) {
        parts.forEach(part -> takePart(part, true, then));
    }

    void askForWhole() {
        upTo = -1;
        wholeAfter = "";
    }

    private void takePart(TableDelta.Part part, boolean whole, MonotonicTime now) {
        Copy known = copies.get(part.machine());
        if (known == null && copies.size() >= MOST_TABLES) {
            return;
        }
        if (whole) {
            copies.put(
                    part.machine(),
                    new Copy(
                            RiskTable.of(part.table(), now),
                            part.incarnation(),
                            part.session(),
                            part.seq(),
                            now));
            return;
        }
        if (part.samples().length % TableDelta.SAMPLE != 0) {
            throw new IllegalArgumentException("half a sample");
        }
        // A name that is used again begins a table of its own.
        boolean same = known != null && known.incarnation() == part.incarnation();
        RiskTable table = same ? known.table() : new RiskTable();
        WorkerIncarnation workerIncarnation = same ? known.session() : new WorkerIncarnation(0);
        long seq = same ? known.seq() : 0;
        for (int at = 0; at < part.samples().length; at += TableDelta.SAMPLE) {
            WorkerIncarnation itsSession = new WorkerIncarnation(part.samples()[at]);
            long itsSeq = part.samples()[at + 1];
            // Whole tables that came page by page may have some of them already.
            if (itsSession.isAfter(workerIncarnation)
                    || itsSession.equals(workerIncarnation) && itsSeq > seq) {
                table.replay(
                        (int) part.samples()[at + 3],
                        new MonotonicTime(
                                now.nanos() - Math.max(0, part.samples()[at + 2]) * 1_000_000));
                workerIncarnation = itsSession;
                seq = itsSeq;
            }
        }
        copies.put(
                part.machine(), new Copy(table, part.incarnation(), workerIncarnation, seq, now));
    }

    /**
     * Hands over the table of a machine whose first report has come.
     *
     * @return empty if there is none, if the name meant another machine, or if it is too old to
     *     tell anything
     */
    Optional<RiskTable> inherit(
            MachineId machine,
            int incarnation,
            WorkerIncarnation workerIncarnation,
            long seq,
            MonotonicTime now) {
        Copy copy = copies.remove(machine);
        boolean isOlder =
                copy != null
                        && (workerIncarnation.isAfter(copy.session())
                                || workerIncarnation.equals(copy.session()) && seq >= copy.seq());
        return isOlder
                        && copy.incarnation() == incarnation
                        && now.elapsedSince(copy.at()).compareTo(MOST_AGE) <= 0
                ? Optional.of(copy.table())
                : Optional.empty();
    }
}
