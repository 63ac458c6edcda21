package org.meadowhollow.coordination.lifecycle;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registry of the machines that one leader knows. Registers machines that send heartbeats or that
 * the cloud lists, and cordons those on which tasks keep failing. Owns the failure counts by
 * machine. Guarded by the leader's lock.
 */
public final class MachineRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

    /**
     * Number of task failures on a machine after which the machine counts as faulty and is
     * cordoned.
     */
    private static final int FAILURES_BEFORE_CORDON = 3;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final Map<MachineId, Machine> machines;
    private final MachineTypeCatalog machineTypeCatalog;
    private final ImageCacheRecorder imageCacheRecorder;
    private final Predicate<MachineId> isReturned;
    private final Object2IntOpenHashMap<MachineId> failuresByMachine =
            new Object2IntOpenHashMap<>();
    private boolean listedByCloud;

    /**
     * Creates a registry over the machines of {@code clusterState}.
     *
     * @param isReturned whether a machine was returned to the cloud, and must not register again
     */
    public MachineRegistry(
            EventLoop loop,
            ClusterState clusterState,
            MachineTypeCatalog machineTypeCatalog,
            ImageCacheRecorder imageCacheRecorder,
            Predicate<MachineId> isReturned) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.machines = clusterState.machines();
        this.machineTypeCatalog = machineTypeCatalog;
        this.imageCacheRecorder = imageCacheRecorder;
        this.isReturned = isReturned;
    }

    /** The machine of this id, or null if it is not known. */
    public Machine find(MachineId id) {
        return machines.get(id);
    }

    /**
     * Returns the machine that sent a heartbeat, and registers it if it is new. Returns null for a
     * new machine whose type is not known, or that was returned to the cloud.
     */
    public Machine findOrRegister(Heartbeat heartbeat) {
        Machine machine = machines.get(heartbeat.machineId());
        if (machine == null) {
            MachineType type = machineTypeCatalog.typeNamed(heartbeat.machineType());
            if (type == null || isReturned.test(heartbeat.machineId())) {
                return null;
            }
            machine =
                    register(
                            new Machine(
                                    heartbeat.machineId(),
                                    type,
                                    heartbeat.zone(),
                                    heartbeat.isSpot()));
        }
        machine.address(heartbeat.address());
        return machine;
    }

    private Machine register(Machine machine) {
        machine.knownSince(loop.now());
        clusterState.addMachine(machine);
        imageCacheRecorder.onMachineRegistered(machine);
        return machine;
    }

    /** Records that the cloud's list of machines has arrived. */
    public void markListed() {
        listedByCloud = true;
    }

    /** Whether the cloud has listed its machines to this leader. */
    public boolean isListedByCloud() {
        return listedByCloud;
    }

    /**
     * Applies one entry of the cloud's list: registers a new running machine, fills in a missing
     * address, and cordons a failed machine.
     */
    public void applyListedMachine(CloudProvider.ListedMachine listed, MonotonicTime now) {
        Machine machine = machines.get(listed.id());
        if (machine == null
                && listed.phase() == CloudProvider.MachinePhase.RUNNING
                && machineTypeCatalog.typeNamed(listed.type()) != null) {
            machine =
                    register(
                            new Machine(
                                    listed.id(),
                                    machineTypeCatalog.typeNamed(listed.type()),
                                    listed.zone(),
                                    listed.spot()));
        }
        if (machine == null) {
            return;
        }
        machine.recordListing(now);
        if (machine.address() == null) {
            machine.address(listed.address());
        }
        if (listed.phase() == CloudProvider.MachinePhase.FAILED) {
            machine.cordon();
        }
    }

    /** Counts the failure of a task on a machine, and cordons the machine after several. */
    public void recordTaskFailure(Machine machine) {
        if (failuresByMachine.addTo(machine.id(), 1) + 1 >= FAILURES_BEFORE_CORDON
                && !machine.isUnschedulable()) {
            LOG.info(
                    "machine cordoned machine={} failed_tasks={}",
                    machine.id(),
                    FAILURES_BEFORE_CORDON);
            machine.cordon();
        }
    }

    /**
     * Handles a machine that responded to a direct request with a sequence number below one that it
     * had sent before. The numbers only grow, so the machine was reset to an unknown incarnation:
     * its heartbeats cannot be distinguished from late duplicates of earlier ones, nor its tasks
     * from earlier tasks. The machine is therefore returned to the cloud, which proves that all its
     * tasks have ended. Otherwise all its heartbeats would be ignored as duplicates and the machine
     * would count as unresponsive, and a leader most of whose machines were reset would conclude
     * that it is isolated itself.
     */
    public void onIncarnationReset(Machine machine, MonotonicTime now) {
        if (!machine.isIncarnationReset()) {
            LOG.info(
                    "machine return scheduled machine={} reason=incarnation was reset",
                    machine.id());
            machine.markIncarnationReset();
        }
        machine.recordContact(now);
    }

    /** Removes a machine that no longer exists, with its failure count and its risk table. */
    public void remove(MachineId id) {
        machines.remove(id);
        clusterState.riskTables().remove(id);
        failuresByMachine.removeInt(id);
    }

    /** The number of machines that this leader has had contact with. */
    public int contactedMachineCount() {
        return (int)
                machines.values().stream()
                        .filter(machine -> machine.lastContactAt() != null)
                        .count();
    }

    /** The number of known machines, including those that are known only from placements. */
    public int knownMachineCount() {
        return machines.size() + clusterState.placementsOnUnseenMachines().size();
    }

    /**
     * Returns the addresses of up to {@code limit} workers, for later probes of whether the workers
     * can be reached.
     */
    public List<String> sampleAddresses(int limit) {
        return machines.values().stream()
                .map(Machine::address)
                .filter(Objects::nonNull)
                .limit(limit)
                .toList();
    }
}
