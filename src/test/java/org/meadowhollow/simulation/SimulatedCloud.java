package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.cloud.EncodedCloudReplies;

/**
 * The cloud provider: it rents, releases and lists machines. It can have an outage, boot machines
 * late or never, reclaim them or report them as failed. Not thread-safe: everything runs on the
 * virtual event loop.
 */
final class SimulatedCloud implements CloudProvider {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration LATENCY = Duration.ofMillis(200);
    private static final Duration RENTAL_RESPONSE_DELAY = Duration.ofMillis(100);
    private static final double LISTED_AGE_SECONDS = 60;

    private final SimulatedCluster cluster;
    private final Map<String, List<MachineId>> rentals = new HashMap<>();
    private final Map<MachineId, MonotonicTime> rentedAt = new HashMap<>();
    private final List<FakeWorker> returnedWorkers = new ArrayList<>();
    private final Set<MachineId> reclaimed = new HashSet<>();
    private final Set<MachineId> failed = new HashSet<>();
    private Duration bootTime = Duration.ofSeconds(10);
    private Duration listingDelay = Duration.ZERO;
    private int maxMachines = 40;
    private int remainingBootFailures;
    private boolean hasOutage;

    /** The delay of rentals and returns; null if they are executed at once. */
    private Duration changeDelay;

    private int lateChangeCount;

    SimulatedCloud(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    // ---- faults ----

    /** Begins or ends an outage, in which every request is refused. */
    void setOutage(boolean outage) {
        hasOutage = outage;
    }

    /** Makes the next machines that are rented never boot. */
    void failNextBoots(int machines) {
        remainingBootFailures = machines;
    }

    /** Limits the number of machines that exist at a time; further rentals are refused. */
    void limitMachines(int max) {
        maxMachines = max;
    }

    /** Sets the time from the rental of a machine until it has booted, and until it is listed. */
    void setBootTimes(Duration untilBooted, Duration untilListed) {
        bootTime = untilBooted;
        listingDelay = untilListed;
    }

    /** Reclaims a machine without notice, and no longer lists it. */
    void reclaim(FakeWorker worker) {
        worker.setHung(true);
        reclaimed.add(worker.id());
    }

    /** Makes a machine fail: it stops with all its tasks, and is listed as failed. */
    void fail(FakeWorker worker) {
        worker.setHung(true);
        failed.add(worker.id());
    }

    /**
     * Executes rentals and returns late, and gives them no response; null ends the fault for new
     * requests.
     */
    void delayChanges(Duration delay) {
        changeDelay = delay;
    }

    private <T> CompletableFuture<T> executeLate(Runnable change) {
        lateChangeCount++;
        CompletableFuture<T> answer = new CompletableFuture<>();
        cluster.loop()
                .schedule(
                        RESPONSE_TIMEOUT,
                        () ->
                                answer.completeExceptionally(
                                        new Http.NoResponseException("no answer in time")));
        cluster.loop().schedule(changeDelay, change);
        return answer;
    }

    // ---- counters ----

    /** Returns the number of rentals and returns that were executed late. */
    int lateChangeCount() {
        return lateChangeCount;
    }

    /** Returns the number of rentals that were requested. */
    int rentalCount() {
        return rentals.size();
    }

    /** Returns the number of machines that were rented. */
    int rentedMachineCount() {
        return rentals.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the machines that were returned, in the order of their return. */
    List<MachineId> returnedMachines() {
        return returnedWorkers.stream().map(FakeWorker::id).toList();
    }

    List<MachineId> returnedMachinesOf(String zone) {
        return returnedWorkers.stream()
                .filter(worker -> worker.zone().equals(zone))
                .map(FakeWorker::id)
                .toList();
    }

    // ---- CloudProvider ----

    private <T> CompletableFuture<T> afterLatency(CompletableFuture<T> answer, Runnable work) {
        cluster.loop()
                .schedule(
                        LATENCY,
                        () -> {
                            if (hasOutage) {
                                answer.completeExceptionally(
                                        new CloudProvider.RequestRefusedException("cloud outage"));
                            } else {
                                work.run();
                            }
                        });
        return answer;
    }

    @Override
    public CompletableFuture<List<MachineType>> listMachineTypes() {
        CompletableFuture<List<MachineType>> answer = new CompletableFuture<>();
        return afterLatency(
                answer,
                () ->
                        answer.complete(
                                EncodedCloudReplies.transmitTypes(
                                        List.of(SimulatedCluster.SMALL, SimulatedCluster.LARGE),
                                        cluster.encoding())));
    }

    @Override
    public CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String request, String type, String zone, boolean spot, int count) {
        if (changeDelay != null) {
            return executeLate(() -> rent(request, type, zone, count));
        }
        CompletableFuture<Optional<List<MachineId>>> answer = new CompletableFuture<>();
        return afterLatency(
                answer,
                () -> {
                    List<MachineId> ids = rent(request, type, zone, count);
                    // A machine that boots at once may send heartbeats before this response
                    // arrives.
                    cluster.loop()
                            .schedule(
                                    RENTAL_RESPONSE_DELAY,
                                    () ->
                                            answer.complete(
                                                    EncodedCloudReplies.transmitRental(
                                                            ids, cluster.encoding())));
                });
    }

    private List<MachineId> rent(String request, String type, String zone, int count) {
        if (lateChangeCount > 0 && rentals.containsKey(request)) {
            // The request is repeated after it got no response.
            return rentals.get(request);
        }
        assertTrue(!rentals.containsKey(request), "rental request sent twice: " + request);
        List<MachineId> ids = new ArrayList<>();
        while (ids.size() < count && cluster.workers().size() + ids.size() < maxMachines) {
            MachineId id = cluster.nextMachineId();
            ids.add(id);
            rentedAt.put(id, cluster.loop().now());
            if (remainingBootFailures > 0) {
                remainingBootFailures--;
            } else {
                cluster.loop().schedule(bootTime, () -> cluster.boot(id, type, zone));
            }
        }
        rentals.put(request, ids);
        return ids;
    }

    @Override
    public CompletableFuture<Void> releaseMachines(List<MachineId> machines) {
        if (changeDelay != null) {
            return executeLate(() -> release(machines));
        }
        CompletableFuture<Void> answer = new CompletableFuture<>();
        cluster.network().maybeDuplicate(() -> release(machines));
        return afterLatency(
                answer,
                () -> {
                    release(machines);
                    answer.complete(null);
                });
    }

    private void release(List<MachineId> machines) {
        for (MachineId id : machines) {
            FakeWorker worker = cluster.removeWorker(id);
            if (worker != null) {
                returnedWorkers.add(worker);
                worker.remove();
            }
        }
    }

    @Override
    public CompletableFuture<List<ListedMachine>> listMachines() {
        CompletableFuture<List<ListedMachine>> answer = new CompletableFuture<>();
        return afterLatency(
                answer,
                () ->
                        answer.complete(
                                EncodedCloudReplies.transmitMachines(
                                        cluster.workers().stream()
                                                .filter(this::isListed)
                                                .map(this::toListedMachine)
                                                .toList(),
                                        cluster.encoding())));
    }

    private boolean isListed(FakeWorker worker) {
        MonotonicTime rentalTime = rentedAt.get(worker.id());
        return !reclaimed.contains(worker.id())
                && (rentalTime == null
                        || cluster.loop().now().elapsedSince(rentalTime).compareTo(listingDelay)
                                > 0);
    }

    private ListedMachine toListedMachine(FakeWorker worker) {
        return new ListedMachine(
                worker.id(),
                worker.id().value() + ":9000",
                worker.type(),
                worker.zone(),
                false,
                failed.contains(worker.id()) ? MachinePhase.FAILED : MachinePhase.RUNNING,
                LISTED_AGE_SECONDS);
    }
}
