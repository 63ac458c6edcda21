package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.meadowhollow.model.MonotonicTime;

/**
 * A state of {@link CancellationFreshnessModelTest}, immutable. Times are in seconds.
 *
 * @param tick the number of times that the clock has advanced by {@link #TICK_S}
 * @param nodes the former leader and its successor
 * @param cancelledAt when the cancellation was confirmed to the user, or {@link #NEVER}
 */
record CancellationModel(
        int tick,
        List<Node> nodes,
        Set<Message> messages,
        LeaderLease leaderLease,
        int cancelledAt,
        Worker worker,
        StoreFaults faults) {
    static final int NEVER = -1;
    private static final int TICK_S = 2;

    /**
     * The former leader or its successor.
     *
     * @param knowsCancellation whether a read has shown the cancellation to this node
     */
    record Node(LeadershipState state, boolean knowsCancellation) {
        Node with(LeadershipState next) {
            return new Node(next, knowsCancellation);
        }
    }

    /**
     * A request or reply in flight; at most one of each kind for each node.
     *
     * @param isRenewal true if it renews the leader's lease, false if it reads the changes of jobs
     * @param sentAt the tick in which the request was sent
     * @param showsCancellation null for a request; for the reply to a read, whether the store
     *     contained the cancellation when it executed the request
     */
    record Message(int node, boolean isRenewal, int sentAt, Boolean showsCancellation) {}

    /**
     * The lease of the leader record at the store.
     *
     * @param endsAt when the former leader's lease expires
     * @param successorElectedAt when the successor was elected, or {@link #NEVER}
     */
    record LeaderLease(int endsAt, int successorElectedAt) {
        static final int NEVER = CancellationModel.NEVER;

        boolean hasSuccessor() {
            return successorElectedAt != NEVER;
        }

        LeaderLease withEnd(int second) {
            return new LeaderLease(second, successorElectedAt);
        }

        LeaderLease withSuccessor(int second) {
            return new LeaderLease(endsAt, second);
        }
    }

    /**
     * The worker that runs the task of the job that may be cancelled.
     *
     * @param leaseEndsAt when its lease expires and it kills its tasks
     * @param showsSuccessorToken whether it has seen the successor's token, and therefore rejects
     *     answers of the former leader
     */
    record Worker(int leaseEndsAt, boolean showsSuccessorToken, boolean taskGone) {
        Worker at(int second) {
            return new Worker(leaseEndsAt, showsSuccessorToken, taskGone || leaseEndsAt <= second);
        }
    }

    /**
     * The faults of the key-value store.
     *
     * @param refusesLeader whether the store refuses requests of the former leader only
     * @param refusals the number of times that such a refusal has begun
     * @param unavailable whether the store refuses all requests from now on
     */
    record StoreFaults(boolean refusesLeader, int refusals, boolean unavailable) {
        StoreFaults withOutage() {
            return new StoreFaults(refusesLeader, refusals, true);
        }

        StoreFaults withRefusalToggled() {
            return new StoreFaults(!refusesLeader, refusals + (refusesLeader ? 0 : 1), unavailable);
        }
    }

    static MonotonicTime timeOf(int tick) {
        return new MonotonicTime(Duration.ofSeconds((long) tick * TICK_S).toNanos());
    }

    MonotonicTime now() {
        return timeOf(tick);
    }

    int second() {
        return tick * TICK_S;
    }

    Node node(int index) {
        return nodes.get(index);
    }

    boolean isCancelled() {
        return cancelledAt != NEVER;
    }

    boolean storeServes(int node) {
        return !faults.unavailable() && !(node == 0 && faults.refusesLeader());
    }

    CancellationModel afterTick() {
        return new CancellationModel(
                tick + 1,
                nodes,
                messages,
                leaderLease,
                cancelledAt,
                worker.at((tick + 1) * TICK_S),
                faults);
    }

    CancellationModel cancelledNow() {
        return new CancellationModel(tick, nodes, messages, leaderLease, second(), worker, faults);
    }

    CancellationModel with(int index, Node node) {
        List<Node> changed = new ArrayList<>(nodes);
        changed.set(index, node);
        return new CancellationModel(
                tick, changed, messages, leaderLease, cancelledAt, worker, faults);
    }

    CancellationModel with(Set<Message> inFlight) {
        return new CancellationModel(
                tick, nodes, inFlight, leaderLease, cancelledAt, worker, faults);
    }

    CancellationModel with(LeaderLease lease) {
        return new CancellationModel(tick, nodes, messages, lease, cancelledAt, worker, faults);
    }

    CancellationModel with(Worker changed) {
        return new CancellationModel(
                tick, nodes, messages, leaderLease, cancelledAt, changed, faults);
    }

    CancellationModel with(StoreFaults changed) {
        return new CancellationModel(
                tick, nodes, messages, leaderLease, cancelledAt, worker, changed);
    }
}
