package org.meadowhollow.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.meadowhollow.coordination.leadership.CancellationModel.LeaderLease;
import org.meadowhollow.coordination.leadership.CancellationModel.Message;
import org.meadowhollow.coordination.leadership.CancellationModel.Node;
import org.meadowhollow.coordination.leadership.CancellationModel.StoreFaults;
import org.meadowhollow.coordination.leadership.CancellationModel.Worker;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * Model checking of invariants 2 and 3 of {@link LeadershipSafety}: breadth-first search, up to a
 * bound, over all states of a cancellation, a worker, a leader and its successor; the latter two
 * run {@link LeadershipStateMachine}. The key-value store refuses requests of the first leader
 * only, up to {@link #MAX_REFUSALS} times, and may become unavailable to all nodes for good. Reads
 * and renewals are executed and answered at any later time, or lost. The worker sends each
 * heartbeat to either node.
 *
 * <p>Checked in every state: the task of a cancelled job is gone within the cancellation bound; and
 * within the same time after a successor's election no worker keeps a task under the former leader.
 * All times are in seconds and shorter than in any deployment, so that the search is complete.
 */
class CancellationFreshnessModelTest {
    private static final int FORMER_LEADER = 0;
    private static final int SUCCESSOR = 1;
    private static final int CANCELLATION_BOUND_S = 14;
    private static final int WORKER_LEASE_S = 6;

    private static final Duration RENEWAL_BOUND =
            LeadershipSafety.renewalBound(
                    Duration.ofSeconds(CANCELLATION_BOUND_S), Duration.ofSeconds(WORKER_LEASE_S));

    private static final int MAX_TICKS = 8;
    private static final int MAX_REFUSALS = 1;

    /**
     * The number of states that are explored, in breadth-first order. Without a safeguard, every
     * violation is found long before this limit.
     */
    private static final int MAX_STATES = 400_000;

    private static final int MIN_STATES = 100_000;

    /** A safeguard that a test removes to verify that an invariant is violated without it. */
    private enum RemovedSafeguard {
        NOTHING,
        /** A confirmed renewal advances the freshness as if all changes had been read. */
        FRESHNESS_ONLY_FROM_READS,
        /** A new leader is fresh from its election on, before it has loaded the records. */
        NO_FRESHNESS_BEFORE_LOADING,
        /**
         * Freshness counts from the arrival of a reply instead of from the sending of its request.
         */
        FRESHNESS_FROM_SEND_TIME,
        /** A node that reads may answer heartbeats even if its own lease is not renewed. */
        OWN_LEASE_CHECK
    }

    /** The behaviour of the successor. */
    private enum SuccessorBehaviour {
        NONE,
        /** It is elected and sends no messages; no faults and no cancellation happen. */
        ELECTED_ONLY,
        /** It is elected, reads, and answers heartbeats. */
        ANSWERS_HEARTBEATS
    }

    private final List<LeadershipStateMachine> stateMachines =
            List.of(new LeadershipStateMachine("n0"), new LeadershipStateMachine("n1"));
    private RemovedSafeguard removed = RemovedSafeguard.NOTHING;
    private SuccessorBehaviour successorBehaviour;
    private int exploredStates;
    private int cancellationsWhileRefused;

    @Test
    void noHeartbeatAnswerKeepsACancelledTaskForTooLong() {
        assertNull(explore(), "after " + exploredStates + " states");
        assertTrue(
                cancellationsWhileRefused > 0 && exploredStates > MIN_STATES,
                "too few states, or no cancellation while the store refused the leader, in "
                        + exploredStates
                        + " states");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void removingASafeguardViolatesAnInvariant(RemovedSafeguard safeguard) {
        removed = safeguard;
        assertNotNull(explore(), "after " + exploredStates + " states");
    }

    // ---- search ----

    /** Returns the first violation that is found, or null. */
    private String explore() {
        for (SuccessorBehaviour behaviour : SuccessorBehaviour.values()) {
            successorBehaviour = behaviour;
            String violation = exploreFrom(initialState());
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }

    private CancellationModel initialState() {
        Node idle = new Node(LeadershipState.INITIAL, false);
        return new CancellationModel(
                0,
                List.of(elected(FORMER_LEADER, idle, 0), idle),
                Set.of(),
                new LeaderLease((int) LeadershipSafety.LEASE_TTL.toSeconds(), LeaderLease.NEVER),
                CancellationModel.NEVER,
                new Worker(WORKER_LEASE_S, false, false),
                new StoreFaults(false, 0, false));
    }

    private String exploreFrom(CancellationModel initial) {
        Set<CancellationModel> seen = new HashSet<>(Set.of(initial));
        ArrayDeque<CancellationModel> queue = new ArrayDeque<>(seen);
        String[] violation = {null};
        for (int count = 0;
                !queue.isEmpty() && violation[0] == null && count < MAX_STATES;
                count++) {
            exploredStates++;
            forEachNextState(
                    queue.poll(),
                    nextState -> {
                        violation[0] =
                                violation[0] == null ? findViolation(nextState) : violation[0];
                        // Once the task is gone, no invariant can be violated.
                        if (!nextState.worker().taskGone() && seen.add(nextState)) {
                            queue.add(nextState);
                        }
                    });
        }
        return violation[0];
    }

    /**
     * Returns the invariant that a state violates, or null. A worker lease that ends too late is a
     * violation at once: the worker may receive no further answer, and then keeps the task until
     * the lease ends.
     */
    private static String findViolation(CancellationModel state) {
        Worker worker = state.worker();
        LeaderLease lease = state.leaderLease();
        if (worker.taskGone()) {
            return null;
        }
        if (state.isCancelled()
                && worker.leaseEndsAt() > state.cancelledAt() + CANCELLATION_BOUND_S) {
            return "the task of a cancelled job may run for too long";
        }
        if (lease.hasSuccessor()
                && !worker.showsSuccessorToken()
                && worker.leaseEndsAt() > lease.successorElectedAt() + CANCELLATION_BOUND_S) {
            return "a former leader keeps a task that its successor counts as gone";
        }
        return null;
    }

    private void forEachNextState(CancellationModel state, Consumer<CancellationModel> nextStates) {
        if (state.tick() < MAX_TICKS) {
            nextStates.accept(state.afterTick());
        }
        if (!state.faults().unavailable()) {
            if (successorBehaviour != SuccessorBehaviour.ELECTED_ONLY) {
                failStoreOrCancel(state, nextStates);
            }
            electSuccessor(state, nextStates);
        }
        for (int node : new int[] {FORMER_LEADER, SUCCESSOR}) {
            if (state.node(node).state().isLeader() && sendsMessages(node)) {
                actAsLeader(state, node, nextStates);
            }
        }
        for (Message message : state.messages()) {
            Set<Message> rest = new HashSet<>(state.messages());
            rest.remove(message);
            deliver(state, message, rest, nextStates);
        }
    }

    private boolean sendsMessages(int node) {
        return node == FORMER_LEADER || successorBehaviour == SuccessorBehaviour.ANSWERS_HEARTBEATS;
    }

    // ---- store, user and election ----

    private void failStoreOrCancel(
            CancellationModel state, Consumer<CancellationModel> nextStates) {
        StoreFaults faults = state.faults();
        nextStates.accept(state.with(faults.withOutage()));
        if (faults.refusesLeader() || faults.refusals() < MAX_REFUSALS) {
            nextStates.accept(state.with(faults.withRefusalToggled()));
        }
        if (!state.isCancelled()) {
            cancellationsWhileRefused += faults.refusesLeader() ? 1 : 0;
            nextStates.accept(state.cancelledNow());
        }
    }

    private void electSuccessor(CancellationModel state, Consumer<CancellationModel> nextStates) {
        LeaderLease lease = state.leaderLease();
        if (successorBehaviour != SuccessorBehaviour.NONE
                && !lease.hasSuccessor()
                && lease.endsAt() <= state.second()) {
            Node leader = elected(SUCCESSOR, state.node(SUCCESSOR), state.tick());
            nextStates.accept(
                    state.with(SUCCESSOR, leader).with(lease.withSuccessor(state.second())));
        }
    }

    // ---- leaders ----

    /**
     * Adds the states after a leader reads, renews its lease, or answers a heartbeat of the worker.
     */
    private void actAsLeader(
            CancellationModel state, int node, Consumer<CancellationModel> nextStates) {
        // The successor renews its lease at each tick without a message; only the renewals of the
        // former leader are modelled as messages.
        if (node == FORMER_LEADER) {
            sendUnlessInFlight(state, node, true, nextStates);
        }
        sendUnlessInFlight(state, node, false, nextStates);
        Node leader = state.node(node);
        LeadershipState renewed =
                node == FORMER_LEADER ? leader.state() : renew(node, leader, state.now());
        Worker worker = state.worker();
        boolean workerRejects = node == FORMER_LEADER && worker.showsSuccessorToken();
        if (LeadershipSafety.canRenewWorkerLeases(RENEWAL_BOUND, renewed, state.now())
                && !worker.taskGone()
                && !workerRejects) {
            nextStates.accept(
                    state.with(
                            new Worker(
                                    state.second() + WORKER_LEASE_S,
                                    worker.showsSuccessorToken() || node == SUCCESSOR,
                                    worker.taskGone() || leader.knowsCancellation())));
        }
    }

    private static void sendUnlessInFlight(
            CancellationModel state,
            int node,
            boolean renewal,
            Consumer<CancellationModel> nextStates) {
        boolean inFlight =
                state.messages().stream()
                        .anyMatch(each -> each.node() == node && each.isRenewal() == renewal);
        if (!inFlight) {
            Set<Message> messages = new HashSet<>(state.messages());
            messages.add(new Message(node, renewal, state.tick(), null));
            nextStates.accept(state.with(messages));
        }
    }

    private void deliver(
            CancellationModel state,
            Message message,
            Set<Message> rest,
            Consumer<CancellationModel> nextStates) {
        if (message.isRenewal()) {
            nextStates.accept(state.with(rest));
            executeRenewal(state, message, rest, nextStates);
        } else if (message.showsCancellation() == null) {
            nextStates.accept(state.with(rest));
            executeRead(state, message, rest, nextStates);
        } else {
            nextStates.accept(receiveReadReply(state, message, rest));
        }
    }

    private void executeRenewal(
            CancellationModel state,
            Message message,
            Set<Message> rest,
            Consumer<CancellationModel> nextStates) {
        int node = message.node();
        LeaderLease lease = state.leaderLease();
        if (!state.storeServes(node) || lease.hasSuccessor() || lease.endsAt() <= state.second()) {
            return;
        }
        MonotonicTime sentAt = CancellationModel.timeOf(message.sentAt());
        Node leader = state.node(node);
        Node renewed = leader.with(renew(node, leader, sentAt));
        Node next =
                removed == RemovedSafeguard.FRESHNESS_ONLY_FROM_READS
                        ? advanceFreshness(node, renewed, sentAt)
                        : renewed;
        int endsAt = (int) (state.second() + LeadershipSafety.LEASE_TTL.toSeconds());
        nextStates.accept(state.with(rest).with(FORMER_LEADER, next).with(lease.withEnd(endsAt)));
    }

    private static void executeRead(
            CancellationModel state,
            Message message,
            Set<Message> rest,
            Consumer<CancellationModel> nextStates) {
        if (state.storeServes(message.node())) {
            Set<Message> messages = new HashSet<>(rest);
            messages.add(new Message(message.node(), false, message.sentAt(), state.isCancelled()));
            nextStates.accept(state.with(messages));
        }
    }

    private CancellationModel receiveReadReply(
            CancellationModel state, Message message, Set<Message> rest) {
        int node = message.node();
        MonotonicTime freshAsOf =
                removed == RemovedSafeguard.FRESHNESS_FROM_SEND_TIME
                        ? state.now()
                        : CancellationModel.timeOf(message.sentAt());
        Node before = state.node(node);
        Node informed =
                new Node(before.state(), before.knowsCancellation() || message.showsCancellation());
        Node fresh = advanceFreshness(node, informed, freshAsOf);
        Node next =
                removed == RemovedSafeguard.OWN_LEASE_CHECK
                        ? fresh.with(renew(node, fresh, state.now()))
                        : fresh;
        return state.with(rest).with(node, next);
    }

    // ---- steps of the state machine ----

    private Node elected(int node, Node before, int tick) {
        MonotonicTime now = CancellationModel.timeOf(tick);
        Node leader =
                before.with(
                        apply(
                                node,
                                before,
                                new LeadershipEvent.LeaderKeyClaimCompleted(
                                        0,
                                        new FencingToken(node + 1),
                                        new LeaseId(node + 1),
                                        now,
                                        new KeyValueStore.CommitResult(
                                                true, new Revision(node + 1), List.of())),
                                now));
        return removed == RemovedSafeguard.NO_FRESHNESS_BEFORE_LOADING
                        || removed == RemovedSafeguard.FRESHNESS_ONLY_FROM_READS
                ? advanceFreshness(node, leader, now)
                : leader;
    }

    private Node advanceFreshness(int node, Node leader, MonotonicTime upTo) {
        FencingToken token = leader.state().fencingToken();
        return leader.with(
                apply(node, leader, new LeadershipEvent.FreshnessAdvanced(token, upTo), upTo));
    }

    private LeadershipState renew(int node, Node leader, MonotonicTime sentAt) {
        return apply(
                node,
                leader,
                new LeadershipEvent.RenewalCompleted(
                        0, sentAt, LeadershipEvent.RenewalOutcome.RENEWED),
                sentAt);
    }

    private LeadershipState apply(int node, Node leader, LeadershipEvent event, MonotonicTime now) {
        return stateMachines.get(node).apply(leader.state(), event, now).next();
    }
}
