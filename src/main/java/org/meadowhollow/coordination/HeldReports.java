package org.meadowhollow.coordination;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/**
 * Reports that are answered a little later. A leader holds them since starts go out in answers
 * alone, so that a machine can be told to start a task at once, instead of with its next report;
 * another node while no leader is known.
 */
final class HeldReports {
    /** A report, and where its answer goes. */
    record Held(Heartbeat report, CompletableFuture<Answer> answer, MonotonicTime until) {}

    /** In the order in which they are due, for all are held for the same time. */
    private final Map<MachineId, Held> held = new LinkedHashMap<>();

    CompletableFuture<Answer> hold(Heartbeat heartbeat, MonotonicTime until) {
        drop(heartbeat.machineId());
        Held entry = new Held(heartbeat, new CompletableFuture<>(), until);
        held.put(heartbeat.machineId(), entry);
        return entry.answer();
    }

    /**
     * Lets go of a machine's earlier report: it has one in flight at a time, so nobody waits for
     * that answer.
     */
    void drop(MachineId machine) {
        Held earlier = held.remove(machine);
        if (earlier != null) {
            earlier.answer().complete(new Answer.Elsewhere(null));
        }
    }

    boolean isEmpty() {
        return held.isEmpty();
    }

    /** The machine's held report, which is held no more; null if there is none. */
    Held take(MachineId machine) {
        return held.remove(machine);
    }

    /** Those that have been held for long enough, which are held no more. */
    List<Held> due(MonotonicTime now) {
        List<Held> due = new ArrayList<>();
        for (Iterator<Held> all = held.values().iterator(); all.hasNext(); ) {
            Held next = all.next();
            if (now.isBefore(next.until())) {
                break;
            }
            all.remove();
            due.add(next);
        }
        return due;
    }

    /** Sends workers to a member, or to their next node if it is null; that renews no lease. */
    static void sendOn(List<Held> reports, String member) {
        reports.forEach(each -> each.answer().complete(new Answer.Elsewhere(member)));
    }

    List<Held> takeAll() {
        List<Held> all = List.copyOf(held.values());
        held.clear();
        return all;
    }
}
