package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;

/**
 * A state of the whole cluster of {@link LeadershipModelTest}, immutable: the store, the nodes, and
 * the messages in flight between them.
 *
 * @param ticks the number of times that the clock has advanced by {@link #TICK}
 * @param faultsLeft the number of requests or replies that may still be late or lost
 * @param mayHandOver whether a leader may still hand over
 * @param tokens the fencing tokens of all elections so far
 * @param violation a description of the invariant that is violated, or null
 */
record ModelCluster(
        ModelStore store,
        List<Node> nodes,
        Set<Message> messages,
        int ticks,
        int faultsLeft,
        boolean mayHandOver,
        Set<Long> tokens,
        String violation) {
    static final Duration TICK = Duration.ofSeconds(3);

    /**
     * A node with its replica of the records.
     *
     * @param replicaRevision the revision that the replica covers
     * @param knownDecisions the number of committed decisions that the replica contains
     * @param hasDecided whether the leadership of this node has made its decision
     */
    record Node(
            LeadershipState state,
            Revision replicaRevision,
            int knownDecisions,
            boolean hasDecided) {
        static final Node INITIAL = new Node(LeadershipState.INITIAL, Revision.ABSENT, 0, false);

        Node with(LeadershipState next) {
            return new Node(
                    next,
                    replicaRevision,
                    knownDecisions,
                    hasDecided && next.heldLeadership() != null);
        }

        Node caughtUpWith(ModelStore store) {
            return new Node(
                    state, new Revision(store.revision()), store.decisions().size(), hasDecided);
        }

        Node decided() {
            return new Node(state, replicaRevision, knownDecisions, true);
        }
    }

    /**
     * A message in flight: to the store if the content is an effect or a decision, to the node if
     * it is an event.
     */
    record Message(int node, Object content) {}

    MonotonicTime now() {
        return new MonotonicTime(TICK.toNanos() * ticks);
    }

    ModelCluster with(ModelStore changed, Set<Message> inFlight) {
        return new ModelCluster(
                changed, nodes, inFlight, ticks, faultsLeft, mayHandOver, tokens, violation);
    }

    ModelCluster with(Set<Message> inFlight) {
        return with(store, inFlight);
    }

    ModelCluster with(int index, Node node) {
        List<Node> changed = new ArrayList<>(nodes);
        changed.set(index, node);
        return new ModelCluster(
                store, changed, messages, ticks, faultsLeft, mayHandOver, tokens, violation);
    }

    ModelCluster withElection(long token) {
        if (tokens.contains(token)) {
            return withViolation("fencing token " + token + " was given out twice");
        }
        Set<Long> all = new HashSet<>(tokens);
        all.add(token);
        return new ModelCluster(
                store, nodes, messages, ticks, faultsLeft, mayHandOver, all, violation);
    }

    ModelCluster withViolation(String description) {
        return new ModelCluster(
                store, nodes, messages, ticks, faultsLeft, mayHandOver, tokens, description);
    }

    ModelCluster afterTick() {
        return new ModelCluster(
                store, nodes, messages, ticks + 1, faultsLeft, mayHandOver, tokens, violation);
    }

    ModelCluster withFaultUsed() {
        return new ModelCluster(
                store, nodes, messages, ticks, faultsLeft - 1, mayHandOver, tokens, violation);
    }

    ModelCluster withHandoverUsed() {
        return new ModelCluster(
                store, nodes, messages, ticks, faultsLeft, false, tokens, violation);
    }
}
