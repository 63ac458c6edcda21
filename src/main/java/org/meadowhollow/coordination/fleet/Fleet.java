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
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

    /** The cloud's limit of machines in one request. */
    private static final int MOST_RENTED = 50;

    private static final int MOST_RELEASED = 100;

    /** Messages can arrive minutes late. */
    private static final Duration FORGET_RETURNED = Duration.ofMinutes(30);

    private static final boolean[] ORDINARY = {false};
    private static final boolean[] SPOT_FIRST = {true, false};

    /** Makes any difference in price count for more than a zone with fewer machines. */
    private static final double ZONE_WEIGHT = 1000;

    /**
     * After a refusal the same kind is left alone for this long at first, and for twice that each
     * time.
     */
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(4);

    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);

    /**
     * An idle machine is kept for this long at least, also before any job has shown what its image
     * costs to fetch: a machine costs a minute in any case, and its return takes some seconds, with
     * a round and calls that fail.
     */
    private static final double LEAST_KEPT_S = 50;

    /**
     * A machine that costs this much more for a task than the cheapest kind is rented only for what
     * would be late.
     */
    private static final double DEAR = 2;

    /**
     * Waiting tasks of a job that found no machine.
     *
     * @param zone the only one that will do, or null
     * @param agedS how long ago the job was submitted
     */
    public record Need(JobSpec spec, int tasks, String zone, double agedS) {}

    private record Source(String type, String zone, boolean spot) {}

    private static final class Pause {
        private MonotonicTime until;
        private Duration length = FIRST_PAUSE;
    }

    private final TermHolder leader;
    private final CloudProvider cloudProvider;
    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final EventLoop loop;
    private final FencingToken fencingToken;
    private final GivingUp givingUp;
    private final Awaited awaited = new Awaited();
    private final Map<Source, Pause> pauses = new HashMap<>();

    /** Returned machines, for as long as a late list or report may still name them. */
    private final Map<MachineId, MonotonicTime> released = new LinkedHashMap<>();

    private List<Need> needs = List.of();
    private Set<MachineId> reserved = Set.of();
    private int counter;
    private int renting;
    private boolean releasing;
    private boolean closed;

    public Fleet(
            TermHolder leader,
            CloudProvider cloudProvider,
            DeploymentSettings deploymentSettings,
            MachineTypeCatalog machineTypeCatalog,
            EventLoop loop,
            FencingToken fencingToken,
            GivingUp givingUp) {
        this.leader = leader;
        this.cloudProvider = cloudProvider;
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
        this.loop = loop;
        this.fencingToken = fencingToken;
        this.givingUp = givingUp;
    }

    public void start() {
        list();
    }

    public synchronized void close() {
        closed = true;
    }

    /**
     * Takes in what a round found: what to rent for, and the machines to keep for what is likely to
     * come.
     */
    public synchronized void needs(List<Need> now, Set<MachineId> keep) {
        needs = now;
        reserved = keep;
    }

    /** Whether a machine was returned for certain, so that a late report of it means nothing. */
    public synchronized boolean isGone(MachineId id) {
        return released.containsKey(id);
    }

    private void list() {
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
                                listed(list);
                            }
                            loop.schedule(next, this::list);
                        });
    }

    private void listed(List<CloudProvider.ListedMachine> list) {
        List<CloudProvider.ListedMachine> live = new ArrayList<>();
        synchronized (this) {
            for (CloudProvider.ListedMachine item : list) {
                if (released.containsKey(item.id())) {
                    continue;
                }
                live.add(item);
                MachineType type = machineTypeCatalog.typeNamed(item.type());
                if (type == null) {
                    continue;
                }
                if (item.phase() == CloudProvider.MachinePhase.BOOTING) {
                    awaited.listed(
                            item.id(),
                            type,
                            item.zone(),
                            item.spot(),
                            new MonotonicTime(
                                    loop.now().nanos() - (long) (item.ageSeconds() * 1e9)));
                } else if (item.phase() == CloudProvider.MachinePhase.FAILED) {
                    awaited.forget(item.id());
                }
            }
        }
        leader.listed(live);
        returnFailed(live);
    }

    private void returnFailed(List<CloudProvider.ListedMachine> list) {
        List<MachineId> failed = new ArrayList<>();
        for (CloudProvider.ListedMachine item : list) {
            if (item.phase() == CloudProvider.MachinePhase.FAILED) {
                failed.add(item.id());
            }
        }
        release(failed, "failed", returned -> {});
    }

    /**
     * One round: rent for what waits, return what is of no more use. Not without the lease: whoever
     * leads by then may have placed something on a machine that is idle for all that this leader
     * knows. Nor while hardly any machine is heard: all of them seem useless then, and all that
     * waits seems to need others.
     */
    public void act() {
        List<Machine> machines = leader.machineList();
        if (!leader.isLoaded() || machineTypeCatalog.isEmpty() || !leader.mayAct()) {
            return;
        }
        MonotonicTime now = loop.now();
        List<MachineId> unwanted = new ArrayList<>();
        Map<Source, Integer> wanted;
        synchronized (this) {
            if (closed) {
                return;
            }
            for (Machine machine : machines) {
                if (machine.lastContactAt() != null) {
                    awaited.cameUp(machine.id(), machine.lastContactAt());
                }
            }
            if (leader.hearsWell()) {
                unwanted.addAll(awaited.givenUp(now));
            }
            wanted = renting > 0 ? Map.of() : wanted(machines, now);
        }
        List<MachineId> silent = givingUp.choose(machines, now);
        for (Machine machine : machines) {
            if (unwanted(machine, now)) {
                unwanted.add(machine.id());
            }
        }
        wanted.forEach(this::rent);
        release(silent, "silent", returned -> givingUp.returned(returned, loop.now()));
        release(unwanted, "idle or faulty", returned -> {});
    }

    private boolean unwanted(Machine machine, MonotonicTime now) {
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
                || !reserved.contains(machine.id())
                        && now.secondsSince(machine.idleSince()) > keepS(machine.type());
    }

    /**
     * How long an idle machine is kept: as long as it would take to have another one as ready, with
     * its image fetched. Who keeps for the time that it costs to come back never pays more than
     * double.
     */
    private double keepS(MachineType type) {
        return Math.max(
                LEAST_KEPT_S,
                type.bootSeconds() + leader.largestImageGb() / type.imagePullGbPerSecond());
    }

    /**
     * What to rent: the needs that neither the machines that are booting nor each other's new ones
     * take.
     */
    private Map<Source, Integer> wanted(List<Machine> machines, MonotonicTime now) {
        record Bin(Source source, Resources[] free, double readyInS) {}
        List<Bin> bins = new ArrayList<>();
        awaited.counted(now)
                .forEach(
                        rental ->
                                bins.add(
                                        new Bin(
                                                new Source(
                                                        rental.type().name(),
                                                        rental.zone(),
                                                        rental.spot()),
                                                new Resources[] {rental.type().capacity()},
                                                rental.readyInS(now))));
        ReleaseForecast releaseForecast = new ReleaseForecast(machines, now);
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : machines) {
            perZone.merge(machine.zone(), 1, Integer::sum);
        }
        Map<Source, Integer> wanted = new LinkedHashMap<>();
        for (Need need : needs) {
            JobSpec spec = need.spec();
            Map<String, Integer> inZone = new HashMap<>();
            String only = need.zone();
            int left = need.tasks();
            boolean mayFollow = spec.kind() == JobKind.ARRAY;
            while (left > 0) {
                Bin found = null;
                for (Bin bin : bins) {
                    if (fits(spec, bin.source(), only)
                            && spec.resourcesPerTask().fitsIn(bin.free()[0])
                            && inZone.getOrDefault(bin.source().zone(), 0)
                                    < spec.maxTasksPerZone()) {
                        found = bin;
                        break;
                    }
                }
                if (found == null) {
                    Source source = source(spec, only, inZone, perZone, now);
                    if (mayFollow && (source == null || isDear(spec, source))) {
                        mayFollow = false;
                        left -=
                                releaseForecast.claimReleases(
                                        spec, left, need.agedS(), leader.readyS(spec));
                        continue;
                    }
                    if (source == null) {
                        break;
                    }
                    MachineType type = machineTypeCatalog.typeNamed(source.type());
                    found = new Bin(source, new Resources[] {type.capacity()}, type.bootSeconds());
                    bins.add(found);
                    wanted.merge(source, 1, Integer::sum);
                    perZone.merge(source.zone(), 1, Integer::sum);
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

    private boolean isDear(JobSpec spec, Source source) {
        double cheapest = Double.MAX_VALUE;
        for (MachineType type : machineTypeCatalog.types()) {
            if (spec.allowsMachineType(type.name())
                    && spec.resourcesPerTask().fitsIn(type.capacity())) {
                cheapest = Math.min(cheapest, costOf(spec, type, spec.allowsSpot()));
            }
        }
        return costOf(spec, machineTypeCatalog.typeNamed(source.type()), source.spot())
                > cheapest * DEAR;
    }

    /** The hourly cost of a task on a machine that it shares with others of its kind. */
    private static double costOf(JobSpec spec, MachineType type, boolean spot) {
        int each =
                spec.kind() == JobKind.GANG
                        ? 1
                        : spec.resourcesPerTask().maxCopiesIn(type.capacity(), MOST_RENTED);
        return (spot ? type.hourlySpotPrice() : type.hourlyPrice()) / Math.max(1, each);
    }

    private boolean fits(JobSpec spec, Source source, String zone) {
        return spec.allowsMachineType(source.type())
                && (!source.spot() || spec.allowsSpot())
                && (zone == null || zone.equals(source.zone()))
                && spec.resourcesPerTask()
                        .fitsIn(machineTypeCatalog.typeNamed(source.type()).capacity());
    }

    /** The cheapest place to rent for a task; among equals, the zone with the fewest machines. */
    private Source source(
            JobSpec spec,
            String only,
            Map<String, Integer> inZone,
            Map<String, Integer> perZone,
            MonotonicTime now) {
        Source best = null;
        double bestCost = 0;
        for (MachineType type : machineTypeCatalog.types()) {
            for (String zone : type.zones()) {
                for (boolean spot : spec.allowsSpot() ? SPOT_FIRST : ORDINARY) {
                    Source source = new Source(type.name(), zone, spot);
                    Pause pause = pauses.get(source);
                    if (!fits(spec, source, only)
                            || leader.isOut(type.name(), zone)
                            || pause != null && now.isBefore(pause.until)
                            || inZone.getOrDefault(zone, 0) >= spec.maxTasksPerZone()) {
                        continue;
                    }
                    double cost =
                            costOf(spec, type, spot) * ZONE_WEIGHT + perZone.getOrDefault(zone, 0);
                    if (best == null || cost < bestCost) {
                        best = source;
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    private void rent(Source source, int count) {
        String request;
        synchronized (this) {
            // Term and counter together are never used again, by this node or any other.
            request = "r-" + fencingToken + '-' + (++counter);
            renting++;
        }
        MonotonicTime sentAt = loop.now();
        int most = Math.min(MOST_RENTED, count);
        LOG.info(
                "renting {} {} {} in {} as {}",
                most,
                source.spot() ? "spot" : "ordinary",
                source.type(),
                source.zone(),
                request);
        cloudProvider
                .rentMachines(request, source.type(), source.zone(), source.spot(), most)
                .whenComplete(
                        (rented, failure) -> {
                            synchronized (this) {
                                renting--;
                                if (failure != null
                                        || rented.isEmpty()
                                        || rented.get().size() < most) {
                                    pause(
                                            source,
                                            failure != null ? failure.getMessage() : "no capacity");
                                } else {
                                    pauses.remove(source);
                                }
                                if (failure == null && rented.isPresent()) {
                                    MachineType type = machineTypeCatalog.typeNamed(source.type());
                                    awaited.rented(
                                            rented.get(),
                                            type,
                                            source.zone(),
                                            source.spot(),
                                            sentAt,
                                            loop.now());
                                }
                            }
                        });
    }

    private void pause(Source source, String why) {
        Pause pause = pauses.computeIfAbsent(source, unused -> new Pause());
        pause.until = loop.now().plus(pause.length);
        LOG.info(
                "no more {} in {} for {} s: {}",
                source.type(),
                source.zone(),
                pause.length.toSeconds(),
                why);
        Duration twice = pause.length.multipliedBy(2);
        pause.length = twice.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : twice;
    }

    /** Returns machines that nothing is placed on any more, or that have given no sign for long. */
    private void release(List<MachineId> ids, String why, IntConsumer returned) {
        List<MachineId> batch;
        synchronized (this) {
            if (releasing || ids.isEmpty() || closed) {
                return;
            }
            releasing = true;
            batch = ids.stream().sorted(Comparator.naturalOrder()).limit(MOST_RELEASED).toList();
        }
        Set<MachineId> set = new HashSet<>(batch);
        List<Machine> machines =
                leader.machineList().stream().filter(one -> set.contains(one.id())).toList();
        machines.forEach(machine -> machine.releasing(true));
        LOG.info("returning {}: {}", batch, why);
        cloudProvider
                .releaseMachines(batch)
                .whenComplete(
                        (unused, failure) -> {
                            synchronized (this) {
                                releasing = false;
                                if (failure == null) {
                                    MonotonicTime now = loop.now();
                                    released.values()
                                            .removeIf(
                                                    at ->
                                                            now.elapsedSince(at)
                                                                            .compareTo(
                                                                                    FORGET_RETURNED)
                                                                    > 0);
                                    batch.forEach(id -> released.put(id, now));
                                    batch.forEach(awaited::forget);
                                }
                            }
                            if (failure == null) {
                                returned.accept(batch.size());
                                batch.forEach(
                                        id -> leader.gone(id, "its machine was returned", true));
                            } else {
                                if (!(cause(failure)
                                        instanceof CloudProvider.RequestRefusedException)) {
                                    // It may still be executed late, so nothing is placed there;
                                    // the next round tries again.
                                    machines.forEach(Machine::cordon);
                                }
                                machines.forEach(machine -> machine.releasing(false));
                            }
                        });
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
