package org.meadowhollow.coordination;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.rounds.RoundScheduler;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;

/**
 * Runs the regular rounds of one leadership, and the checks that let a warm leader run its first
 * round earlier. Takes the leader's lock itself.
 */
final class LeaderRounds {
    /** The interval at which a warm leader checks whether it may run its first round. */
    private static final Duration WARM_CHECK_INTERVAL = Duration.ofMillis(200);

    /**
     * The number of consecutive rounds that fail before the leader releases its lease: its memory
     * may be what makes them fail, and the next leader begins with the stored records.
     */
    private static final int MAX_FAILED_ROUNDS = 10;

    private final Object lock;
    private final EventLoop loop;
    private final LeaderParts parts;
    private final LeadershipTerm term;
    private final Leadership leadership;
    private final BooleanSupplier isClosed;

    /** Whether the checks of a warm start have led to the first round. */
    @GuardedBy("lock")
    private boolean warmStartOver;

    /** The number of rounds that have failed since the last one that did not. */
    @GuardedBy("lock")
    private int failedRounds;

    /**
     * @param lock the leader's lock
     * @param isClosed whether the leadership has ended
     */
    LeaderRounds(
            Object lock,
            EventLoop loop,
            LeaderParts parts,
            LeadershipTerm term,
            BooleanSupplier isClosed) {
        this.lock = lock;
        this.loop = loop;
        this.parts = parts;
        this.term = term;
        this.leadership = term.leadership();
        this.isClosed = isClosed;
    }

    /** Schedules the rounds, until the leadership ends. */
    void start() {
        RepeatingSteps.every(
                loop,
                RepeatingStep.SCHEDULING_ROUND,
                RoundScheduler.ROUND_INTERVAL,
                isClosed,
                this::runRound,
                this::onRoundFailed);
        if (term.handoverState().wasStandby()) {
            RepeatingSteps.every(
                    loop,
                    RepeatingStep.WARM_START_CHECK,
                    WARM_CHECK_INTERVAL,
                    this::isWarmStartOver,
                    this::checkWarmStart);
        }
    }

    private void runRound() {
        synchronized (lock) {
            if (isClosed.getAsBoolean() || !parts.stateRecovery.isComplete()) {
                return;
            }
            MonotonicTime now = loop.now();
            leadership.renewIfDue();
            loop.runStep(EventLoopStep.FAILURE_DETECTION, () -> detectFailures(now));
            if (parts.firstRoundGate.maySchedule(now)) {
                parts.roundScheduler.runRound(now);
            }
            parts.jobTracker.reportMetricsIfDue(now);
            writeChanges(now);
        }
        parts.failureDetector.queryPeersAndMaybeResign();
        parts.autoscaler.scaleOutAndIn();
        synchronized (lock) {
            failedRounds = 0;
        }
    }

    private void detectFailures(MonotonicTime now) {
        parts.failureDetector.evaluate(now);
        parts.heartbeatTimeoutMonitor.checkAllMachines(now);
    }

    private void writeChanges(MonotonicTime now) {
        loop.runStep(EventLoopStep.RECORD_WRITE, parts.recordWriter::flush);
        parts.imageCacheRecorder.writeIfDue(parts.clusterState.machines().values(), now);
        if (parts.riskTableRestorer.isComplete() && leadership.canDecide()) {
            parts.standbySupport.writeSnapshotIfDue(parts.recordWriter.dirtyShardCount() == 0, now);
        }
    }

    private void onRoundFailed() {
        boolean tooMany;
        synchronized (lock) {
            failedRounds++;
            tooMany = failedRounds >= MAX_FAILED_ROUNDS;
        }
        if (tooMany) {
            leadership.releaseStalled();
        }
    }

    private boolean isWarmStartOver() {
        synchronized (lock) {
            return warmStartOver || isClosed.getAsBoolean();
        }
    }

    /**
     * Runs the first round of a warm leader as soon as its preconditions hold, without waiting for
     * the regular rounds, which run every second from the start. Also begins to restore the risk
     * tables once the state is recovered.
     */
    private void checkWarmStart() {
        boolean mustReadRiskTables;
        synchronized (lock) {
            if (isClosed.getAsBoolean()) {
                return;
            }
            MonotonicTime now = loop.now();
            if (parts.stateRecovery.isComplete()
                    && !parts.firstRoundGate.isFirstRoundAllowed()
                    && parts.firstRoundGate.maySchedule(now)) {
                parts.roundScheduler.runRound(now);
                parts.recordWriter.flush();
            }
            mustReadRiskTables =
                    parts.stateRecovery.isComplete() && parts.riskTableRestorer.beginRestoration();
            warmStartOver = parts.firstRoundGate.isFirstRoundAllowed();
        }
        if (mustReadRiskTables) {
            parts.riskTableRestorer.readSnapshot();
        }
    }
}
