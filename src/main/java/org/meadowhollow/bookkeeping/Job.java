package org.meadowhollow.bookkeeping;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

/** A live job as the leader keeps it. */
public final class Job {
    private final JobSpec spec;
    private final long acceptedAtMillis;
    private final int chunkSize;
    private final Chunk[] chunks;
    private final BitSet done = new BitSet();
    private final Int2ObjectOpenHashMap<Placement> placements = new Int2ObjectOpenHashMap<>();
    private Version version;
    private boolean cancelled;
    private boolean ended;
    private Moment cancelSeenAt;
    private Moment waitingSince;
    private Moment holdUntil;
    private Moment roomMadeAt;

    /**
     * Failures of different tasks, or of one again and again, after which a job is tried with one
     * task.
     */
    private static final int SUSPECT_AFTER = 3;

    private static final int MOST_AVOIDED = 8;
    private int failures;
    private final Set<MachineId> failedOn = new LinkedHashSet<>();
    private final Companion companion;

    public Job(JobSpec spec, long acceptedAtMillis, int chunkSize, Version version) {
        this(spec, acceptedAtMillis, chunkSize, version, null);
    }

    /**
     * @param companion what another interface keeps beside the job, or null
     */
    public Job(
            JobSpec spec,
            long acceptedAtMillis,
            int chunkSize,
            Version version,
            Companion companion) {
        this.companion = companion;
        this.spec = spec;
        this.acceptedAtMillis = acceptedAtMillis;
        this.chunkSize = chunkSize;
        this.version = version;
        this.chunks = new Chunk[(spec.tasks() + chunkSize - 1) / chunkSize];
    }

    /** What another interface keeps beside the job, or null. */
    public Companion companion() {
        return companion;
    }

    /** Whether the job has used up the attempts that its user allowed. */
    public boolean isGivenUp() {
        return companion != null && companion.failure() != null;
    }

    /** How far the job has come. */
    Progress progress() {
        if (allDone()) {
            return Progress.DONE;
        }
        if (cancelled) {
            return placements.isEmpty() ? Progress.CANCELLED : Progress.CANCELING;
        }
        if (placements.isEmpty()) {
            return isGivenUp() ? companion.failure() : Progress.QUEUED;
        }
        return placements.values().iterator().next().runningSince() != null
                ? Progress.RUNNING
                : Progress.PREPARING;
    }

    public JobSpec spec() {
        return spec;
    }

    public JobId id() {
        return spec.id();
    }

    public long acceptedAtMillis() {
        return acceptedAtMillis;
    }

    public int chunkSize() {
        return chunkSize;
    }

    public Version version() {
        return version;
    }

    public void version(Version now) {
        version = now;
    }

    public boolean cancelled() {
        return cancelled;
    }

    public void cancel(Moment now) {
        cancelled = true;
        cancelSeenAt = now;
    }

    public Moment cancelSeenAt() {
        return cancelSeenAt;
    }

    /** Whether the job's end is in the state service. */
    public boolean ended() {
        return ended;
    }

    public void end() {
        ended = true;
    }

    public Chunk chunk(int index) {
        if (chunks[index] == null) {
            chunks[index] = new Chunk(this, index);
        }
        return chunks[index];
    }

    public int chunkCount() {
        return chunks.length;
    }

    boolean hasChunk(int index) {
        return chunks[index] != null && !chunks[index].version().equals(Version.ABSENT);
    }

    public Chunk chunkOf(int task) {
        return chunk(task / chunkSize);
    }

    public boolean isDone(int task) {
        return done.get(task);
    }

    public boolean allDone() {
        return spec.kind() != Kind.SERVICE && done.cardinality() == spec.tasks();
    }

    public int doneCount() {
        return done.cardinality();
    }

    public Collection<Placement> placements() {
        return placements.values();
    }

    /**
     * Whether a gang's attempt has run or is being stopped, so that it cannot be completed any
     * more.
     */
    public boolean hasBegun() {
        for (Placement placement : placements.values()) {
            if (placement.runningSince() != null || placement.stopping()) {
                return true;
            }
        }
        return false;
    }

    public Placement placement(int task) {
        return placements.get(task);
    }

    /** The first task from {@code from} on that is neither done nor placed, or -1. */
    public int nextWaiting(int from) {
        if (isGivenUp()) {
            return -1;
        }
        for (int task = done.nextClearBit(from);
                task < spec.tasks();
                task = done.nextClearBit(task + 1)) {
            if (!placements.containsKey(task)) {
                return task;
            }
        }
        return -1;
    }

    public int waitingCount() {
        return cancelled || ended || isGivenUp()
                ? 0
                : spec.tasks() - done.cardinality() - placements.size();
    }

    /** The number for the next attempt of a task. */
    public Attempt nextAttempt(int task) {
        return new Attempt(chunkOf(task).lastAttempt() + 1);
    }

    /**
     * The number for the tasks of a gang: that of the attempt which they complete, or else the next
     * one.
     */
    public Attempt gangAttempt() {
        if (!placements.isEmpty()) {
            return placements.values().iterator().next().attempt();
        }
        int last = 0;
        for (Chunk chunk : chunks) {
            last = Math.max(last, chunk == null ? 0 : chunk.lastAttempt());
        }
        return new Attempt(last + 1);
    }

    public Placement place(
            int task, Attempt attempt, MachineId machine, Session session, Moment now) {
        Chunk chunk = chunkOf(task);
        chunk.attempted(attempt.value());
        Placement placement =
                new Placement(
                        this,
                        new TaskId(id(), task),
                        attempt,
                        machine,
                        session,
                        chunk.touch(),
                        now);
        placements.put(task, placement);
        return placement;
    }

    /** Takes in a placement that a predecessor committed. */
    Placement restore(int task, Attempt attempt, MachineId machine, Session session, Moment now) {
        Placement placement =
                new Placement(this, new TaskId(id(), task), attempt, machine, session, 0, now);
        placements.put(task, placement);
        return placement;
    }

    /**
     * Removes a placement that is proven gone; the returned change must be saved before it is
     * forgotten.
     */
    public long remove(Placement placement) {
        placements.remove(placement.task().index(), placement);
        return chunkOf(placement.task().index()).touch();
    }

    public void complete(int task) {
        done.set(task);
    }

    void restoreDone(int from, int count) {
        done.set(from, from + count);
    }

    BitSet doneTasks() {
        return done;
    }

    public Moment waitingSince() {
        return waitingSince;
    }

    public void waitingSince(Moment since) {
        waitingSince = since;
    }

    /** Until when no new attempt is made after failures; null for no such time. */
    public Moment holdUntil() {
        return holdUntil;
    }

    public void holdUntil(Moment until) {
        holdUntil = until;
    }

    /** When others were last stopped for this job, or null. */
    public Moment roomMadeAt() {
        return roomMadeAt;
    }

    public void roomMadeAt(Moment at) {
        roomMadeAt = at;
    }

    /** Counts a task's own failure and says how many there were since one was done. */
    public int failed(MachineId machine) {
        failedOn.add(machine);
        if (failedOn.size() > MOST_AVOIDED) {
            failedOn.remove(failedOn.iterator().next());
        }
        return ++failures;
    }

    /** A task was done, so what failed before was not the job's fault. */
    public void worked() {
        failures = 0;
        holdUntil = null;
    }

    /**
     * Whether the job itself seems to be the mistake: its tasks failed on several machines, and
     * none was done. Then one task alone tries, for all would fail alike, each on a place and with
     * a fetch that others could have.
     */
    public boolean isSuspect() {
        return failures >= SUSPECT_AFTER && failedOn.size() > 1 && done.isEmpty();
    }

    /** Machines on which its tasks failed, the latest few. */
    public Set<MachineId> failedOn() {
        return failedOn;
    }
}
