package org.meadowhollow.coordination.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;

/**
 * First-fit bin packing task by task and machine by machine, as a model for {@link
 * ScaleOutPlanner}. Without the limits of requests, and without capacity that tasks release.
 */
final class PerTaskScaleOut {
    private static final class Bin {
        private final CapacityPool pool;
        private Resources free;

        private Bin(CapacityPool pool, Resources capacity) {
            this.pool = pool;
            this.free = capacity;
        }
    }

    private final MachineTypeCatalog catalog;
    private final PoolSelector poolSelector;
    private final List<Bin> bins = new ArrayList<>();
    private final Map<String, Integer> machinesByZone = new HashMap<>();
    private final Map<CapacityPool, Integer> machinesToRent = new LinkedHashMap<>();

    PerTaskScaleOut(
            MachineTypeCatalog catalog,
            PoolSelector poolSelector,
            List<PendingRentals.Rental> rentals) {
        this.catalog = catalog;
        this.poolSelector = poolSelector;
        rentals.forEach(rental -> bins.add(new Bin(rental.pool(), rental.type().capacity())));
    }

    Map<CapacityPool, Integer> plan(List<Autoscaler.CapacityDemand> demands) {
        for (Autoscaler.CapacityDemand demand : demands) {
            String zone = demand.requiredZone();
            Map<String, Integer> tasksByZone = new HashMap<>();
            for (int task = 0; task < demand.tasks(); task++) {
                Bin bin = findOrRent(demand.spec(), zone, tasksByZone);
                if (bin == null) {
                    break;
                }
                bin.free = bin.free.minus(demand.spec().resourcesPerTask());
                tasksByZone.merge(bin.pool.zone(), 1, Integer::sum);
                zone = demand.spec().requiresSingleZone() ? bin.pool.zone() : zone;
            }
        }
        return machinesToRent;
    }

    private Bin findOrRent(JobSpec spec, String zone, Map<String, Integer> tasksByZone) {
        for (Bin bin : bins) {
            MachineType type = catalog.typeNamed(bin.pool.type());
            if (PoolSelector.canHost(spec, bin.pool, type, zone)
                    && spec.resourcesPerTask().fitsIn(bin.free)
                    && tasksByZone.getOrDefault(bin.pool.zone(), 0) < spec.maxTasksPerZone()) {
                return bin;
            }
        }
        CapacityPool pool =
                poolSelector.findCheapest(
                        spec,
                        zone,
                        tasksByZone,
                        machinesByZone,
                        unused -> false,
                        new MonotonicTime(0));
        if (pool == null) {
            return null;
        }
        Bin rented = new Bin(pool, catalog.typeNamed(pool.type()).capacity());
        bins.add(rented);
        machinesToRent.merge(pool, 1, Integer::sum);
        machinesByZone.merge(pool.zone(), 1, Integer::sum);
        return rented;
    }
}
