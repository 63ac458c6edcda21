package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.Set;
import org.meadowhollow.coordination.reservation.MachineReservationLimit;
import org.meadowhollow.model.ImageCache;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Resources;

/**
 * A machine that can take tasks in this round, with the load that it will have after the decisions
 * made so far. Belongs to one round and is changed by it; not thread-safe.
 */
public final class MachineCandidate {
    /**
     * What does not change during a round.
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
     * @param taskCount all tasks on the machine
     * @param serviceReplicaCount those of services among them
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
     * @param tieBreakRank decides between candidates that are equal in all else; the lower one is
     *     preferred
     * @param wantedForLargeTasks whether there are jobs whose tasks need most of such a machine
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
     * Sets what reservations and maintenance windows leave of the machine.
     *
     * @param limit null if there is no limit
     */
    MachineCandidate withReservationLimit(MachineReservationLimit limit) {
        reservationLimit = limit;
        return this;
    }

    /**
     * Sets the only job that may take the free capacity.
     *
     * @param gang null if any job may take it
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

    /** The score for the job that was last scored; see {@link #updateScore}. */
    CandidateScore score() {
        return score;
    }

    /** Computes all that the placement order depends on, for one more task of a job. */
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
     * Estimated seconds until an image that is not cached has been pulled. Concurrent pulls share
     * the machine's bandwidth, so each takes as many times longer as there are pulls.
     */
    double estimatePullSeconds(JobSpec spec) {
        return isPulling(spec.image())
                ? remainingPullSeconds.getDouble(spec.image()) * remainingPullSeconds.size()
                : spec.imageSizeGb()
                        / profile.imagePullGbPerSecond()
                        * (remainingPullSeconds.size() + 1);
    }

    /**
     * Whether the machine should stay available for large tasks: an empty machine is not for short
     * tasks, and one without service replicas is not for replicas, which would block it for as long
     * as they run.
     */
    boolean isKeptForLargeTasks(JobSpec spec) {
        return wantedForLargeTasks
                && !PlacementOrder.isLargeTask(spec, profile.capacity())
                && (spec.kind() == JobKind.SERVICE ? serviceReplicaCount : taskCount) == 0;
    }

    /** Whether a gang that the job does not belong to holds the free capacity. */
    boolean isHeldForOtherJob(JobSpec spec) {
        return gangHoldingMachine != null && !gangHoldingMachine.equals(spec.id());
    }

    /** Whether reservations and maintenance windows leave room for one more task of a job. */
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
     * Takes back {@link #assign} for a task of a gang; replicas of services are never taken back.
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
