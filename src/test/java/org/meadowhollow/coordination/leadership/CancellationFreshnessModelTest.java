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
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/**
 * All that can happen, up to a bound, to a cancellation, a worker, a leader and its successor,
 * which run {@link LeadershipStateMachine}: the state service refuses the leader alone, several
 * times, and is then out for all and stays so; looks and renewals are executed and answered at any
 * later time, or lost; the worker reports to whom it likes. What must hold: the task of a cancelled
 * job is gone in time, and a successor may count on an old leader's silence after that time. The
 * times are shorter than any deployment's, so that all worlds can be gone through.
 */
class CancellationFreshnessModelTest {
    private static final int TICK_S = 2;
    private static final int CANCEL_S = 14;
    private static final int LEASE_S = 6;

    /** As {@link Leadership} counts it, with a margin of one second. */
    private static final Duration ANSWER_FOR = Duration.ofSeconds(CANCEL_S - LEASE_S - 1);

    private static final int MOST_TICKS = 8;
    private static final int MOST_REFUSALS = 1;

    /** The nearest worlds that are looked at; what is broken in any variant is found far below. */
    private static final int MOST_WORLDS = 400_000;

    /** What is taken away to see that it is needed; all of it is how the sources were before. */
    private enum RemovedSafeguard {
        NOTHING,
        /** A renewal counts as knowledge. */
        KNOWLEDGE,
        /** A new leader counts from its key. */
        LOADING,
        /** An answer counts from when it came. */
        SENDING,
        /** Whoever reads may answer, leading or not. */
        LEASE
    }

    /**
     * What there is of a successor; where it only takes the key, nobody cancels, and renewals are
     * lost one by one.
     */
    private enum Successor {
        NONE,
        TAKES_THE_KEY,
        ANSWERS
    }

    private record Node(LeadershipState state, boolean knows) {
        Node with(LeadershipState next) {
            return new Node(next, knows);
        }
    }

    /**
     * On its way, at most one of a kind for each node.
     *
     * @param renewal or else a look at what has changed
     * @param shows of a look, null until it was executed; then whether the cancellation was there
     */
    private record Message(int node, boolean renewal, int sentAt, Boolean shows) {}

    /**
     * @param keyLease when the old leader's lease ends at the state service
     * @param successorAt when the new leader took the key, -1 before
     * @param cancelledAt when the cancellation was confirmed, -1 before
     * @param workerLease when the worker's lease ends
     * @param shown whether the worker has shown the new leader's term
     */
    private record ModelState(
            int tick,
            Node old,
            Node next,
            Set<Message> messages,
            int keyLease,
            int successorAt,
            int cancelledAt,
            int workerLease,
            boolean shown,
            boolean gone,
            boolean refused,
            int refusals,
            boolean out) {
        MonotonicTime now() {
            return at(tick);
        }

        ModelState with(int node, Node now, Set<Message> rest) {
            return new ModelState(
                    tick,
                    node == 0 ? now : old,
                    node == 1 ? now : next,
                    rest,
                    keyLease,
                    successorAt,
                    cancelledAt,
                    workerLease,
                    shown,
                    gone,
                    refused,
                    refusals,
                    out);
        }

        Node node(int node) {
            return node == 0 ? old : next;
        }

        boolean served(int node) {
            return !out && !(node == 0 && refused);
        }
    }

    private RemovedSafeguard removedSafeguard = RemovedSafeguard.NOTHING;
    private Successor successor;
    private final List<LeadershipStateMachine> steps =
            List.of(new LeadershipStateMachine("n0"), new LeadershipStateMachine("n1"));
    private int worlds;
    private int cancelledWhileRefused;

    private static MonotonicTime at(int tick) {
        return new MonotonicTime(Duration.ofSeconds((long) tick * TICK_S).toNanos());
    }

    private Node elected(int node, Node before, int tick) {
        Node leads =
                before.with(
                        steps.get(node)
                                .apply(
                                        before.state(),
                                        new LeadershipEvent.LeaderKeyClaimCompleted(
                                                0,
                                                new FencingToken(node + 1),
                                                new LeaseId(node + 1),
                                                at(tick),
                                                new KeyValueStore.CommitResult(
                                                        true, new Revision(node + 1), List.of())),
                                        at(tick))
                                .next());
        return removedSafeguard == RemovedSafeguard.LOADING
                        || removedSafeguard == RemovedSafeguard.KNOWLEDGE
                ? knowing(node, leads, at(tick))
                : leads;
    }

    private Node knowing(int node, Node leads, MonotonicTime upTo) {
        return leads.with(
                steps.get(node)
                        .apply(
                                leads.state(),
                                new LeadershipEvent.FreshnessAdvanced(
                                        leads.state().fencingToken(), upTo),
                                upTo)
                        .next());
    }

    /** The worlds that come next. */
    private void successors(ModelState w, Consumer<ModelState> to) {
        if (w.tick() < MOST_TICKS) {
            // A worker whose lease is over kills its tasks.
            to.accept(
                    new ModelState(
                            w.tick() + 1,
                            w.old(),
                            w.next(),
                            w.messages(),
                            w.keyLease(),
                            w.successorAt(),
                            w.cancelledAt(),
                            w.workerLease(),
                            w.shown(),
                            w.gone() || w.workerLease() <= (w.tick() + 1) * TICK_S,
                            w.refused(),
                            w.refusals(),
                            w.out()));
        }
        boolean troubled = successor != Successor.TAKES_THE_KEY;
        if (!w.out() && troubled) {
            to.accept(
                    new ModelState(
                            w.tick(),
                            w.old(),
                            w.next(),
                            w.messages(),
                            w.keyLease(),
                            w.successorAt(),
                            w.cancelledAt(),
                            w.workerLease(),
                            w.shown(),
                            w.gone(),
                            w.refused(),
                            w.refusals(),
                            true));
            if (w.refused() || w.refusals() < MOST_REFUSALS) {
                to.accept(
                        new ModelState(
                                w.tick(),
                                w.old(),
                                w.next(),
                                w.messages(),
                                w.keyLease(),
                                w.successorAt(),
                                w.cancelledAt(),
                                w.workerLease(),
                                w.shown(),
                                w.gone(),
                                !w.refused(),
                                w.refusals() + (w.refused() ? 0 : 1),
                                false));
            }
            if (w.cancelledAt() < 0) {
                cancelledWhileRefused += w.refused() ? 1 : 0;
                to.accept(
                        new ModelState(
                                w.tick(),
                                w.old(),
                                w.next(),
                                w.messages(),
                                w.keyLease(),
                                w.successorAt(),
                                w.tick() * TICK_S,
                                w.workerLease(),
                                w.shown(),
                                w.gone(),
                                w.refused(),
                                w.refusals(),
                                false));
            }
        }
        if (!w.out()) {
            if (successor != Successor.NONE
                    && w.successorAt() < 0
                    && w.keyLease() <= w.tick() * TICK_S) {
                to.accept(
                        new ModelState(
                                w.tick(),
                                w.old(),
                                elected(1, w.next(), w.tick()),
                                w.messages(),
                                w.keyLease(),
                                w.tick() * TICK_S,
                                w.cancelledAt(),
                                w.workerLease(),
                                w.shown(),
                                w.gone(),
                                w.refused(),
                                w.refusals(),
                                false));
            }
        }
        for (int node = 0; node < 2; node++) {
            if (w.node(node).state().heldLeadership() != null
                    && (node == 0 || successor == Successor.ANSWERS)) {
                leads(w, node, to);
            }
        }
        for (Message message : w.messages()) {
            Set<Message> rest = new HashSet<>(w.messages());
            rest.remove(message);
            travels(w, message, rest, to);
        }
    }

    /** What a leader may do now: look, renew, and answer a report of the worker. */
    private void leads(ModelState w, int node, Consumer<ModelState> to) {
        Node leader = w.node(node);
        for (boolean renewal : node == 0 ? new boolean[] {true, false} : new boolean[] {false}) {
            if (w.messages().stream()
                    .noneMatch(each -> each.node() == node && each.renewal() == renewal)) {
                Set<Message> more = new HashSet<>(w.messages());
                more.add(new Message(node, renewal, w.tick(), null));
                to.accept(w.with(node, leader, more));
            }
        }
        // The successor renews at each turn; it is the old leader's renewals that are looked at.
        Node fresh = node == 0 ? leader : leader.with(renewed(node, leader, w.now()));
        if (LeadershipStateMachine.canRenewWorkerLeases(ANSWER_FOR, fresh.state(), w.now())
                && !w.gone()
                && !(node == 0 && w.shown())) {
            to.accept(
                    new ModelState(
                            w.tick(),
                            w.old(),
                            w.next(),
                            w.messages(),
                            w.keyLease(),
                            w.successorAt(),
                            w.cancelledAt(),
                            w.tick() * TICK_S + LEASE_S,
                            w.shown() || node == 1,
                            w.gone() || leader.knows(),
                            w.refused(),
                            w.refusals(),
                            w.out()));
        }
    }

    private LeadershipState renewed(int node, Node leader, MonotonicTime sentAt) {
        return steps.get(node)
                .apply(
                        leader.state(),
                        new LeadershipEvent.RenewalCompleted(
                                0, sentAt, LeadershipEvent.RenewalOutcome.RENEWED),
                        sentAt)
                .next();
    }

    private void travels(
            ModelState w, Message message, Set<Message> rest, Consumer<ModelState> to) {
        int node = message.node();
        Node leader = w.node(node);
        if (message.renewal()) {
            to.accept(w.with(node, leader, rest));
            if (w.served(node) && w.successorAt() < 0 && w.keyLease() > w.tick() * TICK_S) {
                Node held = leader.with(renewed(node, leader, at(message.sentAt())));
                Node next =
                        removedSafeguard == RemovedSafeguard.KNOWLEDGE
                                ? knowing(node, held, at(message.sentAt()))
                                : held;
                to.accept(
                        new ModelState(
                                w.tick(),
                                next,
                                w.next(),
                                rest,
                                (int)
                                        (w.tick() * TICK_S
                                                + LeadershipStateMachine.LEASE_TTL.toSeconds()),
                                w.successorAt(),
                                w.cancelledAt(),
                                w.workerLease(),
                                w.shown(),
                                w.gone(),
                                w.refused(),
                                w.refusals(),
                                w.out()));
            }
        } else if (message.shows() == null) {
            to.accept(w.with(node, leader, rest));
            if (w.served(node)) {
                Set<Message> executed = new HashSet<>(rest);
                executed.add(new Message(node, false, message.sentAt(), w.cancelledAt() >= 0));
                to.accept(w.with(node, leader, executed));
            }
        } else {
            Node told = new Node(leader.state(), leader.knows() || message.shows());
            Node knows =
                    knowing(
                            node,
                            told,
                            removedSafeguard == RemovedSafeguard.SENDING
                                    ? w.now()
                                    : at(message.sentAt()));
            to.accept(
                    w.with(
                            node,
                            removedSafeguard == RemovedSafeguard.LEASE
                                    ? knows.with(renewed(node, knows, w.now()))
                                    : knows,
                            rest));
        }
    }

    /** A lease that lasts too long is broken at once, for the worker may hear nothing more. */
    private static String broken(ModelState w) {
        return w.gone()
                ? null
                : w.cancelledAt() >= 0 && w.workerLease() > w.cancelledAt() + CANCEL_S
                        ? "a cancelled job's task may be there too late"
                        : w.successorAt() >= 0
                                        && !w.shown()
                                        && w.workerLease() > w.successorAt() + CANCEL_S
                                ? "an old leader keeps a task that its successor counts as gone"
                                : null;
    }

    private String explore() {
        for (Successor each : Successor.values()) {
            successor = each;
            String found =
                    exploreFrom(
                            new ModelState(
                                    0,
                                    elected(0, new Node(LeadershipState.INITIAL, false), 0),
                                    new Node(LeadershipState.INITIAL, false),
                                    Set.of(),
                                    (int) LeadershipStateMachine.LEASE_TTL.toSeconds(),
                                    -1,
                                    -1,
                                    LEASE_S,
                                    false,
                                    false,
                                    false,
                                    0,
                                    false));
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private String exploreFrom(ModelState first) {
        Set<ModelState> seen = new HashSet<>(Set.of(first));
        ArrayDeque<ModelState> next = new ArrayDeque<>(seen);
        String[] found = {null};
        for (int count = 0; !next.isEmpty() && found[0] == null && count < MOST_WORLDS; count++) {
            worlds++;
            successors(
                    next.poll(),
                    to -> {
                        found[0] = found[0] == null ? broken(to) : found[0];
                        // Where the task is gone nothing can break any more.
                        if (!to.gone() && seen.add(to)) {
                            next.add(to);
                        }
                    });
        }
        return found[0];
    }

    @Test
    void noAnswerKeepsWhatIsCancelled() {
        assertNull(explore(), "after " + worlds + " worlds");
        assertTrue(cancelledWhileRefused > 0 && worlds > 100_000, "all of " + worlds + " worlds");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void eachClauseIsNeeded(RemovedSafeguard clause) {
        removedSafeguard = clause;
        assertNotNull(explore(), "after " + worlds + " worlds");
    }
}
