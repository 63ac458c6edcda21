package org.meadowhollow.coordination.fleet;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.scheduling.StepBudget;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;

/**
 * Scales the fleet: rents machines for waiting tasks, returns idle, faulty and silent ones, and
 * polls the cloud's machine list. {@link ScaleOutPlanner}, {@link ScaleInPolicy} and {@link
 * UnreachableMachineReturnPolicy} make the decisions; {@link MachineRenter} and {@link
 * MachineReturner} send the requests.
 *
 * <p>Thread-safe. One lock guards the state of this class and of its collaborators, except for the
 * state of the return policy. The lock may be acquired while the leader's lock is held. The reverse
 * happens as well: a round queries the leader, which acquires the leader's lock, while it holds
 * this lock. To rule out a deadlock, rounds and calls made under the leader's lock all run on the
 * one event loop. Requests to the cloud are sent without holding this lock.
 */
public final class Autoscaler {
    /**
     * Waiting tasks of one job that fit on no machine.
     *
     * @param requiredZone the only zone allowed, or null for any
     * @param ageSeconds how long ago the job was submitted
     */
    public record CapacityDemand(JobSpec spec, int tasks, String requiredZone, double ageSeconds) {}

    /** The decisions that a round made under the lock. */
    private record RoundPlan(
            Map<CapacityPool, Integer> machinesToRent,
            List<MachineId> abandonedRentals,
            Set<MachineId> retainedMachines) {}

    /**
     * The steps of one round of planning after which no further job is begun. The plan of a full
     * cluster with hundreds of waiting jobs takes fewer.
     */
    static final long MAX_PLANNING_STEPS = 500_000;

    private final Object lock = new Object();
    private final LeadershipContext leader;
    private final CloudProvider cloudProvider;
    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final EventLoop loop;
    private final UnreachableMachineReturnPolicy unreachableReturnPolicy;
    private final ScaleInPolicy scaleInPolicy;
    private final PoolSelector poolSelector;
    private final MachineRenter machineRenter;
    private final MachineReturner machineReturner;

    @GuardedBy("lock")
    private final PendingRentals pendingRentals = new PendingRentals();

    @GuardedBy("lock")
    private List<CapacityDemand> currentDemand = List.of();

    /** The index of the demand at which planning continues if the last round could not finish. */
    @GuardedBy("lock")
    private int nextDemandIndex;

    @GuardedBy("lock")
    private Set<MachineId> retainedMachines = Set.of();

    @GuardedBy("lock")
    private boolean closed;

    /**
     * Creates the autoscaler of one leadership; it does nothing before {@link #start}.
     *
     * @param fencingToken makes the identifiers of this leadership's rental requests unique
     */
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
        this.unreachableReturnPolicy = unreachableMachineReturnPolicy;
        this.scaleInPolicy = new ScaleInPolicy(leader, deploymentSettings);
        RentalBackoff backoff = new RentalBackoff();
        this.poolSelector = new PoolSelector(machineTypeCatalog, leader, backoff);
        this.machineRenter =
                new MachineRenter(
                        lock,
                        cloudProvider,
                        machineTypeCatalog,
                        loop,
                        fencingToken,
                        pendingRentals,
                        backoff);
        this.machineReturner =
                new MachineReturner(lock, leader, cloudProvider, loop, pendingRentals);
    }

    /** Starts polling the cloud's machine list; polling stops when the leadership ends. */
    public void start() {
        pollMachineList();
    }

    /** Stops sending rental and return requests. */
    public void close() {
        synchronized (lock) {
            closed = true;
            machineReturner.close();
        }
    }

    /**
     * Replaces the capacity demand that the next round rents machines for.
     *
     * @param demand in the order in which it is met
     * @param retained idle machines to keep for work that is expected
     */
    public void updateCapacityDemand(List<CapacityDemand> demand, Set<MachineId> retained) {
        synchronized (lock) {
            currentDemand = demand;
            retainedMachines = retained;
        }
    }

    /**
     * Whether the return of a machine is confirmed, so that any further heartbeat from it is stale.
     */
    public boolean isReturned(MachineId id) {
        return machineReturner.isReturned(id);
    }

    private void pollMachineList() {
        if (leader.isClosed()) {
            return;
        }
        // Lists lag by the listing delay in any case: polling more often than twice per delay finds
        // little.
        Duration interval = deploymentSettings.cloudListingDelay().dividedBy(2);
        Runnable pollAgain = () -> loop.schedule(interval, this::pollMachineList);
        RepeatingSteps.handle(
                loop,
                RepeatingStep.MACHINE_LIST_POLL,
                cloudProvider.listMachines(),
                (list, failure) -> {
                    if (failure == null) {
                        processMachineList(list);
                    }
                    pollAgain.run();
                },
                pollAgain);
    }

    private void processMachineList(List<CloudProvider.ListedMachine> list) {
        List<CloudProvider.ListedMachine> notReturned = new ArrayList<>();
        synchronized (lock) {
            for (CloudProvider.ListedMachine listed : list) {
                if (!machineReturner.isReturned(listed.id())) {
                    notReturned.add(listed);
                    updatePendingRental(listed);
                }
            }
        }
        leader.applyMachineList(notReturned);
        returnFailedMachines(notReturned);
    }

    @GuardedBy("lock")
    private void updatePendingRental(CloudProvider.ListedMachine listed) {
        MachineType type = machineTypeCatalog.typeNamed(listed.type());
        if (type == null) {
            return;
        }
        if (listed.phase() == CloudProvider.MachinePhase.BOOTING) {
            MonotonicTime requestedAt =
                    new MonotonicTime(loop.now().nanos() - (long) (listed.ageSeconds() * 1e9));
            pendingRentals.recordListedAsBooting(
                    listed.id(), type, listed.zone(), listed.spot(), requestedAt);
        } else if (listed.phase() == CloudProvider.MachinePhase.FAILED) {
            pendingRentals.forget(listed.id());
        }
    }

    private void returnFailedMachines(List<CloudProvider.ListedMachine> list) {
        List<MachineId> failed =
                list.stream()
                        .filter(listed -> listed.phase() == CloudProvider.MachinePhase.FAILED)
                        .map(CloudProvider.ListedMachine::id)
                        .toList();
        machineReturner.returnMachines(failed, "failed", returned -> {});
    }

    /**
     * Runs one scaling round: rents machines for the demand, and returns those that are no longer
     * of use.
     *
     * <p>Does nothing without the lease, since the next leader may have placed tasks on a machine
     * that looks idle to this one. Does nothing while the leader is isolated either: all machines
     * then look unusable, and all waiting tasks seem to need new ones. The caller must not hold the
     * leader's lock.
     */
    public void scaleOutAndIn() {
        List<Machine> machines = leader.snapshotMachines();
        if (!leader.isStateRecovered()
                || machineTypeCatalog.isEmpty()
                || !leader.canActAsLeader()) {
            return;
        }
        MonotonicTime now = loop.now();
        Optional<RoundPlan> decided =
                loop.callStep(EventLoopStep.SCALE_OUT, () -> planRound(machines, now));
        if (decided.isEmpty()) {
            return;
        }
        RoundPlan plan = decided.get();
        List<MachineId> silent = unreachableReturnPolicy.selectForReturn(machines, now);
        List<MachineId> unwanted = new ArrayList<>(plan.abandonedRentals());
        for (Machine machine : machines) {
            if (scaleInPolicy.shouldReturn(machine, plan.retainedMachines(), now)) {
                unwanted.add(machine.id());
            }
        }
        plan.machinesToRent().forEach(machineRenter::rent);
        machineReturner.returnMachines(
                silent,
                "silent",
                returned -> unreachableReturnPolicy.recordReturned(returned, loop.now()));
        machineReturner.returnMachines(unwanted, "idle or faulty", returned -> {});
    }

    /** Makes the decisions of one round; empty if the leadership has ended. */
    private Optional<RoundPlan> planRound(List<Machine> machines, MonotonicTime now) {
        synchronized (lock) {
            if (closed) {
                return Optional.empty();
            }
            for (Machine machine : machines) {
                if (machine.lastContactAt() != null) {
                    pendingRentals.recordBooted(machine.id(), machine.lastContactAt());
                }
            }
            List<MachineId> abandoned =
                    leader.isReachabilityHealthy()
                            ? pendingRentals.abandonedRentals(now)
                            : List.of();
            // Until a rental request is answered, it is unknown which machines will serve the
            // demand.
            Map<CapacityPool, Integer> machinesToRent =
                    machineRenter.hasRequestsInFlight() ? Map.of() : planScaleOut(machines, now);
            return Optional.of(new RoundPlan(machinesToRent, abandoned, retainedMachines));
        }
    }

    @GuardedBy("lock")
    private Map<CapacityPool, Integer> planScaleOut(List<Machine> machines, MonotonicTime now) {
        ScaleOutPlanner planner =
                new ScaleOutPlanner(
                        leader,
                        machineTypeCatalog,
                        poolSelector,
                        machines,
                        pendingRentals.expectedRentals(now),
                        new StepBudget(MAX_PLANNING_STEPS),
                        now);
        nextDemandIndex = planner.plan(currentDemand, nextDemandIndex);
        return planner.machinesToRent();
    }
}
