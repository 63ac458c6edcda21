package org.meadowhollow.model;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A rented machine as the leader knows it: what the cloud provider and the worker's heartbeats said
 * of it, and what is placed on it. Not thread-safe: its leader guards it.
 */
public final class Machine {
    /**
     * An exit that is not persisted yet; only when it is may the worker forget the attempt.
     *
     * @param shardChange the change of the shard that holds the exit
     */
    public record UnpersistedExit(AttemptNumber attemptNumber, TaskShard shard, long shardChange) {
        /** Whether the exit, or the end of the whole job, is persisted by now. */
        public boolean isPersisted() {
            return shard.isPersisted(shardChange) || shard.job().isEnded();
        }
    }

    /** Lower than every sequence number that a worker sends. */
    private static final long NO_SEQUENCE_NUMBER = -1;

    // What the machine is.
    private final MachineId id;
    private final MachineType type;
    private final String zone;
    private final boolean isSpot;
    private String address;

    // What is known of its worker.
    private WorkerIncarnation incarnation;
    private long lastSequenceNumber = NO_SEQUENCE_NUMBER;
    private FencingToken highestFencingToken = FencingToken.NONE;
    private MonotonicTime knownSince;
    private MonotonicTime lastListedAt;
    private MonotonicTime lastContactAt;
    private MonotonicTime lastAnsweredHeartbeatAt;

    // Whether it takes tasks.
    private MonotonicTime preemptionDeadline;
    private boolean isCordoned;
    private boolean isIncarnationReset;
    private boolean isReleasing;
    private MonotonicTime idleSince;
    private JobId heldForGang;
    private MonotonicTime holdExpiresAt;

    // What is on it.
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

    /** The name that the cloud provider gave it. */
    public MachineId id() {
        return id;
    }

    /** Its type, which says what resources it has. */
    public MachineType type() {
        return type;
    }

    /** The zone that it is in. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot instance, which the cloud provider can preempt. */
    public boolean isSpot() {
        return isSpot;
    }

    /** The network address of its worker, or null while it is unknown. */
    public String address() {
        return address;
    }

    /** Sets the network address of its worker. */
    public void address(String current) {
        address = current;
    }

    // ---- heartbeats and contact ----

    /** The worker's incarnation as last reported, or null before the first heartbeat. */
    public WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** The sequence number of the last heartbeat, or -1 before the first one. */
    public long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /** Takes in what a heartbeat says of the worker itself. */
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

    /** When this leader first knew of the machine, from the provider's list or a heartbeat. */
    public MonotonicTime knownSince() {
        return knownSince;
    }

    /** Sets when this leader first knew of the machine. */
    public void knownSince(MonotonicTime since) {
        knownSince = since;
    }

    /** When the cloud provider's list last named the machine, or null. */
    public MonotonicTime lastListedAt() {
        return lastListedAt;
    }

    /** Notes that the cloud provider's list names the machine. */
    public void recordListing(MonotonicTime now) {
        lastListedAt = now;
    }

    /**
     * When the worker last proved to be alive, by a heartbeat or by the response to a direct
     * command, or null.
     */
    public MonotonicTime lastContactAt() {
        return lastContactAt;
    }

    /** Notes that the worker proved to be alive other than by an answered heartbeat. */
    public void recordContact(MonotonicTime now) {
        lastContactAt = now;
    }

    /**
     * When the last heartbeat arrived that this leader answered, or null; only the answer renews
     * the worker's lease.
     */
    public MonotonicTime lastAnsweredHeartbeatAt() {
        return lastAnsweredHeartbeatAt;
    }

    /** Notes that a heartbeat arrived and is answered. */
    public void recordAnsweredHeartbeat(MonotonicTime now) {
        lastAnsweredHeartbeatAt = now;
        lastContactAt = now;
    }

    // ---- whether it takes tasks ----

    /** When the cloud provider is going to take the machine away, or null if it did not say so. */
    public MonotonicTime preemptionDeadline() {
        return preemptionDeadline;
    }

    /** Sets when the cloud provider is going to take the machine away. */
    public void preemptionDeadline(MonotonicTime deadline) {
        preemptionDeadline = deadline;
    }

    /** Whether nothing more is placed here, because it is cordoned or being returned. */
    public boolean isUnschedulable() {
        return isCordoned || isReleasing;
    }

    /** Has nothing more placed here from now on. */
    public void cordon() {
        isCordoned = true;
    }

    /**
     * Notes that the worker's incarnations began again, so that it is another life of the machine
     * than the one whose numbers are known; it is cordoned.
     */
    public void markIncarnationReset() {
        isIncarnationReset = true;
        isCordoned = true;
    }

    /**
     * Whether the machine is to be returned with all that may be on it, since its heartbeats cannot
     * be told from late duplicates.
     */
    public boolean isIncarnationReset() {
        return isIncarnationReset;
    }

    /** Whether the machine is being returned to the cloud provider. */
    public boolean isReleasing() {
        return isReleasing;
    }

    /** Notes that the machine is being returned to the cloud provider, or that this failed. */
    public void setReleasing(boolean isReleasingNow) {
        isReleasing = isReleasingNow;
    }

    /** Since when the machine is idle, or null while it is not. */
    public MonotonicTime idleSince() {
        return idleSince;
    }

    /** Sets since when the machine is idle; null if it is not. */
    public void idleSince(MonotonicTime since) {
        idleSince = since;
    }

    /** Holds what is free here for a gang for which other tasks were preempted. */
    public void holdForGang(JobId jobId, MonotonicTime until) {
        heldForGang = jobId;
        holdExpiresAt = until;
    }

    /** The gang that what is free here is held for, or null. */
    public JobId heldForGang(MonotonicTime now) {
        return heldForGang != null && now.isBefore(holdExpiresAt) ? heldForGang : null;
    }

    // ---- what is on it ----

    /** The placements on the machine; changed by the leader only. */
    public List<Placement> placements() {
        return placements;
    }

    /** The exits that the worker reported and that are not persisted yet. */
    public Map<TaskId, UnpersistedExit> unpersistedExits() {
        return unpersistedExits;
    }

    /**
     * Tasks that the worker reports and that no record places here. They are being stopped, and
     * block their start elsewhere until they have exited.
     */
    public Set<TaskId> orphanedTasks() {
        return orphanedTasks;
    }

    /** The container images that the machine probably has cached. */
    public ImageCache imageCache() {
        return imageCache;
    }

    /** Counts tasks that were lost on the machine. */
    public void recordLostTasks(int tasks) {
        lostTasksSinceHeartbeat += tasks;
    }

    /** Returns the number of tasks lost since the last call, and starts counting again. */
    public int takeLostTaskCount() {
        int lost = lostTasksSinceHeartbeat;
        lostTasksSinceHeartbeat = 0;
        return lost;
    }

    // ---- resources ----

    /** The resources that the placements take. */
    public Resources allocated() {
        Resources sum = Resources.NONE;
        for (Placement placement : placements) {
            sum = sum.plus(placement.job().spec().resourcesPerTask());
        }
        return sum;
    }

    /** The resources that no placement takes. */
    public Resources freeCapacity() {
        return type.capacity().minus(allocated());
    }

    /** Whether some of every resource that the machine has is free. */
    public boolean hasFreeCapacity() {
        Resources free = freeCapacity();
        Resources capacity = type.capacity();
        return (free.cpu() > 0 || capacity.cpu() == 0)
                && (free.gpu() > 0 || capacity.gpu() == 0)
                && (free.memory() > 0 || capacity.memory() == 0);
    }
}
