package org.meadowhollow.model;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A rented machine as the leader knows it. */
public final class Machine {
    /** An exit whose record is not in the state service yet; only then may the worker forget it. */
    public record UnpersistedExit(AttemptNumber attemptNumber, TaskShard shard, long shardChange) {
        public boolean isPersisted() {
            return shard.isPersisted(shardChange) || shard.job().isEnded();
        }
    }

    private JobId heldForGang;
    private MonotonicTime holdExpiresAt;
    private final MachineId id;
    private final MachineType type;
    private final String zone;
    private final boolean isSpot;
    private String address;
    private WorkerIncarnation incarnation;
    private long lastSequenceNumber = -1;
    private FencingToken highestFencingToken = FencingToken.NONE;
    private MonotonicTime knownSince;
    private MonotonicTime lastListedAt;
    private MonotonicTime lastContactAt;
    private MonotonicTime lastAnsweredHeartbeatAt;
    private MonotonicTime preemptionDeadline;
    private boolean isUnschedulable;
    private boolean isIncarnationReset;
    private boolean releasing;
    private MonotonicTime idleSince;
    private final List<Placement> placements = new ArrayList<>();
    private final Map<TaskId, UnpersistedExit> unpersistedExits = new Object2ObjectOpenHashMap<>();
    private final Set<TaskId> orphanedTasks = new HashSet<>();
    private final ImageCache imageCache;
    private int lostTasksSinceHeartbeat;

    public Machine(MachineId id, MachineType type, String zone, boolean spot) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.isSpot = spot;
        this.imageCache = new ImageCache(type.imageCacheGb());
    }

    public MachineId id() {
        return id;
    }

    public MachineType type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean isSpot() {
        return isSpot;
    }

    public String address() {
        return address;
    }

    public void address(String known) {
        address = known;
    }

    /** The session last reported, or null before the first report. */
    public WorkerIncarnation incarnation() {
        return incarnation;
    }

    public long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    public void recordHeartbeat(Heartbeat heartbeat) {
        incarnation = heartbeat.incarnation();
        lastSequenceNumber = heartbeat.sequenceNumber();
        if (heartbeat.fencingToken().isAfter(highestFencingToken)) {
            highestFencingToken = heartbeat.fencingToken();
        }
    }

    /** The highest token that the worker has shown. */
    public FencingToken highestFencingToken() {
        return highestFencingToken;
    }

    /** When this leader first knew of the machine, by the cloud's list or by a report. */
    public MonotonicTime knownSince() {
        return knownSince;
    }

    public void knownSince(MonotonicTime now) {
        knownSince = now;
    }

    /** When the cloud's list last named the machine, or null. */
    public MonotonicTime lastListedAt() {
        return lastListedAt;
    }

    public void recordListing(MonotonicTime now) {
        lastListedAt = now;
    }

    /**
     * When the last news came of the machine, by a report or by an answer to a direct command, or
     * null.
     */
    public MonotonicTime lastContactAt() {
        return lastContactAt;
    }

    /**
     * When the last report arrived that this leader answered, or null; only that renews the
     * worker's lease.
     */
    public MonotonicTime lastAnsweredHeartbeatAt() {
        return lastAnsweredHeartbeatAt;
    }

    public void recordAnsweredHeartbeat(MonotonicTime now) {
        lastAnsweredHeartbeatAt = now;
        lastContactAt = now;
    }

    public void recordContact(MonotonicTime now) {
        lastContactAt = now;
    }

    public MonotonicTime preemptionDeadline() {
        return preemptionDeadline;
    }

    public void preemptionDeadline(MonotonicTime end) {
        preemptionDeadline = end;
    }

    /** Whether nothing more is placed here. */
    public boolean isUnschedulable() {
        return isUnschedulable || releasing;
    }

    public void cordon() {
        isUnschedulable = true;
    }

    /**
     * The machine is in another life than the one whose numbers were taken in; it takes no more
     * tasks.
     */
    public void markIncarnationReset() {
        isIncarnationReset = true;
        isUnschedulable = true;
    }

    /**
     * Whether it is to be returned with all that may be on it, since its reports cannot be told
     * from late copies.
     */
    public boolean isIncarnationReset() {
        return isIncarnationReset;
    }

    public boolean releasing() {
        return releasing;
    }

    public void releasing(boolean now) {
        releasing = now;
    }

    public MonotonicTime idleSince() {
        return idleSince;
    }

    public void idleSince(MonotonicTime since) {
        idleSince = since;
    }

    public List<Placement> placements() {
        return placements;
    }

    public Map<TaskId, UnpersistedExit> unpersistedExits() {
        return unpersistedExits;
    }

    /**
     * Tasks on the machine that no record knows of; they are being stopped and count until they are
     * gone.
     */
    public Set<TaskId> orphanedTasks() {
        return orphanedTasks;
    }

    public ImageCache imageCache() {
        return imageCache;
    }

    public void recordLostTasks(int tasks) {
        lostTasksSinceHeartbeat += tasks;
    }

    /** The tasks lost since the last call. */
    public int takeLostTaskCount() {
        int lost = lostTasksSinceHeartbeat;
        lostTasksSinceHeartbeat = 0;
        return lost;
    }

    public Resources allocated() {
        Resources sum = Resources.NONE;
        for (Placement placement : placements) {
            sum = sum.plus(placement.job().spec().resourcesPerTask());
        }
        return sum;
    }

    /** Whether something of everything is free. */
    public boolean hasFreeCapacity() {
        Resources free = freeCapacity();
        Resources room = type.capacity();
        return (free.cpu() > 0 || room.cpu() == 0)
                && (free.gpu() > 0 || room.gpu() == 0)
                && (free.memory() > 0 || room.memory() == 0);
    }

    public Resources freeCapacity() {
        return type.capacity().minus(allocated());
    }

    /** Keeps what is free here for a gang for which it was cleared. */
    public void holdForGang(JobId job, MonotonicTime until) {
        heldForGang = job;
        holdExpiresAt = until;
    }

    /** The gang that what is free here is kept for, or null. */
    public JobId heldForGang(MonotonicTime now) {
        return heldForGang != null && now.isBefore(holdExpiresAt) ? heldForGang : null;
    }
}
