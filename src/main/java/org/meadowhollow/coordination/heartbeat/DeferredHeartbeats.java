package org.meadowhollow.coordination.heartbeat;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/**
 * Holds heartbeats whose responses are deferred. A leader sends starts of tasks in heartbeat
 * responses alone, so it defers responses to let a machine start a task immediately instead of with
 * its next heartbeat. Another node defers them while no leader is known. Guarded by the lock of its
 * owner.
 */
public final class DeferredHeartbeats {
    /** A heartbeat, the future of its response, and the time at which the response is due. */
    public record DeferredHeartbeat(
            Heartbeat heartbeat,
            CompletableFuture<HeartbeatResponse> response,
            MonotonicTime deadline) {}

    /**
     * The deferred heartbeats, in the order of their deadlines, since all heartbeats are deferred
     * by the same duration.
     */
    private final Map<MachineId, DeferredHeartbeat> byMachine = new LinkedHashMap<>();

    /**
     * Defers the response to a heartbeat until the heartbeat is taken, which {@link #takeDue} does
     * once the deadline has passed. An earlier deferred heartbeat of the same machine is
     * redirected.
     */
    public CompletableFuture<HeartbeatResponse> defer(Heartbeat heartbeat, MonotonicTime deadline) {
        redirectEarlier(heartbeat.machineId());
        DeferredHeartbeat deferred =
                new DeferredHeartbeat(heartbeat, new CompletableFuture<>(), deadline);
        byMachine.put(heartbeat.machineId(), deferred);
        return deferred.response();
    }

    /**
     * Answers a machine's earlier heartbeat with a redirect: a worker has one heartbeat in flight
     * at a time, so it no longer waits for that response.
     */
    public void redirectEarlier(MachineId machine) {
        DeferredHeartbeat earlier = byMachine.remove(machine);
        if (earlier != null) {
            earlier.response().complete(new HeartbeatResponse.Redirect(null));
        }
    }

    /** Whether no heartbeat is deferred. */
    public boolean isEmpty() {
        return byMachine.isEmpty();
    }

    /** Removes and returns the machine's deferred heartbeat; null if there is none. */
    public DeferredHeartbeat take(MachineId machine) {
        return byMachine.remove(machine);
    }

    /** Removes and returns the heartbeats that are due. */
    public List<DeferredHeartbeat> takeDue(MonotonicTime now) {
        List<DeferredHeartbeat> due = new ArrayList<>();
        for (Iterator<DeferredHeartbeat> iterator = byMachine.values().iterator();
                iterator.hasNext(); ) {
            DeferredHeartbeat deferred = iterator.next();
            if (now.isBefore(deferred.deadline())) {
                break;
            }
            iterator.remove();
            due.add(deferred);
        }
        return due;
    }

    /**
     * Answers heartbeats with a redirect, which renews no lease.
     *
     * @param member the node to redirect the workers to, or null for the next node of each worker
     */
    public static void redirectAll(List<DeferredHeartbeat> heartbeats, String member) {
        heartbeats.forEach(
                deferred -> deferred.response().complete(new HeartbeatResponse.Redirect(member)));
    }

    /** Removes and returns all deferred heartbeats. */
    public List<DeferredHeartbeat> takeAll() {
        List<DeferredHeartbeat> all = List.copyOf(byMachine.values());
        byMachine.clear();
        return all;
    }
}
