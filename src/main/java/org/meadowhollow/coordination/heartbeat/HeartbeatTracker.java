package org.meadowhollow.coordination.heartbeat;

import com.google.errorprone.annotations.concurrent.GuardedBy;
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
 * Tracks the machines from which this node recently received heartbeats, whether or not it leads. A
 * received heartbeat proves that the worker was alive and that the network path from it to this
 * node was open; a missing one proves nothing. Thread-safe: guarded by its own monitor.
 */
public final class HeartbeatTracker {
    /**
     * Time for which heartbeats are kept, longer than any window that callers ask for. A worker
     * whose leader does not answer tries every controller well within this time.
     */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /**
     * Maximum number of machines tracked, at some hundred bytes each. The machine with the oldest
     * heartbeat is evicted first.
     */
    private static final int MAX_TRACKED_MACHINES = 20_000;

    /** Time of the last heartbeat of each machine, in ascending order. */
    @GuardedBy("this")
    private final LinkedHashMap<MachineId, MonotonicTime> lastHeartbeatAt = new LinkedHashMap<>();

    /**
     * Records a heartbeat of a machine, and evicts entries that are too old or exceed the maximum
     * number.
     *
     * @param now not before the time of an earlier call
     */
    public synchronized void recordHeartbeat(MachineId machine, MonotonicTime now) {
        // Removed first, so that the machine moves to the end of the insertion order.
        lastHeartbeatAt.remove(machine);
        lastHeartbeatAt.put(machine, now);
        Iterator<MonotonicTime> oldestFirst = lastHeartbeatAt.values().iterator();
        while (oldestFirst.hasNext()) {
            MonotonicTime heartbeatAt = oldestFirst.next();
            if (lastHeartbeatAt.size() <= MAX_TRACKED_MACHINES
                    && isWithin(RETENTION, heartbeatAt, now)) {
                break;
            }
            oldestFirst.remove();
        }
    }

    /**
     * Counts the machines with a recent heartbeat.
     *
     * @param window how far back from {@code now} a heartbeat counts, at most 60 s
     */
    public synchronized int countRecent(Duration window, MonotonicTime now) {
        int recent = 0;
        for (MonotonicTime heartbeatAt : lastHeartbeatAt.values()) {
            if (isWithin(window, heartbeatAt, now)) {
                recent++;
            }
        }
        return recent;
    }

    /**
     * Selects the machines out of a collection that have a recent heartbeat.
     *
     * @param window how far back from {@code now} a heartbeat counts, at most 60 s
     */
    public synchronized Set<MachineId> recentAmong(
            Collection<MachineId> machines, Duration window, MonotonicTime now) {
        Set<MachineId> recent = new HashSet<>();
        for (MachineId machine : machines) {
            MonotonicTime heartbeatAt = lastHeartbeatAt.get(machine);
            if (heartbeatAt != null && isWithin(window, heartbeatAt, now)) {
                recent.add(machine);
            }
        }
        return recent;
    }

    private static boolean isWithin(Duration window, MonotonicTime at, MonotonicTime now) {
        return now.elapsedSince(at).compareTo(window) <= 0;
    }

    /** Returns a copy of everything tracked, for tests of the bounds. */
    synchronized Map<MachineId, MonotonicTime> trackedMachines() {
        return Map.copyOf(lastHeartbeatAt);
    }
}
