package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.IntConsumer;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.scheduling.ReleaseForecast;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for the work that waits, and returns those that are idle, faulty or silent. */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

    /** The cloud's limit of machines in one request. */
    private static final int MAX_MACHINES_PER_RENT_REQUEST = 50;

    private static final int MAX_MACHINES_PER_RETURN_REQUEST = 100;

    /** Messages can arrive minutes late. */
    private static final Duration RETURNED_MACHINE_RETENTION = Duration.ofMinutes(30);

    private static final boolean[] ON_DEMAND_ONLY = {false};
    private static final boolean[] SPOT_THEN_ON_DEMAND = {true, false};

    /** Makes any difference in price count for more than a zone with fewer machines. */
    private static final double COST_WEIGHT_OVER_ZONE_SPREAD = 1000;

    /**
     * After a refusal the same kind is left alone for this long at first, and for twice that each
     * time.
     */
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(4);

    private static final Duration MAX_BACKOFF = Duration.ofSeconds(30);

    /**
     * An idle machine is kept for this long at least, also before any job has shown what its image
     * costs to fetch: a machine costs a minute in any case, and its return takes some seconds, with
     * a round and calls that fail.
     */
    private static final double MIN_IDLE_RETENTION_SECONDS = 50;

    /**
     * A machine that costs this much more for a task than the cheapest kind is rented only for what
     * would be late.
     */
    private static final double EXPENSIVE_COST_RATIO = 2;

    /**
     * Waiting tasks of a job that found no machine.
     *
     * @param requiredZone the only one that will do, or null
     * @param ageSeconds how long ago the job was submitted
     */
    public record CapacityDemand(JobSpec spec, int tasks, String requiredZone, double ageSeconds) {}

    private record CapacityPool(String type, String zone, boolean spot) {}

    private static final class Backoff {
        private MonotonicTime until;
        private Duration duration = INITIAL_BACKOFF;
    }

    private final LeadershipContext leader;
    private final CloudProvider cloudProvider;
    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final EventLoop loop;
    private final FencingToken fencingToken;
    private final UnreachableMachineReturnPolicy returnPolicy;
    private final PendingRentals pendingRentals = new PendingRentals();
    private final Map<CapacityPool, Backoff> backoffs = new HashMap<>();

    /** Returned machines, for as long as a late list or report may still name them. */
    private final Map<MachineId, MonotonicTime> returnedAt = new LinkedHashMap<>();

    private List<CapacityDemand> capacityDemand = List.of();
    private Set<MachineId> retainedMachines = Set.of();
    private int rentRequestCounter;
    private int rentRequestsInFlight;
    private boolean returnInFlight;
    private boolean closed;

    public Autoscaler(
            LeadershipContext leader,
            CloudProvider cloudProvider,
            DeploymentSettings deploymentSettings,
            MachineTypeCatalog machineTypeCatalog,
            EventLoop loop,
            FencingToken fencingToken,
            UnreachableMachineReturnPolicy unreachableMachineReturnPolicy) {
        this.leader = leader;
        this.cloudProvider = cloudProvider;
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
        this.loop = loop;
        this.fencingToken = fencingToken;
        this.returnPolicy = unreachableMachineReturnPolicy;
    }

    public void start() {
        pollMachineList();
    }

    public synchronized void close() {
        closed = true;
    }

    /**
     * Takes in what a round found: what to rent for, and the machines to keep for what is likely to
     * come.
     */
    public synchronized void capacityDemand(List<CapacityDemand> now, Set<MachineId> keep) {
        capacityDemand = now;
        retainedMachines = keep;
    }

    /** Whether a machine was returned for certain, so that a late report of it means nothing. */
    public synchronized boolean isReturned(MachineId id) {
        return returnedAt.containsKey(id);
    }

    private void pollMachineList() {
        if (leader.isClosed()) {
            return;
        }
        // A list is late anyway; asking at half that lag finds what there is to find.
        Duration next = deploymentSettings.cloudListingDelay().dividedBy(2);
        cloudProvider
                .listMachines()
                .whenComplete(
                        (list, failure) -> {
                            if (failure == null) {
                                processMachineList(list);
                            }
                            loop.schedule(next, this::pollMachineList);
                        });
    }

    private void processMachineList(List<CloudProvider.ListedMachine> list) {
        List<CloudProvider.ListedMachine> live = new ArrayList<>();
        synchronized (this) {
            for (CloudProvider.ListedMachine item : list) {
                if (returnedAt.containsKey(item.id())) {
                    continue;
                }
                live.add(item);
                MachineType type = machineTypeCatalog.typeNamed(item.type());
                if (type == null) {
                    continue;
                }
                if (item.phase() == CloudProvider.MachinePhase.BOOTING) {
                    pendingRentals.recordListedAsBooting(
                            item.id(),
                            type,
                            item.zone(),
                            item.spot(),
                            new MonotonicTime(
                                    loop.now().nanos() - (long) (item.ageSeconds() * 1e9)));
                } else if (item.phase() == CloudProvider.MachinePhase.FAILED) {
                    pendingRentals.forget(item.id());
                }
            }
        }
        leader.applyMachineList(live);
        returnFailedMachines(live);
    }

    private void returnFailedMachines(List<CloudProvider.ListedMachine> list) {
        List<MachineId> failed = new ArrayList<>();
        for (CloudProvider.ListedMachine item : list) {
            if (item.phase() == CloudProvider.MachinePhase.FAILED) {
                failed.add(item.id());
            }
        }
        returnMachines(failed, "failed", returned -> {});
    }

    /**
     * One round: rent for what waits, return what is of no more use. Not without the lease: whoever
     * leads by then may have placed something on a machine that is idle for all that this leader
     * knows. Nor while hardly any machine is heard: all of them seem useless then, and all that
     * waits seems to need others.
     */
    public void scaleOutAndIn() {
        List<Machine> machines = leader.snapshotMachines();
        if (!leader.isStateRecovered()
                || machineTypeCatalog.isEmpty()
                || !leader.canActAsLeader()) {
            return;
        }
        MonotonicTime now = loop.now();
        List<MachineId> unwanted = new ArrayList<>();
        Map<CapacityPool, Integer> wanted;
        synchronized (this) {
            if (closed) {
                return;
            }
            for (Machine machine : machines) {
                if (machine.lastContactAt() != null) {
                    pendingRentals.recordBooted(machine.id(), machine.lastContactAt());
                }
            }
            if (leader.isReachabilityHealthy()) {
                unwanted.addAll(pendingRentals.abandonedRentals(now));
            }
            wanted = rentRequestsInFlight > 0 ? Map.of() : planScaleOut(machines, now);
        }
        List<MachineId> silent = returnPolicy.selectForReturn(machines, now);
        for (Machine machine : machines) {
            if (shouldReturn(machine, now)) {
                unwanted.add(machine.id());
            }
        }
        wanted.forEach(this::rentMachines);
        returnMachines(silent, "silent", returned -> returnPolicy.returned(returned, loop.now()));
        returnMachines(unwanted, "idle or faulty", returned -> {});
    }

    private boolean shouldReturn(Machine machine, MonotonicTime now) {
        if (machine.releasing()) {
            return false;
        }
        if (machine.isIncarnationReset()) {
            return true;
        }
        // A cancelled task that does not go is made to: the return proves it gone in time for its
        // limit.
        Duration half = deploymentSettings.cancellationBound().dividedBy(2);
        if (machine.placements().stream()
                .anyMatch(
                        placement ->
                                placement.job().isCancelled()
                                        && now.elapsedSince(placement.job().cancelObservedAt())
                                                        .compareTo(half)
                                                > 0)) {
            return true;
        }
        if (machine.preemptionDeadline() != null) {
            return machine.preemptionDeadline().isBefore(now)
                    && machine.lastContactAt() != null
                    && now.secondsSince(machine.lastContactAt()) > 1;
        }
        if (machine.idleSince() == null || machine.lastContactAt() == null) {
            return false;
        }
        return machine.isUnschedulable()
                || !retainedMachines.contains(machine.id())
                        && now.secondsSince(machine.idleSince())
                                > idleRetentionSeconds(machine.type());
    }

    /**
     * How long an idle machine is kept: as long as it would take to have another one as ready, with
     * its image fetched. Who keeps for the time that it costs to come back never pays more than
     * double.
     */
    private double idleRetentionSeconds(MachineType type) {
        return Math.max(
                MIN_IDLE_RETENTION_SECONDS,
                type.bootSeconds() + leader.largestImageGb() / type.imagePullGbPerSecond());
    }

    /**
     * What to rent: the needs that neither the machines that are booting nor each other's new ones
     * take.
     */
    private Map<CapacityPool, Integer> planScaleOut(List<Machine> machines, MonotonicTime now) {
        record Bin(CapacityPool source, Resources[] free, double readyInS) {}
        List<Bin> bins = new ArrayList<>();
        pendingRentals
                .expectedRentals(now)
                .forEach(
                        rental ->
                                bins.add(
                                        new Bin(
                                                new CapacityPool(
                                                        rental.type().name(),
                                                        rental.zone(),
                                                        rental.spot()),
                                                new Resources[] {rental.type().capacity()},
                                                rental.secondsUntilReady(now))));
        ReleaseForecast releaseForecast = new ReleaseForecast(machines, now);
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : machines) {
            perZone.merge(machine.zone(), 1, Integer::sum);
        }
        Map<CapacityPool, Integer> wanted = new LinkedHashMap<>();
        for (CapacityDemand capacityDemand : capacityDemand) {
            JobSpec spec = capacityDemand.spec();
            Map<String, Integer> inZone = new HashMap<>();
            String only = capacityDemand.requiredZone();
            int left = capacityDemand.tasks();
            boolean mayFollow = spec.kind() == JobKind.ARRAY;
            while (left > 0) {
                Bin found = null;
                for (Bin bin : bins) {
                    if (canHost(spec, bin.source(), only)
                            && spec.resourcesPerTask().fitsIn(bin.free()[0])
                            && inZone.getOrDefault(bin.source().zone(), 0)
                                    < spec.maxTasksPerZone()) {
                        found = bin;
                        break;
                    }
                }
                if (found == null) {
                    CapacityPool capacityPool = findCheapestPool(spec, only, inZone, perZone, now);
                    if (mayFollow && (capacityPool == null || isExpensive(spec, capacityPool))) {
                        mayFollow = false;
                        left -=
                                releaseForecast.claimReleases(
                                        spec,
                                        left,
                                        capacityDemand.ageSeconds(),
                                        leader.startupDelaySeconds(spec));
                        continue;
                    }
                    if (capacityPool == null) {
                        break;
                    }
                    MachineType type = machineTypeCatalog.typeNamed(capacityPool.type());
                    found =
                            new Bin(
                                    capacityPool,
                                    new Resources[] {type.capacity()},
                                    type.bootSeconds());
                    bins.add(found);
                    wanted.merge(capacityPool, 1, Integer::sum);
                    perZone.merge(capacityPool.zone(), 1, Integer::sum);
                }
                found.free()[0] = found.free()[0].minus(spec.resourcesPerTask());
                inZone.merge(found.source().zone(), 1, Integer::sum);
                if (spec.kind() == JobKind.ARRAY) {
                    MachineType type = machineTypeCatalog.typeNamed(found.source().type());
                    releaseForecast.addReleaseOnBootingMachine(
                            spec,
                            type,
                            found.source().zone(),
                            found.source().spot(),
                            found.readyInS() + spec.imageSizeGb() / type.imagePullGbPerSecond());
                }
                if (spec.requiresSingleZone()) {
                    only = found.source().zone();
                }
                left--;
            }
        }
        return wanted;
    }

    private boolean isExpensive(JobSpec spec, CapacityPool capacityPool) {
        double cheapest = Double.MAX_VALUE;
        for (MachineType type : machineTypeCatalog.types()) {
            if (spec.allowsMachineType(type.name())
                    && spec.resourcesPerTask().fitsIn(type.capacity())) {
                cheapest = Math.min(cheapest, hourlyCostPerTask(spec, type, spec.allowsSpot()));
            }
        }
        return hourlyCostPerTask(
                        spec,
                        machineTypeCatalog.typeNamed(capacityPool.type()),
                        capacityPool.spot())
                > cheapest * EXPENSIVE_COST_RATIO;
    }

    /** The hourly cost of a task on a machine that it shares with others of its kind. */
    private static double hourlyCostPerTask(JobSpec spec, MachineType type, boolean spot) {
        int each =
                spec.kind() == JobKind.GANG
                        ? 1
                        : spec.resourcesPerTask()
                                .maxCopiesIn(type.capacity(), MAX_MACHINES_PER_RENT_REQUEST);
        return (spot ? type.hourlySpotPrice() : type.hourlyPrice()) / Math.max(1, each);
    }

    private boolean canHost(JobSpec spec, CapacityPool capacityPool, String zone) {
        return spec.allowsMachineType(capacityPool.type())
                && (!capacityPool.spot() || spec.allowsSpot())
                && (zone == null || zone.equals(capacityPool.zone()))
                && spec.resourcesPerTask()
                        .fitsIn(machineTypeCatalog.typeNamed(capacityPool.type()).capacity());
    }

    /** The cheapest place to rent for a task; among equals, the zone with the fewest machines. */
    private CapacityPool findCheapestPool(
            JobSpec spec,
            String only,
            Map<String, Integer> inZone,
            Map<String, Integer> perZone,
            MonotonicTime now) {
        CapacityPool best = null;
        double bestCost = 0;
        for (MachineType type : machineTypeCatalog.types()) {
            for (String zone : type.zones()) {
                for (boolean spot : spec.allowsSpot() ? SPOT_THEN_ON_DEMAND : ON_DEMAND_ONLY) {
                    CapacityPool capacityPool = new CapacityPool(type.name(), zone, spot);
                    Backoff backoff = backoffs.get(capacityPool);
                    if (!canHost(spec, capacityPool, only)
                            || leader.isInOutageWindow(type.name(), zone)
                            || backoff != null && now.isBefore(backoff.until)
                            || inZone.getOrDefault(zone, 0) >= spec.maxTasksPerZone()) {
                        continue;
                    }
                    double cost =
                            hourlyCostPerTask(spec, type, spot) * COST_WEIGHT_OVER_ZONE_SPREAD
                                    + perZone.getOrDefault(zone, 0);
                    if (best == null || cost < bestCost) {
                        best = capacityPool;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    private void rentMachines(CapacityPool capacityPool, int count) {
        String request;
        synchronized (this) {
            // Term and counter together are never used again, by this node or any other.
            request = "r-" + fencingToken + '-' + (++rentRequestCounter);
            rentRequestsInFlight++;
        }
        MonotonicTime sentAt = loop.now();
        int most = Math.min(MAX_MACHINES_PER_RENT_REQUEST, count);
        LOG.info(
                "renting {} {} {} in {} as {}",
                most,
                capacityPool.spot() ? "spot" : "ordinary",
                capacityPool.type(),
                capacityPool.zone(),
                request);
        cloudProvider
                .rentMachines(
                        request,
                        capacityPool.type(),
                        capacityPool.zone(),
                        capacityPool.spot(),
                        most)
                .whenComplete(
                        (rented, failure) -> {
                            synchronized (this) {
                                rentRequestsInFlight--;
                                if (failure != null
                                        || rented.isEmpty()
                                        || rented.get().size() < most) {
                                    backOff(
                                            capacityPool,
                                            failure != null ? failure.getMessage() : "no capacity");
                                } else {
                                    backoffs.remove(capacityPool);
                                }
                                if (failure == null && rented.isPresent()) {
                                    MachineType type =
                                            machineTypeCatalog.typeNamed(capacityPool.type());
                                    pendingRentals.recordRented(
                                            rented.get(),
                                            type,
                                            capacityPool.zone(),
                                            capacityPool.spot(),
                                            sentAt,
                                            loop.now());
                                }
                            }
                        });
    }

    private void backOff(CapacityPool capacityPool, String why) {
        Backoff backoff = backoffs.computeIfAbsent(capacityPool, unused -> new Backoff());
        backoff.until = loop.now().plus(backoff.duration);
        LOG.info(
                "no more {} in {} for {} s: {}",
                capacityPool.type(),
                capacityPool.zone(),
                backoff.duration.toSeconds(),
                why);
        Duration twice = backoff.duration.multipliedBy(2);
        backoff.duration = twice.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : twice;
    }

    /** Returns machines that nothing is placed on any more, or that have given no sign for long. */
    private void returnMachines(List<MachineId> ids, String why, IntConsumer returned) {
        List<MachineId> batch;
        synchronized (this) {
            if (returnInFlight || ids.isEmpty() || closed) {
                return;
            }
            returnInFlight = true;
            batch =
                    ids.stream()
                            .sorted(Comparator.naturalOrder())
                            .limit(MAX_MACHINES_PER_RETURN_REQUEST)
                            .toList();
        }
        Set<MachineId> set = new HashSet<>(batch);
        List<Machine> machines =
                leader.snapshotMachines().stream().filter(one -> set.contains(one.id())).toList();
        machines.forEach(machine -> machine.releasing(true));
        LOG.info("returning {}: {}", batch, why);
        cloudProvider
                .releaseMachines(batch)
                .whenComplete(
                        (unused, failure) -> {
                            synchronized (this) {
                                returnInFlight = false;
                                if (failure == null) {
                                    MonotonicTime now = loop.now();
                                    returnedAt
                                            .values()
                                            .removeIf(
                                                    at ->
                                                            now.elapsedSince(at)
                                                                            .compareTo(
                                                                                    RETURNED_MACHINE_RETENTION)
                                                                    > 0);
                                    batch.forEach(id -> returnedAt.put(id, now));
                                    batch.forEach(pendingRentals::forget);
                                }
                            }
                            if (failure == null) {
                                returned.accept(batch.size());
                                batch.forEach(
                                        id ->
                                                leader.markMachineGone(
                                                        id, "its machine was returned", true));
                            } else {
                                if (!(unwrapCompletionException(failure)
                                        instanceof CloudProvider.RequestRefusedException)) {
                                    // It may still be executed late, so nothing is placed there;
                                    // the next round tries again.
                                    machines.forEach(Machine::cordon);
                                }
                                machines.forEach(machine -> machine.releasing(false));
                            }
                        });
    }

    private static Throwable unwrapCompletionException(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
