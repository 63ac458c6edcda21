package org.meadowhollow.coordination.heartbeat;

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
public final class HeartbeatTracker {
    /**
     * Longer than any window that is asked for: a worker whose leader is silent goes round all
     * nodes well within it.
     */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /**
     * Machines remembered, some hundred bytes each; the one heard longest ago is forgotten first.
     */
    private static final int MAX_TRACKED_MACHINES = 20_000;

    /** In the order of their last reports. */
    private final LinkedHashMap<MachineId, MonotonicTime> lastHeartbeatAt = new LinkedHashMap<>();

    /** A report of a machine has come. */
    public synchronized void recordHeartbeat(MachineId machine, MonotonicTime now) {
        lastHeartbeatAt.remove(machine);
        lastHeartbeatAt.put(machine, now);
        Iterator<MonotonicTime> oldest = lastHeartbeatAt.values().iterator();
        while (oldest.hasNext()) {
            MonotonicTime at = oldest.next();
            if (lastHeartbeatAt.size() <= MAX_TRACKED_MACHINES
                    && now.elapsedSince(at).compareTo(RETENTION) <= 0) {
                break;
            }
            oldest.remove();
        }
    }

    /** How many machines were heard within a time of at most 60 s before now. */
    public synchronized int countRecent(Duration within, MonotonicTime now) {
        int count = 0;
        for (MonotonicTime at : lastHeartbeatAt.values()) {
            count += now.elapsedSince(at).compareTo(within) <= 0 ? 1 : 0;
        }
        return count;
    }

    /** Those of some machines that were heard within a time of at most 60 s before now. */
    public synchronized Set<MachineId> recentAmong(
            Collection<MachineId> machines, Duration within, MonotonicTime now) {
        Set<MachineId> heard = new HashSet<>();
        for (MachineId machine : machines) {
            MonotonicTime at = lastHeartbeatAt.get(machine);
            if (at != null && now.elapsedSince(at).compareTo(within) <= 0) {
                heard.add(machine);
            }
        }
        return heard;
    }

    /** All that is remembered, for tests of the bound. */
    synchronized Map<MachineId, MonotonicTime> trackedMachines() {
        return Map.copyOf(lastHeartbeatAt);
    }
}
