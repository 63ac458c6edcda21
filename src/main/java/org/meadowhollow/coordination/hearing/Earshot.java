package org.meadowhollow.coordination.hearing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

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
    private final LinkedHashMap<MachineId, MonotonicTime> heardAt = new LinkedHashMap<>();

    /** A report of a machine has come. */
    public synchronized void heard(MachineId machine, MonotonicTime now) {
        heardAt.remove(machine);
        heardAt.put(machine, now);
        Iterator<MonotonicTime> oldest = heardAt.values().iterator();
        while (oldest.hasNext()) {
            MonotonicTime at = oldest.next();
            if (heardAt.size() <= MOST && now.elapsedSince(at).compareTo(KEPT) <= 0) {
                break;
            }
            oldest.remove();
        }
    }

    /** How many machines were heard within a time of at most 60 s before now. */
    public synchronized int count(Duration within, MonotonicTime now) {
        int count = 0;
        for (MonotonicTime at : heardAt.values()) {
            count += now.elapsedSince(at).compareTo(within) <= 0 ? 1 : 0;
        }
        return count;
    }

    /** Those of some machines that were heard within a time of at most 60 s before now. */
    public synchronized Set<MachineId> among(
            Collection<MachineId> machines, Duration within, MonotonicTime now) {
        Set<MachineId> heard = new HashSet<>();
        for (MachineId machine : machines) {
            MonotonicTime at = heardAt.get(machine);
            if (at != null && now.elapsedSince(at).compareTo(within) <= 0) {
                heard.add(machine);
            }
        }
        return heard;
    }

    /** All that is remembered, for tests of the bound. */
    synchronized Map<MachineId, MonotonicTime> all() {
        return Map.copyOf(heardAt);
    }
}
