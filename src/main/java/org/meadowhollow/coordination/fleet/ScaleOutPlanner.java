package org.meadowhollow.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.scheduling.ReleaseForecast;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;

/**
 * Plans one round of scaling out: selects the machines to rent for the capacity demand that fits
 * neither on booting machines nor on machines planned earlier in the round. Uses first-fit bin
 * packing in the order of the demand. One instance serves one round; callers hold the lock of
 * {@link Autoscaler}.
 */
final class ScaleOutPlanner {
    /** The free capacity of a machine that is booting or planned. */
    private static final class Bin {
        private final CapacityPool pool;
        private final double readyInSeconds;
        private Resources free;

        private Bin(CapacityPool pool, Resources capacity, double readyInSeconds) {
            this.pool = pool;
            this.free = capacity;
            this.readyInSeconds = readyInSeconds;
        }
    }

    /** Tracks how much of the demand of one job has been met. */
    private static final class DemandProgress {
        private final Autoscaler.CapacityDemand demand;
        private final Map<String, Integer> tasksByZone = new HashMap<>();

        /** The only zone allowed, or null for any. */
        private String requiredZone;

        private int remainingTasks;

        /** Whether tasks may still wait for capacity that running tasks will release. */
        private boolean mayAwaitReleases;

        private DemandProgress(Autoscaler.CapacityDemand demand) {
            this.demand = demand;
            this.requiredZone = demand.requiredZone();
            this.remainingTasks = demand.tasks();
            this.mayAwaitReleases = demand.spec().kind() == JobKind.ARRAY;
        }

        private JobSpec spec() {
            return demand.spec();
        }
    }

    private final LeadershipContext leader;
    private final MachineTypeCatalog machineTypeCatalog;
    private final PoolSelector poolSelector;
    private final MonotonicTime now;
    private final ReleaseForecast releaseForecast;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<String, Integer> machinesByZone = new HashMap<>();
    private final Map<CapacityPool, Integer> machinesToRent = new LinkedHashMap<>();

    /**
     * Creates the planner of one round.
     *
     * @param machines all known machines
     * @param expectedRentals booting machines that the demand may count on, in the order in which
     *     they are filled
     */
    ScaleOutPlanner(
            LeadershipContext leader,
            MachineTypeCatalog machineTypeCatalog,
            PoolSelector poolSelector,
            List<Machine> machines,
            List<PendingRentals.Rental> expectedRentals,
            MonotonicTime now) {
        this.leader = leader;
        this.machineTypeCatalog = machineTypeCatalog;
        this.poolSelector = poolSelector;
        this.now = now;
        this.releaseForecast = new ReleaseForecast(machines, now);
        for (PendingRentals.Rental rental : expectedRentals) {
            bins.add(
                    new Bin(
                            rental.pool(),
                            rental.type().capacity(),
                            rental.secondsUntilReady(now)));
        }
        for (Machine machine : machines) {
            machinesByZone.merge(machine.zone(), 1, Integer::sum);
        }
    }

    /**
     * Returns the number of machines to rent from each pool, in the order in which they were
     * planned.
     */
    Map<CapacityPool, Integer> plan(List<Autoscaler.CapacityDemand> capacityDemand) {
        for (Autoscaler.CapacityDemand demand : capacityDemand) {
            planDemand(new DemandProgress(demand));
        }
        return machinesToRent;
    }

    private void planDemand(DemandProgress progress) {
        while (progress.remainingTasks > 0) {
            Bin bin = findFirstFit(progress);
            if (bin != null) {
                placeTask(progress, bin);
                continue;
            }
            CapacityPool pool =
                    poolSelector.findCheapest(
                            progress.spec(),
                            progress.requiredZone,
                            progress.tasksByZone,
                            machinesByZone,
                            now);
            if (progress.mayAwaitReleases
                    && (pool == null || poolSelector.isExpensive(progress.spec(), pool))) {
                awaitReleases(progress);
            } else if (pool == null) {
                return;
            } else {
                placeTask(progress, planMachine(pool));
            }
        }
    }

    /** Returns the first bin with capacity for another task, or null. */
    private Bin findFirstFit(DemandProgress progress) {
        JobSpec spec = progress.spec();
        for (Bin bin : bins) {
            if (poolSelector.canHost(spec, bin.pool, progress.requiredZone)
                    && spec.resourcesPerTask().fitsIn(bin.free)
                    && progress.tasksByZone.getOrDefault(bin.pool.zone(), 0)
                            < spec.maxTasksPerZone()) {
                return bin;
            }
        }
        return null;
    }

    /**
     * Assigns tasks to capacity that running tasks will release, as many as can start there in
     * time.
     */
    private void awaitReleases(DemandProgress progress) {
        progress.mayAwaitReleases = false;
        progress.remainingTasks -=
                releaseForecast.claimReleases(
                        progress.spec(),
                        progress.remainingTasks,
                        progress.demand.ageSeconds(),
                        leader.startupDelaySeconds(progress.spec()));
    }

    private Bin planMachine(CapacityPool pool) {
        MachineType type = machineTypeCatalog.typeNamed(pool.type());
        Bin bin = new Bin(pool, type.capacity(), type.bootSeconds());
        bins.add(bin);
        machinesToRent.merge(pool, 1, Integer::sum);
        machinesByZone.merge(pool.zone(), 1, Integer::sum);
        return bin;
    }

    private void placeTask(DemandProgress progress, Bin bin) {
        JobSpec spec = progress.spec();
        bin.free = bin.free.minus(spec.resourcesPerTask());
        progress.tasksByZone.merge(bin.pool.zone(), 1, Integer::sum);
        if (spec.kind() == JobKind.ARRAY) {
            MachineType type = machineTypeCatalog.typeNamed(bin.pool.type());
            releaseForecast.addReleaseOnBootingMachine(
                    spec,
                    type,
                    bin.pool.zone(),
                    bin.pool.spot(),
                    bin.readyInSeconds + spec.imageSizeGb() / type.imagePullGbPerSecond());
        }
        if (spec.requiresSingleZone()) {
            progress.requiredZone = bin.pool.zone();
        }
        progress.remainingTasks--;
    }
}
