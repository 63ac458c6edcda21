package org.meadowhollow.coordination.fleet;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.IntConsumer;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns machines to the cloud, one request at a time, and remembers which were returned. State is
 * guarded by the lock of {@link Autoscaler}; requests to the cloud and calls to the leader are made
 * without holding it.
 */
final class MachineReturner {
    private static final Logger LOG = LoggerFactory.getLogger(MachineReturner.class);

    private static final int MAX_MACHINES_PER_REQUEST = 100;

    /**
     * Minimum time for which returned machines are remembered: messages can arrive minutes late.
     */
    private static final Duration RETURNED_MACHINE_RETENTION = Duration.ofMinutes(30);

    private final Object lock;
    private final LeadershipContext leader;
    private final CloudProvider cloudProvider;
    private final EventLoop loop;

    @GuardedBy("lock")
    private final PendingRentals pendingRentals;

    /**
     * When each machine was returned, kept for as long as a stale list or heartbeat may still name
     * it.
     */
    @GuardedBy("lock")
    private final Map<MachineId, MonotonicTime> returnedAt = new LinkedHashMap<>();

    @GuardedBy("lock")
    private boolean requestInFlight;

    @GuardedBy("lock")
    private boolean closed;

    MachineReturner(
            Object lock,
            LeadershipContext leader,
            CloudProvider cloudProvider,
            EventLoop loop,
            PendingRentals pendingRentals) {
        this.lock = lock;
        this.leader = leader;
        this.cloudProvider = cloudProvider;
        this.loop = loop;
        this.pendingRentals = pendingRentals;
    }

    /** Stops sending requests. */
    void close() {
        synchronized (lock) {
            closed = true;
        }
    }

    /**
     * Whether the return of a machine is confirmed. Returns are remembered for at least {@link
     * #RETURNED_MACHINE_RETENTION}.
     */
    boolean isReturned(MachineId id) {
        synchronized (lock) {
            return returnedAt.containsKey(id);
        }
    }

    /**
     * Requests the return of machines that are idle, faulty or have been silent for long, at most
     * {@link #MAX_MACHINES_PER_REQUEST} of them. Does nothing while another request is in flight:
     * the next round tries again. The caller must not hold the lock.
     *
     * @param reason for the log
     * @param onReturned called with the number of machines once they are returned
     */
    void returnMachines(List<MachineId> ids, String reason, IntConsumer onReturned) {
        synchronized (lock) {
            if (requestInFlight || ids.isEmpty() || closed) {
                return;
            }
            requestInFlight = true;
        }
        List<MachineId> batch =
                ids.stream()
                        .sorted(Comparator.naturalOrder())
                        .limit(MAX_MACHINES_PER_REQUEST)
                        .toList();
        Set<MachineId> batchIds = new HashSet<>(batch);
        List<Machine> machines =
                leader.snapshotMachines().stream()
                        .filter(machine -> batchIds.contains(machine.id()))
                        .toList();
        machines.forEach(machine -> machine.setReleasing(true));
        LOG.info("machine return requested machine_ids={} reason={}", batch, reason);
        CompletableFuture<Void> unusedHandled =
                cloudProvider
                        .releaseMachines(batch)
                        .whenComplete(
                                (unused, failure) -> {
                                    recordResult(batch, failure);
                                    if (failure == null) {
                                        onReturned.accept(batch.size());
                                        markMachinesGone(batch);
                                    } else {
                                        restoreToService(machines, failure);
                                    }
                                });
    }

    private void recordResult(List<MachineId> batch, Throwable failure) {
        synchronized (lock) {
            requestInFlight = false;
            if (failure != null) {
                return;
            }
            MonotonicTime now = loop.now();
            returnedAt
                    .values()
                    .removeIf(at -> now.elapsedSince(at).compareTo(RETURNED_MACHINE_RETENTION) > 0);
            for (MachineId id : batch) {
                returnedAt.put(id, now);
                pendingRentals.forget(id);
            }
        }
    }

    private void markMachinesGone(List<MachineId> batch) {
        for (MachineId id : batch) {
            leader.markMachineGone(id, "machine returned to the cloud", true);
        }
    }

    /**
     * Clears the releasing state of machines whose return failed. Unless the cloud refused the
     * request, it may still be executed later, so the machines are cordoned and the next round
     * tries again.
     */
    private static void restoreToService(List<Machine> machines, Throwable failure) {
        if (!(unwrapCompletionException(failure)
                instanceof CloudProvider.RequestRefusedException)) {
            machines.forEach(Machine::cordon);
        }
        machines.forEach(machine -> machine.setReleasing(false));
    }

    private static Throwable unwrapCompletionException(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
