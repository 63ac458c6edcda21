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
 * Heartbeats that are answered a little later. A leader defers them because starts are sent in
 * answers alone, so that a machine can start a task at once instead of with its next heartbeat;
 * another node defers them while no leader is known. Guarded by the lock of its owner.
 */
public final class DeferredHeartbeats {
    /** A heartbeat, the future of its response, and when that is due. */
    public record DeferredHeartbeat(
            Heartbeat heartbeat,
            CompletableFuture<HeartbeatResponse> response,
            MonotonicTime deadline) {}

    /** In the order in which they are due, for all are deferred by the same time. */
    private final Map<MachineId, DeferredHeartbeat> byMachine = new LinkedHashMap<>();

    /** Defers the response to a heartbeat until it is taken, or else due at a time. */
    public CompletableFuture<HeartbeatResponse> defer(Heartbeat heartbeat, MonotonicTime until) {
        discardEarlier(heartbeat.machineId());
        DeferredHeartbeat entry =
                new DeferredHeartbeat(heartbeat, new CompletableFuture<>(), until);
        byMachine.put(heartbeat.machineId(), entry);
        return entry.response();
    }

    /**
     * Redirects a machine's earlier heartbeat: a worker has one in flight at a time, so it does not
     * wait for that response any more.
     */
    public void discardEarlier(MachineId machine) {
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

    /** Removes and returns those that are due. */
    public List<DeferredHeartbeat> takeDue(MonotonicTime now) {
        List<DeferredHeartbeat> due = new ArrayList<>();
        for (Iterator<DeferredHeartbeat> all = byMachine.values().iterator(); all.hasNext(); ) {
            DeferredHeartbeat next = all.next();
            if (now.isBefore(next.deadline())) {
                break;
            }
            all.remove();
            due.add(next);
        }
        return due;
    }

    /** Redirects workers to a member, or to their next node if it is null; renews no lease. */
    public static void redirectAll(List<DeferredHeartbeat> heartbeats, String member) {
        heartbeats.forEach(
                each -> each.response().complete(new HeartbeatResponse.Redirect(member)));
    }

    /** Removes and returns all. */
    public List<DeferredHeartbeat> takeAll() {
        List<DeferredHeartbeat> all = List.copyOf(byMachine.values());
        byMachine.clear();
        return all;
    }
}
