package org.meadowhollow.coordination.fleet;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends rental requests to the cloud and records their results. State is guarded by the lock of
 * {@link Autoscaler}; requests are sent without holding it.
 */
final class MachineRenter {
    private static final Logger LOG = LoggerFactory.getLogger(MachineRenter.class);

    /** The cloud's limit on the number of machines in one request. */
    static final int MAX_MACHINES_PER_REQUEST = 50;

    private final Object lock;
    private final CloudProvider cloudProvider;
    private final MachineTypeCatalog machineTypeCatalog;
    private final EventLoop loop;
    private final FencingToken fencingToken;

    @GuardedBy("lock")
    private final PendingRentals pendingRentals;

    @GuardedBy("lock")
    private final RentalBackoff backoff;

    @GuardedBy("lock")
    private int requestCounter;

    @GuardedBy("lock")
    private int requestsInFlight;

    MachineRenter(
            Object lock,
            CloudProvider cloudProvider,
            MachineTypeCatalog machineTypeCatalog,
            EventLoop loop,
            FencingToken fencingToken,
            PendingRentals pendingRentals,
            RentalBackoff backoff) {
        this.lock = lock;
        this.cloudProvider = cloudProvider;
        this.machineTypeCatalog = machineTypeCatalog;
        this.loop = loop;
        this.fencingToken = fencingToken;
        this.pendingRentals = pendingRentals;
        this.backoff = backoff;
    }

    /** Whether any request has not been answered yet. */
    boolean hasRequestsInFlight() {
        synchronized (lock) {
            return requestsInFlight > 0;
        }
    }

    /**
     * Requests machines from a pool, at most {@link #MAX_MACHINES_PER_REQUEST} of them. The caller
     * must not hold the lock.
     */
    void rent(CapacityPool pool, int count) {
        String requestId;
        synchronized (lock) {
            // No node ever reuses a combination of fencing token and counter, so the id is unique.
            requestCounter++;
            requestId = "r-" + fencingToken + '-' + requestCounter;
            requestsInFlight++;
        }
        MonotonicTime sentAt = loop.now();
        int requestedCount = Math.min(MAX_MACHINES_PER_REQUEST, count);
        LOG.info(
                "machine rental requested machines={} market={} type={} zone={} request={}",
                requestedCount,
                pool.spot() ? "spot" : "on-demand",
                pool.type(),
                pool.zone(),
                requestId);
        CompletableFuture<Optional<List<MachineId>>> unusedHandled =
                cloudProvider
                        .rentMachines(
                                requestId, pool.type(), pool.zone(), pool.spot(), requestedCount)
                        .whenComplete(
                                (rented, failure) -> {
                                    synchronized (lock) {
                                        requestsInFlight--;
                                        recordResult(pool, requestedCount, sentAt, rented, failure);
                                    }
                                });
    }

    @GuardedBy("lock")
    private void recordResult(
            CapacityPool pool,
            int requestedCount,
            MonotonicTime sentAt,
            Optional<List<MachineId>> rented,
            Throwable failure) {
        if (failure != null) {
            pausePool(pool, failure.getMessage());
            return;
        }
        if (rented.isEmpty() || rented.get().size() < requestedCount) {
            pausePool(pool, "no capacity");
        } else {
            backoff.recordSuccess(pool);
        }
        if (rented.isPresent()) {
            pendingRentals.recordRented(
                    rented.get(),
                    machineTypeCatalog.typeNamed(pool.type()),
                    pool.zone(),
                    pool.spot(),
                    sentAt,
                    loop.now());
        }
    }

    @GuardedBy("lock")
    private void pausePool(CapacityPool pool, String reason) {
        Duration duration = backoff.recordRefusal(pool, loop.now());
        LOG.info(
                "machine rental paused type={} zone={} duration_s={} reason={}",
                pool.type(),
                pool.zone(),
                duration.toSeconds(),
                reason);
    }
}
