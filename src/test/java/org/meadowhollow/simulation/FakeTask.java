package org.meadowhollow.simulation;

import java.time.Duration;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.TaskState;

/** A task on a {@link FakeWorker}: it pulls its image, may wait for its gang, runs and exits. */
final class FakeTask {
    private static final Duration GANG_WAIT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration GANG_PEER_TIMEOUT = Duration.ofSeconds(6);

    private final AttemptNumber attempt;
    private final MonotonicTime imagePulledAt;
    private TaskState state = TaskState.PULLING_IMAGE;

    /** Null until the task has exited. */
    private ExitReason exitReason;

    /**
     * The time since which the task runs; null before. A gang's task waits for the others first.
     */
    private MonotonicTime runningSince;

    /**
     * The time since which a running task misses another task of its gang; null if it misses none.
     */
    private MonotonicTime missingPeerSince;

    FakeTask(AttemptNumber attempt, MonotonicTime imagePulledAt) {
        this.attempt = attempt;
        this.imagePulledAt = imagePulledAt;
    }

    AttemptNumber attempt() {
        return attempt;
    }

    TaskState state() {
        return state;
    }

    ExitReason exitReason() {
        return exitReason;
    }

    boolean hasExited() {
        return state == TaskState.EXITED;
    }

    /**
     * Returns whether the task is on the machine in the protocol's sense: its image is pulled, and
     * it has not exited.
     */
    boolean isPresent() {
        return !hasExited() && state != TaskState.PULLING_IMAGE;
    }

    /** Returns whether the task can take part in its gang's attempt, or has completed in it. */
    boolean participatesIn(AttemptNumber gangAttempt) {
        return attempt.equals(gangAttempt)
                && (state == TaskState.WAITING_FOR_GANG
                        || state == TaskState.RUNNING
                        || exitReason == ExitReason.DONE);
    }

    void exit(ExitReason reason) {
        state = TaskState.EXITED;
        exitReason = reason;
    }

    /** Returns whether the image pull has just finished. */
    boolean isImagePulled(MonotonicTime now) {
        return state == TaskState.PULLING_IMAGE && imagePulledAt.isBefore(now);
    }

    /** Starts the task once its image is pulled; a gang's task then waits for the others. */
    void start(boolean inGang, MonotonicTime now) {
        state = inGang ? TaskState.WAITING_FOR_GANG : TaskState.RUNNING;
        runningSince = inGang ? null : now;
    }

    /**
     * Returns whether the task has run for longer than its runtime; with a null runtime it runs
     * until it is stopped.
     */
    boolean hasFinished(Duration runtime, MonotonicTime now) {
        return state == TaskState.RUNNING
                && runtime != null
                && now.elapsedSince(runningSince).compareTo(runtime) > 0;
    }

    /**
     * Advances a gang's task: it starts when the gang is complete, times out waiting for the
     * others, and exits when another task has been gone for too long.
     */
    void advanceInGang(boolean gangIsComplete, MonotonicTime now) {
        if (state == TaskState.WAITING_FOR_GANG && gangIsComplete) {
            state = TaskState.RUNNING;
            runningSince = now;
        } else if (state == TaskState.WAITING_FOR_GANG
                && now.elapsedSince(imagePulledAt).compareTo(GANG_WAIT_TIMEOUT) > 0) {
            exit(ExitReason.ALONE);
        } else if (state == TaskState.RUNNING && !gangIsComplete) {
            missingPeerSince = missingPeerSince == null ? now : missingPeerSince;
            if (now.elapsedSince(missingPeerSince).compareTo(GANG_PEER_TIMEOUT) > 0) {
                exit(ExitReason.PEERS);
            }
        } else {
            missingPeerSince = null;
        }
    }
}
