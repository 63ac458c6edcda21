package org.meadowhollow.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;

/**
 * Selects the capacity pool to rent a machine from for a task, by price. Keeps no state of its own;
 * reads the {@link RentalBackoff}, so callers hold the lock of {@link Autoscaler}.
 */
final class PoolSelector {
    private static final List<Boolean> ON_DEMAND_ONLY = List.of(false);
    private static final List<Boolean> SPOT_THEN_ON_DEMAND = List.of(true, false);

    /**
     * Weight of the price, high enough for any difference in price to outweigh the number of
     * machines in a zone.
     */
    private static final double COST_WEIGHT_OVER_ZONE_SPREAD = 1000;

    /**
     * Ratio of the cost of a task to its cost in the cheapest pool above which a pool counts as
     * expensive.
     */
    private static final double EXPENSIVE_COST_RATIO = 2;

    private final MachineTypeCatalog machineTypeCatalog;
    private final LeadershipContext leader;
    private final RentalBackoff backoff;

    PoolSelector(
            MachineTypeCatalog machineTypeCatalog,
            LeadershipContext leader,
            RentalBackoff backoff) {
        this.machineTypeCatalog = machineTypeCatalog;
        this.leader = leader;
        this.backoff = backoff;
    }

    /**
     * Finds the cheapest available pool for a task; among pools of equal cost, the one in the zone
     * with the fewest machines.
     *
     * @param requiredZone the only zone allowed, or null for any
     * @param tasksByZone how many of the job's tasks the plan has put into each zone
     * @param machinesByZone how many machines each zone has, planned ones included
     * @param excluded pools that are left out
     * @return the pool, or null if none is available
     */
    CapacityPool findCheapest(
            JobSpec spec,
            String requiredZone,
            Map<String, Integer> tasksByZone,
            Map<String, Integer> machinesByZone,
            Predicate<CapacityPool> excluded,
            MonotonicTime now) {
        CapacityPool cheapest = null;
        double lowestCost = 0;
        for (CapacityPool pool : availablePools(spec, requiredZone, now)) {
            if (excluded.test(pool)
                    || tasksByZone.getOrDefault(pool.zone(), 0) >= spec.maxTasksPerZone()) {
                continue;
            }
            double cost =
                    hourlyCostPerTask(spec, pool) * COST_WEIGHT_OVER_ZONE_SPREAD
                            + machinesByZone.getOrDefault(pool.zone(), 0);
            if (cheapest == null || cost < lowestCost) {
                cheapest = pool;
                lowestCost = cost;
            }
        }
        return cheapest;
    }

    private boolean isAvailable(CapacityPool pool, MonotonicTime now) {
        return !leader.isInOutageWindow(pool.type(), pool.zone()) && !backoff.isPaused(pool, now);
    }

    /**
     * Whether an empty machine of a pool could run a task.
     *
     * @param type the machine type of the pool
     * @param requiredZone the only zone allowed, or null for any
     */
    static boolean canHost(JobSpec spec, CapacityPool pool, MachineType type, String requiredZone) {
        return spec.allowsMachineType(pool.type())
                && (!pool.spot() || spec.allowsSpot())
                && (requiredZone == null || requiredZone.equals(pool.zone()))
                && spec.resourcesPerTask().fitsIn(type.capacity());
    }

    /** The number of pools, which is the number of steps of {@link #findCheapest}. */
    int poolCount() {
        int count = 0;
        for (MachineType type : machineTypeCatalog.types()) {
            count += type.zones().size() * SPOT_THEN_ON_DEMAND.size();
        }
        return count;
    }

    /**
     * Counts the tasks of a job that could run on a number of new machines from each pool that is
     * available, by zone.
     *
     * @param requiredZone the only zone allowed, or null for any
     */
    Map<String, Long> countTasksOnNewMachines(
            JobSpec spec, String requiredZone, int machinesPerPool, MonotonicTime now) {
        Map<String, Long> tasksByZone = new HashMap<>();
        for (CapacityPool pool : availablePools(spec, requiredZone, now)) {
            Resources capacity = machineTypeCatalog.typeNamed(pool.type()).capacity();
            long tasks = (long) machinesPerPool * Machine.maxMoreTasks(capacity, 0, spec);
            tasksByZone.merge(pool.zone(), tasks, Long::sum);
        }
        return tasksByZone;
    }

    /** The pools from which machines for a job may be rented now, in the order of the catalog. */
    private List<CapacityPool> availablePools(
            JobSpec spec, String requiredZone, MonotonicTime now) {
        List<CapacityPool> pools = new ArrayList<>();
        for (MachineType type : machineTypeCatalog.types()) {
            for (String zone : type.zones()) {
                for (boolean spot : spec.allowsSpot() ? SPOT_THEN_ON_DEMAND : ON_DEMAND_ONLY) {
                    CapacityPool pool = new CapacityPool(type.name(), zone, spot);
                    if (canHost(spec, pool, type, requiredZone) && isAvailable(pool, now)) {
                        pools.add(pool);
                    }
                }
            }
        }
        return pools;
    }

    /** Whether a task costs the same in two pools. */
    boolean isEquallyExpensive(JobSpec spec, CapacityPool one, CapacityPool other) {
        return hourlyCostPerTask(spec, one) == hourlyCostPerTask(spec, other);
    }

    private double hourlyCostPerTask(JobSpec spec, CapacityPool pool) {
        return hourlyCostPerTask(spec, machineTypeCatalog.typeNamed(pool.type()), pool.spot());
    }

    /**
     * Whether a task costs more than {@link #EXPENSIVE_COST_RATIO} times as much in a pool as in
     * the cheapest one, whether or not that one is available. Machines of an expensive pool are
     * rented only for tasks that would otherwise be late.
     */
    boolean isExpensive(JobSpec spec, CapacityPool pool) {
        double lowestCost = Double.MAX_VALUE;
        for (MachineType type : machineTypeCatalog.types()) {
            if (spec.allowsMachineType(type.name())
                    && spec.resourcesPerTask().fitsIn(type.capacity())) {
                lowestCost = Math.min(lowestCost, hourlyCostPerTask(spec, type, spec.allowsSpot()));
            }
        }
        return hourlyCostPerTask(spec, pool) > lowestCost * EXPENSIVE_COST_RATIO;
    }

    /**
     * Returns the hourly cost of a task on a machine filled with tasks of the same job. A task of a
     * gang has a machine to itself.
     */
    private static double hourlyCostPerTask(JobSpec spec, MachineType type, boolean spot) {
        int tasksPerMachine =
                spec.kind() == JobKind.GANG
                        ? 1
                        : spec.resourcesPerTask()
                                .maxCopiesIn(
                                        type.capacity(), MachineRenter.MAX_MACHINES_PER_REQUEST);
        double hourlyPrice = spot ? type.hourlySpotPrice() : type.hourlyPrice();
        return hourlyPrice / Math.max(1, tasksPerMachine);
    }
}
