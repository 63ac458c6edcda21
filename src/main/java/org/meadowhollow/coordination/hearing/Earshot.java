package org.meadowhollow.coordination.hearing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Moment;

/**
 * Which workers' reports have come to this node lately, whether or not it leads. That a report came
 * shows that the worker was alive and that the way from it to this node was open; that none came
 * shows nothing.
 */
public final class Earshot {
    /**
     * Longer than any window that is asked for: a worker whose leader is silent goes round all
     * nodes well within it.
     */
    private static final Duration KEPT = Duration.ofSeconds(60);

    /**
     * Machines remembered, some hundred bytes each; the one heard longest ago is forgotten first.
     */
    private static final int MOST = 20_000;

    /** In the order of their last reports. */
    private final LinkedHashMap<MachineId, Moment> heardAt = new LinkedHashMap<>();

    /** A report of a machine has come. */
    public synchronized void heard(MachineId machine, Moment now) {
        heardAt.remove(machine);
        heardAt.put(machine, now);
        Iterator<Moment> oldest = heardAt.values().iterator();
        while (oldest.hasNext()) {
            Moment at = oldest.next();
            if (heardAt.size() <= MOST && now.since(at).compareTo(KEPT) <= 0) {
                break;
            }
            oldest.remove();
        }
    }

    /** How many machines were heard within a time of at most 60 s before now. */
    public synchronized int count(Duration within, Moment now) {
        int count = 0;
        for (Moment at : heardAt.values()) {
            count += now.since(at).compareTo(within) <= 0 ? 1 : 0;
        }
        return count;
    }

    /** Those of some machines that were heard within a time of at most 60 s before now. */
    public synchronized Set<MachineId> among(
            Collection<MachineId> machines, Duration within, Moment now) {
        Set<MachineId> heard = new HashSet<>();
        for (MachineId machine : machines) {
            Moment at = heardAt.get(machine);
            if (at != null && now.since(at).compareTo(within) <= 0) {
                heard.add(machine);
            }
        }
        return heard;
    }

    /** All that is remembered, for tests of the bound. */
    synchronized Map<MachineId, Moment> all() {
        return Map.copyOf(heardAt);
    }
}
