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

    /** Null until it has exited. */
    private ExitReason exitReason;

    /** Null until it runs; a gang's task waits for the others first. */
    private MonotonicTime runningSince;

    /** Since when a running gang's task has missed another one; null if it misses none. */
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

    /** Whether it is on the machine in the protocol's sense: with its image, and not exited. */
    boolean isPresent() {
        return !hasExited() && state != TaskState.PULLING_IMAGE;
    }

    /** Whether it can take part in its gang's attempt, or has completed in it. */
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

    /** Whether its image arrives now. */
    boolean isImagePulled(MonotonicTime now) {
        return state == TaskState.PULLING_IMAGE && imagePulledAt.isBefore(now);
    }

    /** Starts it with its image; a gang's task waits for the others. */
    void start(boolean inGang, MonotonicTime now) {
        state = inGang ? TaskState.WAITING_FOR_GANG : TaskState.RUNNING;
        runningSince = inGang ? null : now;
    }

    /** Whether it has run for longer than its runtime; null runs until it is stopped. */
    boolean hasFinished(Duration runtime, MonotonicTime now) {
        return state == TaskState.RUNNING
                && runtime != null
                && now.elapsedSince(runningSince).compareTo(runtime) > 0;
    }

    /**
     * A gang's tasks start together, time out waiting for one another, and exit when one of them
     * has gone.
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
