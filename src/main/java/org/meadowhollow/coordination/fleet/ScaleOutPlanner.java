package org.meadowhollow.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.meadowhollow.coordination.scheduling.ReleaseForecast;
import org.meadowhollow.coordination.scheduling.StepBudget;
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
 *
 * <p>The cost of a round depends on the number of jobs, machines and pools, not of tasks: the tasks
 * of a job and machines with equal free capacity are counted rather than visited one by one, no
 * more machines of a pool are planned than one request may rent, and a budget bounds the number of
 * jobs.
 */
final class ScaleOutPlanner {
    /**
     * The maximum number of requests to one pool that can be answered until the first machine
     * rented for a gang is returned as idle, at one request in a round of a second.
     */
    private static final int MAX_REQUESTS_FOR_GANG = (int) ScaleInPolicy.MIN_IDLE_RETENTION_SECONDS;

    private static final int MAX_MACHINES_FOR_GANG =
            MAX_REQUESTS_FOR_GANG * MachineRenter.MAX_MACHINES_PER_REQUEST;

    /** Machines that are booting or planned and have the same free capacity. */
    private record BinGroup(
            CapacityPool pool,
            MachineType type,
            double readyInSeconds,
            Resources free,
            int tasks,
            int machines) {
        /** The number of tasks of a job that still fit on one of the machines. */
        int capacityFor(JobSpec spec) {
            return Machine.maxMoreTasks(free, tasks, spec);
        }

        BinGroup withMachines(int count) {
            return new BinGroup(pool, type, readyInSeconds, free, tasks, count);
        }

        /** Returns some of the machines, with more tasks of a job on each. */
        BinGroup withTasks(JobSpec spec, int tasksPerMachine, int count) {
            return new BinGroup(
                    pool,
                    type,
                    readyInSeconds,
                    free.minus(spec.resourcesPerTask().times(tasksPerMachine)),
                    tasks + tasksPerMachine,
                    count);
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

        /** The number of further tasks that may be put into a zone. */
        private int maxMoreTasksIn(String zone) {
            int zoneLimit = spec().maxTasksPerZone() - tasksByZone.getOrDefault(zone, 0);
            return Math.max(0, Math.min(remainingTasks, zoneLimit));
        }
    }

    private final LeadershipContext leader;
    private final MachineTypeCatalog machineTypeCatalog;
    private final PoolSelector poolSelector;
    private final StepBudget budget;
    private final MonotonicTime now;
    private final int poolCount;
    private final ReleaseForecast releaseForecast;

    /** In the order in which they are filled; neighbours are merged where they are equal. */
    private final List<BinGroup> bins = new ArrayList<>();

    private final Map<String, Integer> machinesByZone = new HashMap<>();
    private final Map<CapacityPool, Integer> machinesToRent = new LinkedHashMap<>();

    /**
     * Creates the planner of one round.
     *
     * @param machines all known machines
     * @param expectedRentals booting machines that the demand may count on, in the order in which
     *     they are filled
     * @param budget bounds the number of jobs that the round plans for
     */
    ScaleOutPlanner(
            LeadershipContext leader,
            MachineTypeCatalog machineTypeCatalog,
            PoolSelector poolSelector,
            List<Machine> machines,
            List<PendingRentals.Rental> expectedRentals,
            StepBudget budget,
            MonotonicTime now) {
        this.leader = leader;
        this.machineTypeCatalog = machineTypeCatalog;
        this.poolSelector = poolSelector;
        this.budget = budget;
        this.now = now;
        this.poolCount = poolSelector.poolCount();
        this.releaseForecast = new ReleaseForecast(machines, now);
        for (PendingRentals.Rental rental : expectedRentals) {
            addMachine(
                    new BinGroup(
                            rental.pool(),
                            rental.type(),
                            rental.secondsUntilReady(now),
                            rental.type().capacity(),
                            0,
                            1));
        }
        for (Machine machine : machines) {
            machinesByZone.merge(machine.zone(), 1, Integer::sum);
        }
    }

    /**
     * Plans for the demand, beginning with the job at {@code firstIndex} and continuing with the
     * jobs before it, until all are planned for or the budget is exhausted.
     *
     * @return the index at which the next round should begin; 0 if all jobs were planned for
     */
    int plan(List<Autoscaler.CapacityDemand> capacityDemand, int firstIndex) {
        int size = capacityDemand.size();
        int begin = firstIndex < size ? firstIndex : 0;
        for (int offset = 0; offset < size; offset++) {
            int index = (begin + offset) % size;
            if (budget.isExhausted()) {
                return index;
            }
            planDemand(new DemandProgress(capacityDemand.get(index)));
        }
        return 0;
    }

    /**
     * The number of machines to rent from each pool, in the order in which they were planned; at
     * most as many as one request may rent.
     */
    Map<CapacityPool, Integer> machinesToRent() {
        return machinesToRent;
    }

    private void planDemand(DemandProgress progress) {
        if (progress.spec().kind() == JobKind.GANG && !canComplete(progress)) {
            // All of its tasks are needed at once, so a part of the machines would be of no use.
            return;
        }
        fillBins(progress);
        while (progress.remainingTasks > 0) {
            CapacityPool pool = findCheapest(progress, unused -> false);
            if (progress.mayAwaitReleases
                    && (pool == null || poolSelector.isExpensive(progress.spec(), pool))) {
                awaitReleases(progress);
                continue;
            }
            if (pool != null && isRequestFull(pool)) {
                pool = findAlternative(progress, pool);
            }
            if (pool == null) {
                return;
            }
            planMachine(progress, pool);
        }
    }

    private CapacityPool findCheapest(DemandProgress progress, Predicate<CapacityPool> excluded) {
        budget.spend(poolCount);
        return poolSelector.findCheapest(
                progress.spec(),
                progress.requiredZone,
                progress.tasksByZone,
                machinesByZone,
                excluded,
                now);
    }

    /** Whether as many machines of a pool are planned as one request may rent. */
    private boolean isRequestFull(CapacityPool pool) {
        return machinesToRent.getOrDefault(pool, 0) >= MachineRenter.MAX_MACHINES_PER_REQUEST;
    }

    /**
     * Returns another pool for a job whose cheapest pool can rent no more in this round, or null if
     * the next round is to be awaited, because all others cost more.
     */
    private CapacityPool findAlternative(DemandProgress progress, CapacityPool full) {
        CapacityPool other = findCheapest(progress, this::isRequestFull);
        return other != null && poolSelector.isEquallyExpensive(progress.spec(), full, other)
                ? other
                : null;
    }

    /**
     * Whether the machines for all tasks of a gang could be rented, from the pools that are
     * available now, before the first of them is returned as idle.
     */
    private boolean canComplete(DemandProgress gang) {
        JobSpec spec = gang.spec();
        budget.spend(bins.size() + poolCount);
        Map<String, Long> capacityByZone =
                poolSelector.countTasksOnNewMachines(
                        spec, gang.requiredZone, MAX_MACHINES_FOR_GANG, now);
        for (BinGroup bin : bins) {
            if (PoolSelector.canHost(spec, bin.pool(), bin.type(), gang.requiredZone)) {
                long tasks = (long) bin.capacityFor(spec) * bin.machines();
                capacityByZone.merge(bin.pool().zone(), tasks, Long::sum);
            }
        }
        return spec.isCoveredBy(capacityByZone.values(), gang.remainingTasks);
    }

    /** Assigns tasks to machines that are booting or planned already, in their order. */
    private void fillBins(DemandProgress progress) {
        budget.spend(bins.size());
        for (int index = 0; index < bins.size() && progress.remainingTasks > 0; index++) {
            BinGroup bin = bins.get(index);
            if (PoolSelector.canHost(
                    progress.spec(), bin.pool(), bin.type(), progress.requiredZone)) {
                index += fillGroup(progress, index, bin);
            }
        }
    }

    /**
     * Assigns tasks to one group of machines, one machine after the other, and splits the group if
     * some of the machines get fewer tasks than others.
     *
     * @return by how many groups the list of groups has grown
     */
    private int fillGroup(DemandProgress progress, int index, BinGroup bin) {
        JobSpec spec = progress.spec();
        int perMachine = bin.capacityFor(spec);
        if (perMachine == 0) {
            return 0;
        }
        long capacity = (long) perMachine * bin.machines();
        int tasks = (int) Math.min(progress.maxMoreTasksIn(bin.pool().zone()), capacity);
        if (tasks == 0) {
            return 0;
        }
        int filledMachines = tasks / perMachine;
        int restTasks = tasks % perMachine;
        int emptyMachines = bin.machines() - filledMachines - (restTasks > 0 ? 1 : 0);
        List<BinGroup> parts = new ArrayList<>();
        if (filledMachines > 0) {
            parts.add(bin.withTasks(spec, perMachine, filledMachines));
        }
        if (restTasks > 0) {
            parts.add(bin.withTasks(spec, restTasks, 1));
        }
        if (emptyMachines > 0) {
            parts.add(bin.withMachines(emptyMachines));
        }
        bins.remove(index);
        bins.addAll(index, parts);
        recordTasks(progress, bin, tasks);
        return parts.size() - 1;
    }

    private void planMachine(DemandProgress progress, CapacityPool pool) {
        MachineType type = machineTypeCatalog.typeNamed(pool.type());
        BinGroup empty = new BinGroup(pool, type, type.bootSeconds(), type.capacity(), 0, 1);
        int tasks =
                Math.min(progress.maxMoreTasksIn(pool.zone()), empty.capacityFor(progress.spec()));
        addMachine(empty.withTasks(progress.spec(), tasks, 1));
        machinesToRent.merge(pool, 1, Integer::sum);
        machinesByZone.merge(pool.zone(), 1, Integer::sum);
        recordTasks(progress, empty, tasks);
    }

    /** Adds a machine after all others, to the last group if it is equal to those in it. */
    private void addMachine(BinGroup machine) {
        int last = bins.size() - 1;
        if (last >= 0 && bins.get(last).withMachines(1).equals(machine)) {
            bins.set(last, machine.withMachines(bins.get(last).machines() + 1));
        } else {
            bins.add(machine);
        }
    }

    private void recordTasks(DemandProgress progress, BinGroup bin, int tasks) {
        JobSpec spec = progress.spec();
        progress.tasksByZone.merge(bin.pool().zone(), tasks, Integer::sum);
        progress.remainingTasks -= tasks;
        if (spec.requiresSingleZone()) {
            progress.requiredZone = bin.pool().zone();
        }
        if (spec.kind() == JobKind.ARRAY) {
            releaseForecast.addReleasesOnBootingMachines(
                    spec,
                    tasks,
                    bin.type(),
                    bin.pool().zone(),
                    bin.pool().spot(),
                    bin.readyInSeconds() + spec.imageSizeGb() / bin.type().imagePullGbPerSecond());
        }
    }

    /**
     * Assigns tasks to capacity that running tasks will release, as many as can start there in
     * time.
     */
    private void awaitReleases(DemandProgress progress) {
        progress.mayAwaitReleases = false;
        budget.spend(releaseForecast.size() + progress.remainingTasks);
        progress.remainingTasks -=
                releaseForecast.claimReleases(
                        progress.spec(),
                        progress.remainingTasks,
                        progress.demand.ageSeconds(),
                        leader.startupDelaySeconds(progress.spec()));
    }
}
