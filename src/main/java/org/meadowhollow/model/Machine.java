package org.meadowhollow.model;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's state of a rented machine: what the cloud and the worker's heartbeats have reported,
 * and the placements on the machine. Not thread-safe: guarded by the leader's lock.
 */
public final class Machine {
    /**
     * An attempt's exit that is not persisted yet. The worker may forget the attempt only after its
     * exit is persisted.
     *
     * @param shardChange the number of the change in the shard that records the exit
     */
    public record UnpersistedExit(AttemptNumber attemptNumber, TaskShard shard, long shardChange) {
        /** Whether the exit, or the end of the whole job, is persisted by now. */
        public boolean isPersisted() {
            return shard.isPersisted(shardChange) || shard.job().isEnded();
        }
    }

    /**
     * The maximum number of tasks on a machine: a heartbeat has at most 64 KiB, and lists exited
     * tasks as well until they are forgotten.
     */
    public static final int MAX_TASKS = 500;

    // Identity.
    private final MachineId id;
    private final MachineType type;
    private final String zone;
    private final boolean isSpot;
    private String address;

    // Heartbeats and contact with the worker.
    private WorkerIncarnation incarnation;
    private long lastSequenceNumber;
    private FencingToken highestFencingToken = FencingToken.NONE;
    private MonotonicTime knownSince;
    private MonotonicTime lastListedAt;
    private MonotonicTime lastContactAt;
    private MonotonicTime lastAnsweredHeartbeatAt;

    // Schedulability.
    private MonotonicTime preemptionDeadline;
    private boolean isCordoned;
    private boolean isIncarnationReset;
    private boolean isReleasing;
    private MonotonicTime idleSince;
    private JobId heldForGang;
    private MonotonicTime holdExpiresAt;

    // Tasks and container images.
    private final List<Placement> placements = new ArrayList<>();
    private final Map<TaskId, UnpersistedExit> unpersistedExits = new Object2ObjectOpenHashMap<>();
    private final Set<TaskId> orphanedTasks = new HashSet<>();
    private final ImageCache imageCache;
    private int lostTasksSinceHeartbeat;

    /** Creates a machine with nothing on it. */
    public Machine(MachineId id, MachineType type, String zone, boolean isSpot) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.isSpot = isSpot;
        this.imageCache = new ImageCache(type.imageCacheGb());
    }

    // ---- identity ----

    /** The machine's identifier: the name that the cloud gave it. */
    public MachineId id() {
        return id;
    }

    /** The machine's type, which defines its resources. */
    public MachineType type() {
        return type;
    }

    /** The zone that the machine is in. */
    public String zone() {
        return zone;
    }

    /** Whether the machine is a spot instance, which the cloud can preempt. */
    public boolean isSpot() {
        return isSpot;
    }

    /** The network address of the machine's worker, or null while it is unknown. */
    public String address() {
        return address;
    }

    /** Sets the network address of the machine's worker. */
    public void address(String current) {
        address = current;
    }

    // ---- heartbeats and contact ----

    /** The worker's incarnation as last reported, or null before the first heartbeat. */
    public WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** The sequence number of the last heartbeat, unsigned; 0 before the first one. */
    public long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /** Records the incarnation, sequence number and fencing token of a heartbeat. */
    public void recordHeartbeat(Heartbeat heartbeat) {
        incarnation = heartbeat.incarnation();
        lastSequenceNumber = heartbeat.sequenceNumber();
        if (heartbeat.fencingToken().isAfter(highestFencingToken)) {
            highestFencingToken = heartbeat.fencingToken();
        }
    }

    /** The highest fencing token that the worker has reported. */
    public FencingToken highestFencingToken() {
        return highestFencingToken;
    }

    /**
     * The time at which this leader first learned of the machine, from the cloud's list or a
     * heartbeat.
     */
    public MonotonicTime knownSince() {
        return knownSince;
    }

    /** Sets the time at which this leader first learned of the machine. */
    public void knownSince(MonotonicTime since) {
        knownSince = since;
    }

    /** The time at which the cloud's list last contained the machine, or null. */
    public MonotonicTime lastListedAt() {
        return lastListedAt;
    }

    /** Records that the cloud's list contains the machine. */
    public void recordListing(MonotonicTime now) {
        lastListedAt = now;
    }

    /**
     * The time at which the worker last proved to be alive, by a heartbeat or by the response to a
     * direct command, or null.
     */
    public MonotonicTime lastContactAt() {
        return lastContactAt;
    }

    /** Records that the worker proved to be alive by something other than an answered heartbeat. */
    public void recordContact(MonotonicTime now) {
        lastContactAt = now;
    }

    /**
     * The arrival time of the last heartbeat that this leader answered, or null. Only the response
     * renews the worker's lease.
     */
    public MonotonicTime lastAnsweredHeartbeatAt() {
        return lastAnsweredHeartbeatAt;
    }

    /** Records the arrival of a heartbeat that is answered. */
    public void recordAnsweredHeartbeat(MonotonicTime now) {
        lastAnsweredHeartbeatAt = now;
        lastContactAt = now;
    }

    // ---- schedulability ----

    /** The time at which the cloud will reclaim the machine, or null without such a notice. */
    public MonotonicTime preemptionDeadline() {
        return preemptionDeadline;
    }

    /** Sets the time at which the cloud will reclaim the machine. */
    public void preemptionDeadline(MonotonicTime deadline) {
        preemptionDeadline = deadline;
    }

    /**
     * Whether no more tasks may be placed on the machine, because it is cordoned or being returned.
     */
    public boolean isUnschedulable() {
        return isCordoned || isReleasing;
    }

    /** Excludes the machine from further placements. */
    public void cordon() {
        isCordoned = true;
    }

    /**
     * Records that the worker's incarnation numbers started again from the beginning, so that the
     * worker is not in the incarnation whose numbers are known. The machine is cordoned.
     */
    public void markIncarnationReset() {
        isIncarnationReset = true;
        isCordoned = true;
    }

    /**
     * Whether the worker's incarnation numbers started again. Its heartbeats then cannot be
     * distinguished from late duplicates of earlier ones, so the machine is returned with all tasks
     * that may be on it.
     */
    public boolean isIncarnationReset() {
        return isIncarnationReset;
    }

    /** Whether the machine is being returned to the cloud. */
    public boolean isReleasing() {
        return isReleasing;
    }

    /** Sets whether the machine is being returned to the cloud; false after the return failed. */
    public void setReleasing(boolean releasing) {
        isReleasing = releasing;
    }

    /** The time since which the machine has been idle, or null if it is not idle. */
    public MonotonicTime idleSince() {
        return idleSince;
    }

    /** Sets the time since which the machine has been idle; null if it is not idle. */
    public void idleSince(MonotonicTime since) {
        idleSince = since;
    }

    /**
     * Holds the free capacity of the machine, until a deadline, for a gang for which other tasks
     * were preempted.
     */
    public void holdForGang(JobId jobId, MonotonicTime until) {
        heldForGang = jobId;
        holdExpiresAt = until;
    }

    /** The gang for which the machine's free capacity is held, or null. */
    public JobId heldForGang(MonotonicTime now) {
        return heldForGang != null && now.isBefore(holdExpiresAt) ? heldForGang : null;
    }

    // ---- tasks and container images ----

    /** The placements on the machine; modified only by the leader. */
    public List<Placement> placements() {
        return placements;
    }

    /** The placement of the attempt that a heartbeat lists, or null if there is none. */
    public Placement placementOf(Heartbeat.TaskStatus status) {
        for (Placement placement : placements) {
            if (placement.taskId().equals(status.taskId())
                    && placement.attemptNumber().equals(status.attemptNumber())) {
                return placement;
            }
        }
        return null;
    }

    /** The exits that the worker reported and that are not persisted yet. */
    public Map<TaskId, UnpersistedExit> unpersistedExits() {
        return unpersistedExits;
    }

    /**
     * The tasks that the worker reports although no record places them on this machine. They are
     * being stopped, and cannot be started elsewhere until they have exited.
     */
    public Set<TaskId> orphanedTasks() {
        return orphanedTasks;
    }

    /** The container images that the machine probably has cached. */
    public ImageCache imageCache() {
        return imageCache;
    }

    /** Adds to the number of tasks that were lost on the machine. */
    public void recordLostTasks(int tasks) {
        lostTasksSinceHeartbeat += tasks;
    }

    /** Returns the number of tasks lost since the last call, and resets it to zero. */
    public int takeLostTaskCount() {
        int lost = lostTasksSinceHeartbeat;
        lostTasksSinceHeartbeat = 0;
        return lost;
    }

    // ---- resources ----

    /**
     * The number of further tasks of a job that a machine can take.
     *
     * @param free the free capacity of the machine
     * @param taskCount the number of tasks on the machine
     */
    public static int maxMoreTasks(Resources free, int taskCount, JobSpec spec) {
        int maxByCount = Math.max(0, MAX_TASKS - taskCount);
        return spec.resourcesPerTask().maxCopiesIn(free, maxByCount);
    }

    /** The resources allocated to the placements on the machine. */
    public Resources allocated() {
        Resources sum = Resources.NONE;
        for (Placement placement : placements) {
            sum = sum.plus(placement.job().spec().resourcesPerTask());
        }
        return sum;
    }

    /** The resources that are not allocated to placements. */
    public Resources freeCapacity() {
        return type.capacity().minus(allocated());
    }

    /** Whether the machine has a free amount of each resource that its type provides. */
    public boolean hasFreeCapacity() {
        Resources free = freeCapacity();
        Resources capacity = type.capacity();
        return (free.cpu() > 0 || capacity.cpu() == 0)
                && (free.gpu() > 0 || capacity.gpu() == 0)
                && (free.memory() > 0 || capacity.memory() == 0);
    }
}
