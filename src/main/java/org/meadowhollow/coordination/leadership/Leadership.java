package org.meadowhollow.coordination.leadership;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.heartbeat.HeartbeatTracker;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;

/**
 * Leader election on this node. The leader is the member that holds a leased record in the
 * key-value store, and its fencing token comes from a counter that is raised in the transaction
 * that writes this record.
 *
 * <p>{@link LeadershipStateMachine} computes the transitions; this class holds the state, passes
 * events to the state machine and performs its effects. {@link LeadershipSafety} defines what a
 * leader may do and until when, with the argument why that is safe.
 *
 * <p>Thread-safe. The state is guarded by this object's own lock, which is held only while a
 * transition is computed. Effects, and so all I/O and all calls of the {@link Listener}, happen
 * after the lock is released, on the thread that delivered the event. That thread may hold a lock
 * of the caller.
 */
public final class Leadership {
    /**
     * The number of distinct workers that must have reached this node within {@link
     * #REACHING_WORKERS_WINDOW} for the node to count as reachable.
     */
    private static final int MIN_REACHING_WORKERS = 3;

    /**
     * The period for which a contact of a worker counts: workers whose leader does not answer try
     * all controllers in turn, one every 5 s or more.
     */
    private static final Duration REACHING_WORKERS_WINDOW = Duration.ofSeconds(6);

    /** Receives changes of leadership. It is called without any lock of {@link Leadership} held. */
    public interface Listener {
        /**
         * Called when this member has been elected leader.
         *
         * @param fencingToken the fencing token of this leadership
         * @param leaderKeyRevision the revision of the transaction that wrote the leader record
         * @param vacantSince when this node first saw that there was no leader, or null if it did
         *     not
         */
        void onElected(
                FencingToken fencingToken, Revision leaderKeyRevision, MonotonicTime vacantSince);

        /**
         * Called when this member no longer leads.
         *
         * @param reason the reason, for the log
         */
        void onLeadershipLost(String reason);

        /**
         * Called when another member is believed to lead.
         *
         * @param leader the name of that member
         */
        void onFollowing(String leader);
    }

    private final EventLoop loop;
    private final LeadershipStateMachine stateMachine;
    private final LeadershipEffects effects;
    private final Duration workerLeaseRenewalBound;
    private final Duration maxStall;
    private final HeartbeatTracker heartbeatTracker;

    @GuardedBy("this")
    private LeadershipState state = LeadershipState.INITIAL;

    /**
     * Creates the leader election of a node that does not stand for election before {@link
     * #start()}.
     *
     * @param deploymentSettings provides this member's name, the cancellation bound and the
     *     duration of worker leases
     * @param heartbeatTracker records which workers have reached this node recently
     * @param random source of the jitter of retries
     * @param listener receives changes of leadership
     */
    public Leadership(
            KeyValueStore store,
            EventLoop loop,
            PeerGateway peerGateway,
            DeploymentSettings deploymentSettings,
            HeartbeatTracker heartbeatTracker,
            RandomGenerator random,
            Listener listener) {
        this.loop = loop;
        String member = deploymentSettings.member();
        this.stateMachine = new LeadershipStateMachine(member);
        LeadershipStoreClient storeClient =
                new LeadershipStoreClient(
                        store, loop, member, this::workersReachNode, this::handle);
        this.effects =
                new LeadershipEffects(
                        loop,
                        peerGateway,
                        member,
                        storeClient,
                        random,
                        listener,
                        new CurrentElection());
        this.heartbeatTracker = heartbeatTracker;
        this.workerLeaseRenewalBound =
                LeadershipSafety.renewalBound(
                        deploymentSettings.cancellationBound(), deploymentSettings.workerLease());
        this.maxStall = LeadershipSafety.maxStall(workerLeaseRenewalBound);
    }

    /** Starts to follow the leader record, and to stand for election when there is none. */
    public void start() {
        handle(new LeadershipEvent.Started());
    }

    // ---- permissions ----

    /** Whether this node may make decisions, see {@link LeadershipSafety#canDecide}. */
    public synchronized boolean canDecide() {
        return LeadershipSafety.canDecide(state, loop.now());
    }

    /**
     * Whether starts of tasks may be sent to workers, see {@link LeadershipSafety#canStartTasks}.
     */
    public synchronized boolean canStartTasks() {
        return LeadershipSafety.canStartTasks(state, loop.now());
    }

    /**
     * Whether heartbeats may be answered, which renews the leases of workers, see {@link
     * LeadershipSafety#canRenewWorkerLeases}. A leader that cannot reach the store may still answer
     * them for a limited time, which keeps the tasks running.
     */
    public synchronized boolean canRenewWorkerLeases() {
        return LeadershipSafety.canRenewWorkerLeases(workerLeaseRenewalBound, state, loop.now());
    }

    // ---- state ----

    /**
     * The fencing token of this node's last leadership, {@link FencingToken#NONE} before the first.
     */
    public synchronized FencingToken fencingToken() {
        return state.fencingToken();
    }

    /** The highest fencing token that this node has seen from any node or worker. */
    public synchronized FencingToken highestObservedToken() {
        return state.observedLeader().highestToken();
    }

    /** The name of the last known leader, or null if none is known. */
    public synchronized String lastKnownLeader() {
        return state.observedLeader().leader();
    }

    /**
     * Whether this node released its lease because it was isolated from the workers, and none has
     * reached it since.
     */
    public synchronized boolean isIsolated() {
        return state.isolated();
    }

    /**
     * Whether enough time has passed since the last release without a known successor to release
     * the lease in that way again.
     *
     * @param minInterval the minimum time between two such releases
     */
    public synchronized boolean canResignWithoutSuccessor(Duration minInterval) {
        MonotonicTime lastResignedAt = state.resignedWithoutSuccessorAt();
        return lastResignedAt == null
                || loop.now().elapsedSince(lastResignedAt).compareTo(minInterval) >= 0;
    }

    // ---- inputs from other parts of the controller ----

    /**
     * Records that the leader knows all cancellations up to a moment. Ignored if the leadership
     * with that token is over.
     *
     * @param fencingToken the fencing token of the leadership that read the cancellations
     * @param upTo when the request was sent whose response contained the last of them
     */
    public void advanceFreshness(FencingToken fencingToken, MonotonicTime upTo) {
        handle(new LeadershipEvent.FreshnessAdvanced(fencingToken, upTo));
    }

    /**
     * Records that the leader has loaded more of the records of earlier leaders. Ignored if the
     * leadership with that token is over.
     */
    public void recordRecoveryProgress(FencingToken fencingToken) {
        handle(new LeadershipEvent.RecoveryProgressed(fencingToken));
    }

    /**
     * Records a fencing token that a peer or a worker has shown. A token above the highest one
     * known to this node ends this node's leadership.
     *
     * @param leader the member that the token belongs to, or null if that is not known
     */
    public void observeToken(FencingToken fencingToken, String leader) {
        handle(new LeadershipEvent.TokenObserved(fencingToken, leader));
    }

    /** Ends this node's leadership because a write found that the leader record has changed. */
    public void stepDown() {
        handle(new LeadershipEvent.LeaderKeyLost());
    }

    /**
     * Records that a worker has reached this node, which may therefore stand for election like any
     * other.
     */
    public void restoreWorkerContact() {
        handle(new LeadershipEvent.WorkerContactRestored());
    }

    /**
     * Releases the lease because hardly any worker reaches this node. The leader record is deleted
     * with a compare-and-swap, so the record of another leader is never deleted. Until the reply
     * arrives, this node answers heartbeats but makes no decisions. If the store refuses the
     * request, this node continues to lead, and the caller may try again.
     *
     * @param successor a member that workers reach, or null if none is known
     */
    public void resign(String successor) {
        handle(new LeadershipEvent.ReleaseRequested(ReleaseReason.ISOLATED, successor));
    }

    /**
     * Releases the lease because this process is about to end. The other members let the successor
     * stand first, see {@link CandidacyPolicy}.
     *
     * @param successor the member that should be elected, or null if any may be
     */
    public void handOver(String successor) {
        handle(new LeadershipEvent.ReleaseRequested(ReleaseReason.SHUTDOWN, successor));
    }

    /** Releases the lease because this node leads without doing its work. */
    public void releaseStalled() {
        handle(new LeadershipEvent.ReleaseRequested(ReleaseReason.STALLED, null));
    }

    /**
     * Records that a worker has sent a heartbeat to this node, which does not lead. If the worker's
     * last response came from the current leader, the process of that leader may have ended: the
     * leader is probed, and replaced before its lease expires if it has failed, see {@link
     * LeaderFailureDetection}.
     *
     * @param shownToken the fencing token that the worker has shown
     * @return true if the heartbeat should be deferred until the result of the probe is known,
     *     false if the worker should be redirected to the leader
     */
    public boolean recordWorkerArrival(MachineId worker, FencingToken shownToken) {
        synchronized (this) {
            if (!stateMachine.leaderMayHaveFailed(state, shownToken, loop.now())) {
                return false;
            }
        }
        handle(new LeadershipEvent.WorkerArrived(worker, shownToken));
        return true;
    }

    /**
     * Sends a renewal of this node's lease if one is due. Long-running work calls this repeatedly:
     * on a slow node, hundreds of heartbeats or a scheduling round can take longer than the lease
     * lasts, and the renewal timer does not run in the meantime.
     */
    public void renewIfDue() {
        synchronized (this) {
            if (!LeadershipStateMachine.isRenewalDue(state, loop.now())) {
                return;
            }
        }
        handle(new LeadershipEvent.RenewalCheckpointReached());
    }

    // ---- events and effects ----

    private void handle(LeadershipEvent event) {
        RepeatingSteps.run(
                loop,
                RepeatingStep.ELECTION,
                () -> apply(event),
                () -> effects.onEventFailed(event));
    }

    private void apply(LeadershipEvent event) {
        LeadershipTransition transition;
        synchronized (this) {
            transition = stateMachine.apply(state, event, loop.now());
            state = transition.next();
        }
        transition.effects().forEach(effects::perform);
    }

    private boolean workersReachNode() {
        return heartbeatTracker.countRecent(REACHING_WORKERS_WINDOW, loop.now())
                >= MIN_REACHING_WORKERS;
    }

    /** The election that the effects belong to. */
    private final class CurrentElection implements LeadershipEffects.Election {
        @Override
        public void handle(LeadershipEvent event) {
            Leadership.this.handle(event);
        }

        @Override
        public void onRenewalTimer(int epoch) {
            handle(new LeadershipEvent.RenewalTimerFired(epoch));
            boolean stalled;
            synchronized (Leadership.this) {
                stalled = LeadershipSafety.isStalled(maxStall, state);
            }
            if (stalled) {
                releaseStalled();
            }
        }

        @Override
        public boolean isCurrentEpoch(int epoch) {
            synchronized (Leadership.this) {
                return state.epoch() == epoch;
            }
        }

        @Override
        public boolean isLeader() {
            synchronized (Leadership.this) {
                return state.isLeader();
            }
        }
    }
}
