package org.meadowhollow.coordination;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Report;

/**
 * Reports that are answered a little later. Starts go out in answers alone, so a machine whose report is held
 * can be told to start a task at once, instead of with its next report.
 */
final class HeldReports {
    /** A report, and where its answer goes. */
    record Held(Report report, CompletableFuture<Answer> answer, Moment until) {
    }

    /** In the order in which they are due, for all are held for the same time. */
    private final Map<MachineId, Held> held = new LinkedHashMap<>();

    CompletableFuture<Answer> hold(Report report, Moment until) {
        Held entry = new Held(report, new CompletableFuture<>(), until);
        held.put(report.machine(), entry);
        return entry.answer();
    }

    boolean has(MachineId machine) {
        return held.containsKey(machine);
    }

    /** The machine's held report, which is held no more; null if there is none. */
    Held take(MachineId machine) {
        return held.remove(machine);
    }

    /** Those that have been held for long enough, which are held no more. */
    List<Held> due(Moment now) {
        List<Held> due = new ArrayList<>();
        for (Iterator<Held> all = held.values().iterator(); all.hasNext();) {
            Held next = all.next();
            if (now.isBefore(next.until())) {
                break;
            }
            all.remove();
            due.add(next);
        }
        return due;
    }

    List<Held> takeAll() {
        List<Held> all = List.copyOf(held.values());
        held.clear();
        return all;
    }
}
