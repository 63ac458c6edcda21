package org.meadowhollow.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverPreconditions.Precondition;
import org.meadowhollow.coordination.leadership.ModelCluster.Message;
import org.meadowhollow.coordination.leadership.ModelCluster.Node;
import org.meadowhollow.coordination.leadership.ModelStore.Decision;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * Model checking of invariant 1 of {@link LeadershipSafety}: breadth-first search, up to a bound,
 * over all states of three nodes that run {@link LeadershipStateMachine} and {@link
 * FailoverPreconditions} against one key-value store. Requests are answered, lost or executed late,
 * replies arrive late, leases expire, and a leader hands over. A decision is a transaction. The
 * election of a new leader is announced only to the first node, at any later time; the other nodes
 * receive no announcement.
 *
 * <p>Checked in every state: at most one node may decide; no fencing token is given out twice; no
 * decision of a former leader is committed after one of its successor; every decision is made on a
 * replica that covers what the predecessor decided.
 */
class LeadershipModelTest {
    private static final int NODES = 3;
    private static final int MAX_TICKS = 2;
    private static final int MAX_FAULTS = 1;
    private static final int MAX_STATES = 400_000;
    private static final long FIRST_LEASE = 1;

    /** A safeguard that a test removes to verify that an invariant is violated without it. */
    enum RemovedSafeguard {
        NOTHING,
        /** Decisions are not conditional on the leader record. */
        LEADER_KEY_REVISION_OF_DECISIONS,
        /** Elections are not conditional on the token counter. */
        COUNTER_REVISION_OF_CLAIMS,
        /** The replica need not cover the leader record. */
        REPLICA_COVERS_LEADER_KEY,
        /** A node that holds the leader record may decide even after its lease has expired. */
        LEASE_CHECK
    }

    /** A request that its node considers failed, and that the store may still execute later. */
    private record AbandonedRequest(Object content) {}

    private final List<LeadershipStateMachine> stateMachines = new ArrayList<>();
    private RemovedSafeguard removed = RemovedSafeguard.NOTHING;
    private int exploredStates;

    LeadershipModelTest() {
        for (int node = 0; node < NODES; node++) {
            stateMachines.add(new LeadershipStateMachine(nameOf(node)));
        }
    }

    private static String nameOf(int node) {
        return "n" + node;
    }

    @Test
    void noReachableStateViolatesAnInvariant() {
        assertNull(explore(), "after " + exploredStates + " states");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void removingASafeguardViolatesAnInvariant(RemovedSafeguard safeguard) {
        removed = safeguard;
        assertNotNull(explore(), "after " + exploredStates + " states");
    }

    // ---- search ----

    /** Returns the first violation in breadth-first order, or null. */
    private String explore() {
        Set<ModelCluster> seen = new HashSet<>();
        ArrayDeque<ModelCluster> queue = new ArrayDeque<>();
        queue.add(initialState());
        while (!queue.isEmpty() && exploredStates < MAX_STATES) {
            ModelCluster state = queue.poll();
            exploredStates++;
            String[] violation = {null};
            forEachNextState(
                    state,
                    nextState -> {
                        violation[0] = violation[0] == null ? nextState.violation() : violation[0];
                        if (seen.add(nextState)) {
                            queue.add(nextState);
                        }
                    });
            if (violation[0] != null) {
                return violation[0];
            }
        }
        return null;
    }

    /** The first node has just been elected, the others are about to read the leader record. */
    private ModelCluster initialState() {
        List<Node> nodes = new ArrayList<>();
        Set<Message> messages = new HashSet<>();
        for (int node = 0; node < NODES; node++) {
            nodes.add(Node.INITIAL);
            if (node > 0) {
                messages.add(new Message(node, new LeadershipEffect.ReadLeaderKey(0, false)));
            }
        }
        MonotonicTime start = new MonotonicTime(0);
        ModelStore store =
                ModelStore.withLeader(
                        nameOf(0), FIRST_LEASE, start.plus(LeadershipSafety.LEASE_TTL));
        return applyEvent(
                new ModelCluster(store, nodes, messages, 0, MAX_FAULTS, true, Set.of(), null),
                0,
                new LeadershipEvent.LeaderKeyClaimCompleted(
                        0,
                        new FencingToken(1),
                        new LeaseId(FIRST_LEASE),
                        start,
                        new KeyValueStore.CommitResult(true, new Revision(1), List.of())));
    }

    private void forEachNextState(ModelCluster state, Consumer<ModelCluster> nextStates) {
        if (state.ticks() < MAX_TICKS) {
            nextStates.accept(checkInvariants(state.afterTick()));
        }
        state.store()
                .leases()
                .forEach(
                        (lease, expiry) -> {
                            if (!state.now().isBefore(expiry)) {
                                nextStates.accept(expireLease(state, lease));
                            }
                        });
        for (int node = 0; node < NODES; node++) {
            actAsLeader(state, node, nextStates);
        }
        for (Message message : state.messages()) {
            Set<Message> rest = new HashSet<>(state.messages());
            rest.remove(message);
            deliver(state, message, rest, nextStates);
        }
    }

    private ModelCluster expireLease(ModelCluster state, long lease) {
        return checkInvariants(state.with(state.store().withLeaseExpired(lease), state.messages()));
    }

    // ---- actions of a leader ----

    private void actAsLeader(ModelCluster state, int index, Consumer<ModelCluster> nextStates) {
        Node node = state.nodes().get(index);
        HeldLeadership held = node.state().heldLeadership();
        if (held == null) {
            return;
        }
        // The replica of a standby may be arbitrarily old; a leader catches up at some later time.
        if (held.leaderKeyRevision().isAfter(node.replicaRevision())) {
            nextStates.accept(checkInvariants(state.with(index, node.caughtUpWith(state.store()))));
        }
        if (state.mayHandOver()) {
            String successor = nameOf((index + 1) % NODES);
            nextStates.accept(
                    applyEvent(
                            state.withHandoverUsed(),
                            index,
                            new LeadershipEvent.ReleaseRequested(
                                    ReleaseReason.SHUTDOWN, successor)));
        }
        if (!node.hasDecided() && unmetPreconditions(state, node).isEmpty()) {
            nextStates.accept(decide(state, index));
        }
    }

    private Set<Precondition> unmetPreconditions(ModelCluster state, Node node) {
        Set<Precondition> unmet =
                FailoverPreconditions.findUnmet(
                        new FailoverPreconditions.Facts(
                                mayDecide(node, state.now()),
                                node.state().fencingToken(),
                                node.state().observedLeader().highestToken(),
                                node.state().heldLeadership().leaderKeyRevision(),
                                node.replicaRevision(),
                                true,
                                true,
                                true,
                                1,
                                1));
        if (removed == RemovedSafeguard.REPLICA_COVERS_LEADER_KEY) {
            unmet.remove(Precondition.RECORDS_COVER_LEADER_KEY);
        }
        return unmet;
    }

    private boolean mayDecide(Node node, MonotonicTime now) {
        return removed == RemovedSafeguard.LEASE_CHECK
                ? node.state().heldLeadership() != null
                : LeadershipSafety.canDecide(node.state(), now);
    }

    private ModelCluster decide(ModelCluster state, int index) {
        Node node = state.nodes().get(index);
        Decision decision =
                new Decision(
                        node.state().fencingToken(),
                        node.state().heldLeadership().leaderKeyRevision(),
                        node.knownDecisions());
        Set<Message> messages = new HashSet<>(state.messages());
        messages.add(new Message(index, decision));
        return checkInvariants(state.with(messages).with(index, node.decided()));
    }

    // ---- messages ----

    private void deliver(
            ModelCluster state,
            Message message,
            Set<Message> rest,
            Consumer<ModelCluster> nextStates) {
        int node = message.node();
        if (message.content() instanceof LeadershipEvent event) {
            nextStates.accept(applyEvent(checkInvariants(state.with(rest)), node, event));
            return;
        }
        boolean abandoned = message.content() instanceof AbandonedRequest;
        Object request =
                message.content() instanceof AbandonedRequest abandonedRequest
                        ? abandonedRequest.content()
                        : message.content();
        ModelStore.Executed executed =
                state.store().execute(request, nameOf(node), state.now(), removed);
        if (message.content() instanceof LeadershipEffect.WatchLeaderKey
                && executed.reply() == null) {
            return;
        }
        ModelCluster after = checkInvariants(state.with(executed.after(), rest));
        if (abandoned || request instanceof Decision) {
            nextStates.accept(after);
            return;
        }
        nextStates.accept(applyEvent(after, node, executed.reply()));
        if (mattersWithoutReply(request) && state.faultsLeft() > 0) {
            delayReply(state, executed, node, rest, nextStates);
            loseRequest(state, request, node, rest, nextStates);
        }
    }

    /** Whether it matters that a request is executed although the node receives no reply. */
    private static boolean mattersWithoutReply(Object request) {
        return request instanceof LeadershipEffect.ClaimLeaderKey
                || request instanceof LeadershipEffect.RenewLease
                || request instanceof LeadershipEffect.ReleaseLeaderKey;
    }

    private void delayReply(
            ModelCluster state,
            ModelStore.Executed executed,
            int node,
            Set<Message> rest,
            Consumer<ModelCluster> nextStates) {
        Set<Message> messages = new HashSet<>(rest);
        messages.add(new Message(node, executed.reply()));
        nextStates.accept(checkInvariants(state.with(executed.after(), messages)).withFaultUsed());
    }

    /** The node considers the request failed, and the store executes it later or never. */
    private void loseRequest(
            ModelCluster state,
            Object request,
            int node,
            Set<Message> rest,
            Consumer<ModelCluster> nextStates) {
        Set<Message> messages = new HashSet<>(rest);
        messages.add(new Message(node, new AbandonedRequest(request)));
        nextStates.accept(
                applyEvent(checkInvariants(state.with(messages)), node, eventWithoutReply(request))
                        .withFaultUsed());
    }

    private static LeadershipEvent eventWithoutReply(Object request) {
        if (request instanceof LeadershipEffect.ClaimLeaderKey claim) {
            return new LeadershipEvent.LeaderKeyClaimCompleted(
                    claim.epoch(), claim.fencingToken(), claim.lease(), claim.sentAt(), null);
        }
        if (request instanceof LeadershipEffect.RenewLease renewal) {
            return new LeadershipEvent.RenewalCompleted(
                    renewal.epoch(), renewal.sentAt(), LeadershipEvent.RenewalOutcome.UNKNOWN);
        }
        LeadershipEffect.ReleaseLeaderKey release = (LeadershipEffect.ReleaseLeaderKey) request;
        return new LeadershipEvent.ReleaseCompleted(
                release.epoch(),
                release.lease(),
                release.reason(),
                release.preferredSuccessor(),
                null,
                false);
    }

    // ---- steps of the state machine ----

    private ModelCluster applyEvent(ModelCluster state, int index, LeadershipEvent event) {
        Node node = state.nodes().get(index);
        LeadershipTransition transition =
                stateMachines.get(index).apply(node.state(), event, state.now());
        ModelCluster next = state;
        for (LeadershipEffect effect : transition.effects()) {
            next = perform(next, index, effect);
        }
        return checkInvariants(next.with(index, node.with(transition.next())));
    }

    private static ModelCluster perform(ModelCluster state, int index, LeadershipEffect effect) {
        Set<Message> messages = new HashSet<>(state.messages());
        if (effect instanceof LeadershipEffect.NotifyElected elected) {
            if (index != 0) {
                messages.add(
                        new Message(
                                0,
                                new LeadershipEvent.TokenObserved(
                                        elected.fencingToken(), nameOf(index))));
            }
            return state.with(messages).withElection(elected.fencingToken().value());
        }
        if (effect instanceof LeadershipEffect.ScheduleRenewalCheck check) {
            messages.add(new Message(index, new LeadershipEvent.RenewalTimerFired(check.epoch())));
        } else if (needsReply(effect)) {
            messages.add(new Message(index, effect));
        }
        return state.with(messages);
    }

    private static boolean needsReply(LeadershipEffect effect) {
        return !(effect instanceof LeadershipEffect.Notification
                || effect instanceof LeadershipEffect.RevokeOwnLease);
    }

    // ---- invariants ----

    /** Returns the state, with a description of the violation if it violates an invariant. */
    private ModelCluster checkInvariants(ModelCluster state) {
        String violation = findViolationInDecisions(state.store().decisions());
        if (countDeciding(state) > 1) {
            violation = "two nodes may decide at once";
        }
        return violation == null ? state : state.withViolation(violation);
    }

    private long countDeciding(ModelCluster state) {
        return state.nodes().stream().filter(node -> mayDecide(node, state.now())).count();
    }

    private static String findViolationInDecisions(List<Decision> decisions) {
        String violation = null;
        for (int later = 0; later < decisions.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                FencingToken tokenBefore = decisions.get(earlier).fencingToken();
                FencingToken token = decisions.get(later).fencingToken();
                if (tokenBefore.isAfter(token)) {
                    violation = "a former leader's decision was committed after its successor's";
                } else if (!tokenBefore.equals(token)
                        && decisions.get(later).knownDecisions() <= earlier) {
                    violation = "a decision was made on a replica older than the leader record";
                }
            }
        }
        return violation;
    }
}
