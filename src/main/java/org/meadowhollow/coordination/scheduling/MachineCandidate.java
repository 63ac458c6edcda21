package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.Set;
import org.meadowhollow.coordination.reservation.MachineReservationLimit;
import org.meadowhollow.model.ImageCache;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Resources;

/**
 * A machine that can take tasks in this round, with the load that it will have after the decisions
 * made so far. Belongs to one round and is changed by it; not thread-safe.
 */
public final class MachineCandidate {
    /**
     * The properties of a machine that do not change during a round.
     *
     * @param capacity what an empty machine of this type offers to tasks
     * @param imagePullGbPerSecond the rate of a single image pull, in GB per second
     */
    public record Profile(
            MachineId id,
            String machineType,
            String zone,
            boolean spot,
            Resources capacity,
            double imagePullGbPerSecond) {}

    /**
     * The load at the start of a round.
     *
     * @param taskCount the number of all tasks on the machine
     * @param serviceReplicaCount the number of service replicas among them
     * @param cachedImages the images that are probably cached on the machine
     * @param remainingPullSeconds the images being pulled, each with the seconds that its pull will
     *     still take; the round adds the pulls that its decisions start
     */
    public record Load(
            Resources freeCapacity,
            int taskCount,
            int serviceReplicaCount,
            ImageCache cachedImages,
            Object2DoubleMap<String> remainingPullSeconds) {}

    private final Profile profile;
    private final ImageCache cachedImages;
    private final Object2DoubleMap<String> remainingPullSeconds;
    private final RiskTable riskTable;
    private final boolean wantedForLargeTasks;
    private final CandidateScore score;
    private MachineReservationLimit reservationLimit;
    private JobId gangHoldingMachine;
    private Resources freeCapacity;
    private int taskCount;
    private int serviceReplicaCount;

    /**
     * Creates a candidate without a reservation limit or a gang that holds it.
     *
     * @param tieBreakRank decides between candidates that are otherwise equal; the lower one is
     *     preferred
     * @param wantedForLargeTasks whether there are jobs whose tasks need most of a machine of this
     *     type
     */
    public MachineCandidate(
            int tieBreakRank,
            Profile profile,
            Load load,
            RiskTable riskTable,
            boolean wantedForLargeTasks) {
        this.profile = profile;
        this.cachedImages = load.cachedImages();
        this.remainingPullSeconds = load.remainingPullSeconds();
        this.freeCapacity = load.freeCapacity();
        this.taskCount = load.taskCount();
        this.serviceReplicaCount = load.serviceReplicaCount();
        this.riskTable = riskTable;
        this.wantedForLargeTasks = wantedForLargeTasks;
        this.score = new CandidateScore(tieBreakRank);
    }

    /**
     * Sets the limit that reservations and maintenance windows impose on the machine's use.
     *
     * @param limit null if there is no limit
     */
    MachineCandidate withReservationLimit(MachineReservationLimit limit) {
        reservationLimit = limit;
        return this;
    }

    /**
     * Sets the gang for which the free capacity is held.
     *
     * @param gang the only job that may use it; null if any job may
     */
    MachineCandidate heldForGang(JobId gang) {
        gangHoldingMachine = gang;
        return this;
    }

    MachineId machineId() {
        return profile.id();
    }

    Profile profile() {
        return profile;
    }

    String zone() {
        return profile.zone();
    }

    Resources freeCapacity() {
        return freeCapacity;
    }

    /** The number of tasks of a job for which the machine has free capacity. */
    int maxMoreTasks(JobSpec spec) {
        return Machine.maxMoreTasks(freeCapacity, taskCount, spec);
    }

    /** Whether the machine has free capacity for one more task of a job. */
    boolean fits(JobSpec spec) {
        return taskCount < Machine.MAX_TASKS && spec.resourcesPerTask().fitsIn(freeCapacity);
    }

    /** The score for the job that was last scored; see {@link #updateScore}. */
    CandidateScore score() {
        return score;
    }

    /** Updates the score, on which the placement order depends, for one more task of a job. */
    void updateScore(JobSpec spec, Set<MachineId> failedMachines) {
        score.update(this, spec, failedMachines.contains(profile.id()));
    }

    /** The predicted probability of no violation after one more task; NaN if it is unknown. */
    double noViolationProbabilityWith(JobSpec spec) {
        Resources capacity = profile.capacity();
        double allocatedShare =
                capacity.minus(freeCapacity)
                        .plus(spec.resourcesPerTask())
                        .dominantShareOf(capacity);
        return riskTable.noViolationProbability(taskCount + 1, allocatedShare);
    }

    /** The share of the machine that is free, in the resource with the largest free share. */
    double freeShare() {
        return freeCapacity.dominantShareOf(profile.capacity());
    }

    boolean hasCached(String image) {
        return cachedImages.contains(image);
    }

    boolean isPulling(String image) {
        return remainingPullSeconds.containsKey(image);
    }

    /**
     * Estimates the seconds until an image that is not cached has been pulled. Concurrent pulls
     * share the machine's bandwidth, so the time is multiplied by the number of pulls.
     */
    double estimatePullSeconds(JobSpec spec) {
        return isPulling(spec.image())
                ? remainingPullSeconds.getDouble(spec.image()) * remainingPullSeconds.size()
                : spec.imageSizeGb()
                        / profile.imagePullGbPerSecond()
                        * (remainingPullSeconds.size() + 1);
    }

    /**
     * Whether the machine should stay available for large tasks rather than take a smaller one: an
     * array or gang task if the machine is empty, or a service replica if it has no other replica.
     * A replica would block it for as long as the service runs.
     */
    boolean isKeptForLargeTasks(JobSpec spec) {
        return wantedForLargeTasks
                && !PlacementOrder.isLargeTask(spec, profile.capacity())
                && (spec.kind() == JobKind.SERVICE ? serviceReplicaCount : taskCount) == 0;
    }

    /** Whether the free capacity is held for a gang other than this job. */
    boolean isHeldForOtherJob(JobSpec spec) {
        return gangHoldingMachine != null && !gangHoldingMachine.equals(spec.id());
    }

    /** Whether reservations and maintenance windows allow one more task of a job. */
    boolean isAllowedByReservations(JobSpec spec) {
        return reservationLimit == null
                || reservationLimit.allows(
                        spec,
                        hasCached(spec.image())
                                ? 0
                                : spec.imageSizeGb() / profile.imagePullGbPerSecond(),
                        freeCapacity);
    }

    /**
     * Adds a task to the load.
     *
     * @return whether this starts a pull of the task's image
     */
    boolean assign(JobSpec spec) {
        freeCapacity = freeCapacity.minus(spec.resourcesPerTask());
        taskCount++;
        serviceReplicaCount += spec.kind() == JobKind.SERVICE ? 1 : 0;
        if (reservationLimit != null) {
            reservationLimit.onTaskAssigned(spec);
        }
        if (hasCached(spec.image()) || isPulling(spec.image())) {
            return false;
        }
        remainingPullSeconds.put(spec.image(), spec.imageSizeGb() / profile.imagePullGbPerSecond());
        return true;
    }

    /**
     * Undoes {@link #assign} for a task of a gang; service replicas are never unassigned.
     *
     * @param pullStarted what {@code assign} returned
     */
    void unassign(JobSpec spec, boolean pullStarted) {
        freeCapacity = freeCapacity.plus(spec.resourcesPerTask());
        taskCount--;
        if (reservationLimit != null) {
            reservationLimit.onTaskUnassigned(spec);
        }
        if (pullStarted) {
            remainingPullSeconds.removeDouble(spec.image());
        }
    }
}
