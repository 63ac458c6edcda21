package org.meadowhollow.coordination.leadership;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.RecordCodec;

/**
 * All that can happen, up to a bound, to three nodes that run {@link LeadershipStateMachine} and
 * {@link FailoverPreconditions} against one state service: requests that are answered, lost, or
 * executed late, answers that come late, leases that run out, a leader that hands over,
 * announcements in any order. A decision is a transaction, and an image is what a node has seen of
 * those before. Announcements go to the first node alone, at any time; the others hear of none.
 */
class LeadershipModelTest {
    private static final int NODES = 3;
    private static final Duration TICK = Duration.ofSeconds(3);

    /** What is taken away to see that it is needed. */
    private enum RemovedSafeguard {
        NOTHING,
        DECISIONS_GUARD,
        CLAIMS_COUNTER_GUARD,
        IMAGE_CHECK,
        LEASE_CHECK
    }

    /** A leader's decision on its way; {@code seen} counts the decisions that it knew of. */
    private record PendingDecision(FencingToken term, Revision guard, int seen) {}

    /** A node; its image stands at a revision and holds the first {@code seen} decisions. */
    private record Node(LeadershipState state, Revision imageAt, int seen, boolean decided) {
        Node with(LeadershipState next) {
            return new Node(next, imageAt, seen, decided && next.heldLeadership() != null);
        }
    }

    /**
     * The state service: the leader's key (version 0 if there is none), the counter, leases, and
     * who decided what.
     */
    private record Store(
            long revision,
            String holder,
            long term,
            long keyAt,
            long keyLease,
            long counter,
            long counterAt,
            String heir,
            Map<Long, MonotonicTime> leases,
            long nextLease,
            List<PendingDecision> decisions) {}

    /**
     * On its way: to the state service if it is an effect or a decision, to the node if it is an
     * event.
     */
    private record Message(int node, Object what) {}

    /**
     * @param trouble how many more requests or answers may be late or lost
     */
    private record ModelState(
            Store store,
            List<Node> nodes,
            Set<Message> messages,
            int ticks,
            int trouble,
            boolean handOver,
            Set<Long> terms,
            String broken) {
        MonotonicTime now() {
            return new MonotonicTime(TICK.toNanos() * ticks);
        }
    }

    private static final int MOST_TICKS = 2;
    private static final int MOST_STATES = 400_000;

    private RemovedSafeguard removedSafeguard = RemovedSafeguard.NOTHING;
    private final List<LeadershipStateMachine> steps = new ArrayList<>();
    private int states;

    LeadershipModelTest() {
        for (int node = 0; node < NODES; node++) {
            steps.add(new LeadershipStateMachine("n" + node));
        }
    }

    /** The first node has just taken the key, the others are about to look. */
    private ModelState first(int trouble) {
        List<Node> nodes = new ArrayList<>();
        Set<Message> messages = new HashSet<>();
        for (int node = 0; node < NODES; node++) {
            nodes.add(new Node(LeadershipState.INITIAL, Revision.ABSENT, 0, false));
            if (node > 0) {
                messages.add(new Message(node, new LeadershipEffect.ReadLeaderKey(0, false)));
            }
        }
        ModelState modelState =
                new ModelState(
                        new Store(
                                1,
                                "n0",
                                1,
                                1,
                                1,
                                1,
                                1,
                                null,
                                Map.of(
                                        1L,
                                        new MonotonicTime(0)
                                                .plus(LeadershipStateMachine.LEASE_TTL)),
                                2,
                                List.of()),
                        nodes,
                        messages,
                        0,
                        trouble,
                        true,
                        Set.of(),
                        null);
        return stepped(
                modelState,
                0,
                new LeadershipEvent.LeaderKeyClaimCompleted(
                        0,
                        new FencingToken(1),
                        new LeaseId(1),
                        new MonotonicTime(0),
                        new KeyValueStore.CommitResult(true, new Revision(1), List.of())));
    }

    /** Goes through all worlds that can come, the nearest first; the first broken one, or null. */
    private String explore(int mostTicks, int trouble, int mostStates) {
        Set<ModelState> seen = new HashSet<>();
        ArrayDeque<ModelState> next = new ArrayDeque<>();
        next.add(first(trouble));
        while (!next.isEmpty() && states < mostStates) {
            ModelState modelState = next.poll();
            states++;
            String[] broken = {null};
            successors(
                    modelState,
                    mostTicks,
                    to -> {
                        broken[0] = broken[0] == null ? to.broken() : broken[0];
                        if (seen.add(to)) {
                            next.add(to);
                        }
                    });
            if (broken[0] != null) {
                return broken[0];
            }
        }
        return null;
    }

    @Test
    void nothingThatCanHappenBreaksIt() {
        assertNull(explore(MOST_TICKS, 1, MOST_STATES), "after " + states + " worlds");
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void eachClauseIsNeeded(RemovedSafeguard clause) {
        removedSafeguard = clause;
        assertNotNull(explore(MOST_TICKS, 1, MOST_STATES), "after " + states + " worlds");
    }

    private void successors(ModelState modelState, int mostTicks, Consumer<ModelState> to) {
        if (modelState.ticks() < mostTicks) {
            to.accept(
                    checked(
                            new ModelState(
                                    modelState.store(),
                                    modelState.nodes(),
                                    modelState.messages(),
                                    modelState.ticks() + 1,
                                    modelState.trouble(),
                                    modelState.handOver(),
                                    modelState.terms(),
                                    null)));
        }
        modelState
                .store()
                .leases()
                .forEach(
                        (lease, end) -> {
                            if (!modelState.now().isBefore(end)) {
                                to.accept(
                                        with(
                                                modelState,
                                                ended(modelState.store(), lease),
                                                modelState.messages()));
                            }
                        });
        for (int node = 0; node < NODES; node++) {
            own(modelState, node, to);
        }
        for (Message message : modelState.messages()) {
            Set<Message> rest = new HashSet<>(modelState.messages());
            rest.remove(message);
            deliver(modelState, message, rest, to);
        }
    }

    /** What a node does by itself: follow, hand over, decide. */
    private void own(ModelState modelState, int at, Consumer<ModelState> to) {
        Node node = modelState.nodes().get(at);
        Store store = modelState.store();
        LeadershipState.HeldLeadership held = node.state().heldLeadership();
        if (held == null) {
            return;
        }
        // What a standby follows may be as old as can be; a leader catches up sooner or later.
        if (held.leaderKeyRevision().isAfter(node.imageAt())) {
            to.accept(
                    replaced(
                            modelState,
                            at,
                            new Node(
                                    node.state(),
                                    new Revision(store.revision()),
                                    store.decisions().size(),
                                    node.decided())));
        }
        if (modelState.handOver()) {
            to.accept(
                    stepped(
                            new ModelState(
                                    store,
                                    modelState.nodes(),
                                    modelState.messages(),
                                    modelState.ticks(),
                                    modelState.trouble(),
                                    false,
                                    modelState.terms(),
                                    null),
                            at,
                            new LeadershipEvent.ReleaseRequested(false, "n" + (at + 1) % NODES)));
        }
        boolean holds =
                removedSafeguard == RemovedSafeguard.LEASE_CHECK
                        || LeadershipStateMachine.canDecide(node.state(), modelState.now());
        Set<FailoverPreconditions.Precondition> failing =
                FailoverPreconditions.findUnmet(
                        new FailoverPreconditions.Facts(
                                holds,
                                node.state().fencingToken(),
                                node.state().observedLeader().highestToken(),
                                held.leaderKeyRevision(),
                                node.imageAt(),
                                true,
                                true,
                                true,
                                1,
                                1));
        if (removedSafeguard == RemovedSafeguard.IMAGE_CHECK) {
            failing.remove(FailoverPreconditions.Precondition.RECORDS_COVER_LEADER_KEY);
        }
        if (!node.decided() && failing.isEmpty()) {
            Set<Message> more = new HashSet<>(modelState.messages());
            more.add(
                    new Message(
                            at,
                            new PendingDecision(
                                    node.state().fencingToken(),
                                    held.leaderKeyRevision(),
                                    node.seen())));
            to.accept(
                    replaced(
                            with(modelState, store, more),
                            at,
                            new Node(node.state(), node.imageAt(), node.seen(), true)));
        }
    }

    private void deliver(
            ModelState modelState, Message message, Set<Message> rest, Consumer<ModelState> to) {
        int node = message.node();
        if (message.what() instanceof LeadershipEvent event) {
            to.accept(stepped(with(modelState, modelState.store(), rest), node, event));
            return;
        }
        now = modelState.now();
        claimant = "n" + node;
        Store[] after = {modelState.store()};
        LeadershipEvent answer =
                message.what() instanceof AbandonedRequest abandonedRequest
                        ? execute(abandonedRequest.what(), after)
                        : execute(message.what(), after);
        if (message.what() instanceof LeadershipEffect.WatchLeaderKey && answer == null) {
            return;
        }
        ModelState executed = with(modelState, after[0], rest);
        if (message.what() instanceof AbandonedRequest
                || message.what() instanceof PendingDecision) {
            to.accept(executed);
            return;
        }
        to.accept(stepped(executed, node, answer));
        boolean matters =
                message.what() instanceof LeadershipEffect.ClaimLeaderKey
                        || message.what() instanceof LeadershipEffect.RenewLease
                        || message.what() instanceof LeadershipEffect.ReleaseLeaderKey;
        if (matters && modelState.trouble() > 0) {
            Set<Message> withAnswer = new HashSet<>(rest);
            withAnswer.add(new Message(node, answer));
            to.accept(troubled(with(modelState, after[0], withAnswer)));
            Set<Message> withLate = new HashSet<>(rest);
            withLate.add(new Message(node, new AbandonedRequest(message.what())));
            to.accept(
                    troubled(
                            stepped(
                                    with(modelState, modelState.store(), withLate),
                                    node,
                                    failed(message.what()))));
        }
    }

    /** A request that its node has given up. */
    private record AbandonedRequest(Object what) {}

    private static LeadershipEvent failed(Object what) {
        if (what instanceof LeadershipEffect.ClaimLeaderKey claimLeaderKey) {
            return new LeadershipEvent.LeaderKeyClaimCompleted(
                    claimLeaderKey.epoch(),
                    claimLeaderKey.fencingToken(),
                    claimLeaderKey.lease(),
                    claimLeaderKey.sentAt(),
                    null);
        }
        if (what instanceof LeadershipEffect.RenewLease renewLease) {
            return new LeadershipEvent.RenewalCompleted(
                    renewLease.epoch(),
                    renewLease.sentAt(),
                    LeadershipEvent.RenewalOutcome.UNKNOWN);
        }
        LeadershipEffect.ReleaseLeaderKey releaseLeaderKey =
                (LeadershipEffect.ReleaseLeaderKey) what;
        return new LeadershipEvent.ReleaseCompleted(
                releaseLeaderKey.epoch(),
                releaseLeaderKey.lease(),
                false,
                releaseLeaderKey.preferredSuccessor(),
                null,
                false);
    }

    /** What the state service does and answers; null where a watch has nothing to tell. */
    private LeadershipEvent execute(Object what, Store[] at) {
        Store s = at[0];
        if (what instanceof LeadershipEffect.ReadLeaderKey readLeaderKey) {
            return new LeadershipEvent.LeaderKeyRead(
                    readLeaderKey.epoch(),
                    new KeyValueStore.Page(
                            s.keyAt() == 0
                                    ? List.of()
                                    : List.of(
                                            new KeyValueStore.Entry(
                                                    RecordCodec.LEADER_KEY,
                                                    Map.of(
                                                            "member",
                                                            s.holder(),
                                                            "term",
                                                            s.term(),
                                                            "lease",
                                                            s.keyLease()),
                                                    new Revision(s.keyAt()))),
                            false,
                            new Revision(s.revision())));
        }
        if (what instanceof LeadershipEffect.WatchLeaderKey watchLeaderKey) {
            return s.revision() <= watchLeaderKey.afterRevision().value()
                    ? null
                    : new LeadershipEvent.LeaderKeyWatchEnded(
                            watchLeaderKey.epoch(),
                            new KeyValueStore.ChangeBatch(
                                    new Revision(s.revision()),
                                    List.of(
                                            new KeyValueStore.Change(
                                                    RecordCodec.LEADER_KEY,
                                                    null,
                                                    new Revision(s.revision())))));
        }
        if (what instanceof LeadershipEffect.ReadTokenCounter read) {
            return new LeadershipEvent.TokenCounterRead(
                    read.epoch(),
                    read.leaderKeyRevision(),
                    s.counterAt() == 0
                            ? Optional.empty()
                            : Optional.of(
                                    new KeyValueStore.Entry(
                                            RecordCodec.FENCING_TOKEN_KEY,
                                            CandidacyPolicy.handoverRecord(s.counter(), s.heir()),
                                            new Revision(s.counterAt()))),
                    false);
        }
        if (what instanceof LeadershipEffect.GrantLease grantLease) {
            Map<Long, MonotonicTime> leases = new HashMap<>(s.leases());
            leases.put(s.nextLease(), now.plus(LeadershipStateMachine.LEASE_TTL));
            at[0] =
                    new Store(
                            s.revision(),
                            s.holder(),
                            s.term(),
                            s.keyAt(),
                            s.keyLease(),
                            s.counter(),
                            s.counterAt(),
                            s.heir(),
                            leases,
                            s.nextLease() + 1,
                            s.decisions());
            return new LeadershipEvent.LeaseGrantCompleted(
                    grantLease.epoch(),
                    grantLease.leaderKeyRevision(),
                    grantLease.counter(),
                    new LeaseId(s.nextLease()),
                    now);
        }
        if (what instanceof LeadershipEffect.ClaimLeaderKey claimLeaderKey) {
            boolean applies =
                    claimLeaderKey.expectedLeaderKeyRevision().value() == s.keyAt()
                            && s.leases().containsKey(claimLeaderKey.lease().value())
                            && (claimLeaderKey.expectedCounterRevision().value() == s.counterAt()
                                    || removedSafeguard == RemovedSafeguard.CLAIMS_COUNTER_GUARD);
            long revision = s.revision() + 1;
            at[0] =
                    !applies
                            ? s
                            : new Store(
                                    revision,
                                    claimant,
                                    claimLeaderKey.fencingToken().value(),
                                    revision,
                                    claimLeaderKey.lease().value(),
                                    claimLeaderKey.fencingToken().value(),
                                    revision,
                                    null,
                                    s.leases(),
                                    s.nextLease(),
                                    s.decisions());
            return new LeadershipEvent.LeaderKeyClaimCompleted(
                    claimLeaderKey.epoch(),
                    claimLeaderKey.fencingToken(),
                    claimLeaderKey.lease(),
                    claimLeaderKey.sentAt(),
                    new KeyValueStore.CommitResult(
                            applies, new Revision(at[0].revision()), List.of()));
        }
        if (what instanceof LeadershipEffect.RenewLease renewLease) {
            boolean lives = s.leases().containsKey(renewLease.lease().value());
            Map<Long, MonotonicTime> leases = new HashMap<>(s.leases());
            leases.computeIfPresent(
                    renewLease.lease().value(),
                    (lease, end) -> now.plus(LeadershipStateMachine.LEASE_TTL));
            at[0] =
                    new Store(
                            s.revision(),
                            s.holder(),
                            s.term(),
                            s.keyAt(),
                            s.keyLease(),
                            s.counter(),
                            s.counterAt(),
                            s.heir(),
                            leases,
                            s.nextLease(),
                            s.decisions());
            return new LeadershipEvent.RenewalCompleted(
                    renewLease.epoch(),
                    renewLease.sentAt(),
                    lives
                            ? LeadershipEvent.RenewalOutcome.RENEWED
                            : LeadershipEvent.RenewalOutcome.LEASE_EXPIRED);
        }
        if (what instanceof LeadershipEffect.ReleaseLeaderKey releaseLeaderKey) {
            boolean applies = releaseLeaderKey.expectedLeaderKeyRevision().value() == s.keyAt();
            long revision = s.revision() + 1;
            at[0] =
                    !applies
                            ? s
                            : new Store(
                                    revision,
                                    null,
                                    0,
                                    0,
                                    0,
                                    releaseLeaderKey.fencingToken().value(),
                                    revision,
                                    releaseLeaderKey.preferredSuccessor(),
                                    s.leases(),
                                    s.nextLease(),
                                    s.decisions());
            return new LeadershipEvent.ReleaseCompleted(
                    releaseLeaderKey.epoch(),
                    releaseLeaderKey.lease(),
                    false,
                    releaseLeaderKey.preferredSuccessor(),
                    new KeyValueStore.CommitResult(
                            applies, new Revision(at[0].revision()), List.of()),
                    false);
        }
        if (what instanceof PendingDecision pendingDecision) {
            if (pendingDecision.guard().value() == s.keyAt()
                    || removedSafeguard == RemovedSafeguard.DECISIONS_GUARD) {
                List<PendingDecision> more = new ArrayList<>(s.decisions());
                more.add(pendingDecision);
                at[0] =
                        new Store(
                                s.revision() + 1,
                                s.holder(),
                                s.term(),
                                s.keyAt(),
                                s.keyLease(),
                                s.counter(),
                                s.counterAt(),
                                s.heir(),
                                s.leases(),
                                s.nextLease(),
                                more);
            }
            return null;
        }
        return null;
    }

    /** The clock, and whose request is executed, while a world's successors are made. */
    private MonotonicTime now;

    private String claimant;

    private static Store ended(Store s, long lease) {
        Map<Long, MonotonicTime> leases = new HashMap<>(s.leases());
        leases.remove(lease);
        boolean key = s.keyAt() != 0 && s.keyLease() == lease;
        return new Store(
                key ? s.revision() + 1 : s.revision(),
                key ? null : s.holder(),
                key ? 0 : s.term(),
                key ? 0 : s.keyAt(),
                key ? 0 : s.keyLease(),
                s.counter(),
                s.counterAt(),
                s.heir(),
                leases,
                s.nextLease(),
                s.decisions());
    }

    // ---- worlds ----

    private ModelState with(ModelState modelState, Store store, Set<Message> messages) {
        return checked(
                new ModelState(
                        store,
                        modelState.nodes(),
                        messages,
                        modelState.ticks(),
                        modelState.trouble(),
                        modelState.handOver(),
                        modelState.terms(),
                        modelState.broken()));
    }

    private static ModelState troubled(ModelState modelState) {
        return new ModelState(
                modelState.store(),
                modelState.nodes(),
                modelState.messages(),
                modelState.ticks(),
                modelState.trouble() - 1,
                modelState.handOver(),
                modelState.terms(),
                modelState.broken());
    }

    private ModelState replaced(ModelState modelState, int at, Node node) {
        List<Node> nodes = new ArrayList<>(modelState.nodes());
        nodes.set(at, node);
        return checked(
                new ModelState(
                        modelState.store(),
                        nodes,
                        modelState.messages(),
                        modelState.ticks(),
                        modelState.trouble(),
                        modelState.handOver(),
                        modelState.terms(),
                        modelState.broken()));
    }

    private ModelState stepped(ModelState modelState, int at, LeadershipEvent event) {
        LeadershipStateMachine.Transition transition =
                steps.get(at).apply(modelState.nodes().get(at).state(), event, modelState.now());
        Set<Message> messages = new HashSet<>(modelState.messages());
        Set<Long> terms = new HashSet<>(modelState.terms());
        String broken = modelState.broken();
        for (LeadershipEffect effect : transition.effects()) {
            if (effect instanceof LeadershipEffect.NotifyElected notifyElected) {
                broken =
                        terms.add(notifyElected.fencingToken().value())
                                ? broken
                                : "term " + notifyElected.fencingToken() + " came twice";
                if (at != 0) {
                    messages.add(
                            new Message(
                                    0,
                                    new LeadershipEvent.TokenObserved(
                                            notifyElected.fencingToken(), "n" + at)));
                }
            } else if (effect instanceof LeadershipEffect.ScheduleRenewalCheck tick) {
                messages.add(new Message(at, new LeadershipEvent.RenewalTimerFired(tick.epoch())));
            } else if (!(effect instanceof LeadershipEffect.NotifyLeadershipLost
                    || effect instanceof LeadershipEffect.NotifyFollowing
                    || effect instanceof LeadershipEffect.RevokeOwnLease)) {
                messages.add(new Message(at, effect));
            }
        }
        ModelState next =
                new ModelState(
                        modelState.store(),
                        modelState.nodes(),
                        messages,
                        modelState.ticks(),
                        modelState.trouble(),
                        modelState.handOver(),
                        terms,
                        broken);
        return replaced(next, at, modelState.nodes().get(at).with(transition.next()));
    }

    /** What must never be. */
    private ModelState checked(ModelState modelState) {
        String broken = modelState.broken();
        List<PendingDecision> decisions = modelState.store().decisions();
        for (int at = 0; at < decisions.size(); at++) {
            for (int before = 0; before < at; before++) {
                if (decisions.get(before).term().isAfter(decisions.get(at).term())) {
                    broken = "a deposed leader's decision was taken in after its successor's";
                } else if (!decisions.get(before).term().equals(decisions.get(at).term())
                        && decisions.get(at).seen() <= before) {
                    broken = "a decision was made on an image older than the key";
                }
            }
        }
        int leading = 0;
        for (Node node : modelState.nodes()) {
            boolean decides =
                    removedSafeguard == RemovedSafeguard.LEASE_CHECK
                            ? node.state().heldLeadership() != null
                            : LeadershipStateMachine.canDecide(node.state(), modelState.now());
            leading += decides ? 1 : 0;
        }
        broken = leading > 1 ? "two nodes may decide at once" : broken;
        return broken == null
                ? modelState
                : new ModelState(
                        modelState.store(),
                        modelState.nodes(),
                        modelState.messages(),
                        modelState.ticks(),
                        modelState.trouble(),
                        modelState.handOver(),
                        modelState.terms(),
                        broken);
    }
}
