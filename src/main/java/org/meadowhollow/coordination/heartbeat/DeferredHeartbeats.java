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
 * Reports that are answered a little later. A leader holds them since starts go out in answers
 * alone, so that a machine can be told to start a task at once, instead of with its next report;
 * another node while no leader is known.
 */
public final class DeferredHeartbeats {
    /** A report, and where its answer goes. */
    public record DeferredHeartbeat(
            Heartbeat heartbeat,
            CompletableFuture<HeartbeatResponse> response,
            MonotonicTime deadline) {}

    /** In the order in which they are due, for all are held for the same time. */
    private final Map<MachineId, DeferredHeartbeat> byMachine = new LinkedHashMap<>();

    public CompletableFuture<HeartbeatResponse> defer(Heartbeat heartbeat, MonotonicTime until) {
        discardEarlier(heartbeat.machineId());
        DeferredHeartbeat entry =
                new DeferredHeartbeat(heartbeat, new CompletableFuture<>(), until);
        byMachine.put(heartbeat.machineId(), entry);
        return entry.response();
    }

    /**
     * Lets go of a machine's earlier report: it has one in flight at a time, so nobody waits for
     * that answer.
     */
    public void discardEarlier(MachineId machine) {
        DeferredHeartbeat earlier = byMachine.remove(machine);
        if (earlier != null) {
            earlier.response().complete(new HeartbeatResponse.Redirect(null));
        }
    }

    public boolean isEmpty() {
        return byMachine.isEmpty();
    }

    /** The machine's held report, which is held no more; null if there is none. */
    public DeferredHeartbeat take(MachineId machine) {
        return byMachine.remove(machine);
    }

    /** Those that have been held for long enough, which are held no more. */
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

    /** Sends workers to a member, or to their next node if it is null; that renews no lease. */
    public static void redirectAll(List<DeferredHeartbeat> reports, String member) {
        reports.forEach(each -> each.response().complete(new HeartbeatResponse.Redirect(member)));
    }

    public List<DeferredHeartbeat> takeAll() {
        List<DeferredHeartbeat> all = List.copyOf(byMachine.values());
        byMachine.clear();
        return all;
    }
}
