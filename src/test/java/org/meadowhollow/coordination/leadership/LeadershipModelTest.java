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
import org.meadowhollow.coordination.succession.FirstDecision;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.RecordCodec;

/**
 * All that can happen, up to a bound, to three nodes that run {@link LeadershipStep} and {@link
 * FirstDecision} against one state service: requests that are answered, lost, or executed late,
 * answers that come late, leases that run out, a leader that hands over, announcements in any
 * order. A decision is a transaction, and an image is what a node has seen of those before.
 * Announcements go to the first node alone, at any time; the others hear of none.
 */
class LeadershipModelTest {
    private static final int NODES = 3;
    private static final Duration TICK = Duration.ofSeconds(3);

    /** What is taken away to see that it is needed. */
    private enum Without {
        NOTHING,
        DECISIONS_GUARD,
        CLAIMS_COUNTER_GUARD,
        IMAGE_CHECK,
        LEASE_CHECK
    }

    /** A leader's decision on its way; {@code seen} counts the decisions that it knew of. */
    private record Decide(FencingToken term, Revision guard, int seen) {}

    /** A node; its image stands at a revision and holds the first {@code seen} decisions. */
    private record Node(LeadershipState state, Revision imageAt, int seen, boolean decided) {
        Node with(LeadershipState next) {
            return new Node(next, imageAt, seen, decided && next.holding() != null);
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
            List<Decide> decisions) {}

    /**
     * On its way: to the state service if it is an effect or a decision, to the node if it is an
     * event.
     */
    private record Message(int node, Object what) {}

    /**
     * @param trouble how many more requests or answers may be late or lost
     */
    private record World(
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

    private Without without = Without.NOTHING;
    private final List<LeadershipStep> steps = new ArrayList<>();
    private int states;

    LeadershipModelTest() {
        for (int node = 0; node < NODES; node++) {
            steps.add(new LeadershipStep("n" + node));
        }
    }

    /** The first node has just taken the key, the others are about to look. */
    private World first(int trouble) {
        List<Node> nodes = new ArrayList<>();
        Set<Message> messages = new HashSet<>();
        for (int node = 0; node < NODES; node++) {
            nodes.add(new Node(LeadershipState.FIRST, Revision.ABSENT, 0, false));
            if (node > 0) {
                messages.add(new Message(node, new LeadershipEffect.Look(0, false)));
            }
        }
        World world =
                new World(
                        new Store(
                                1,
                                "n0",
                                1,
                                1,
                                1,
                                1,
                                1,
                                null,
                                Map.of(1L, new MonotonicTime(0).plus(LeadershipStep.TTL)),
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
                world,
                0,
                new LeadershipEvent.Claimed(
                        0,
                        new FencingToken(1),
                        new LeaseId(1),
                        new MonotonicTime(0),
                        new KeyValueStore.CommitResult(true, new Revision(1), List.of())));
    }

    /** Goes through all worlds that can come, the nearest first; the first broken one, or null. */
    private String explore(int mostTicks, int trouble, int mostStates) {
        Set<World> seen = new HashSet<>();
        ArrayDeque<World> next = new ArrayDeque<>();
        next.add(first(trouble));
        while (!next.isEmpty() && states < mostStates) {
            World world = next.poll();
            states++;
            String[] broken = {null};
            successors(
                    world,
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
    void eachClauseIsNeeded(Without clause) {
        without = clause;
        assertNotNull(explore(MOST_TICKS, 1, MOST_STATES), "after " + states + " worlds");
    }

    private void successors(World world, int mostTicks, Consumer<World> to) {
        if (world.ticks() < mostTicks) {
            to.accept(
                    checked(
                            new World(
                                    world.store(),
                                    world.nodes(),
                                    world.messages(),
                                    world.ticks() + 1,
                                    world.trouble(),
                                    world.handOver(),
                                    world.terms(),
                                    null)));
        }
        world.store()
                .leases()
                .forEach(
                        (lease, end) -> {
                            if (!world.now().isBefore(end)) {
                                to.accept(
                                        with(world, ended(world.store(), lease), world.messages()));
                            }
                        });
        for (int node = 0; node < NODES; node++) {
            own(world, node, to);
        }
        for (Message message : world.messages()) {
            Set<Message> rest = new HashSet<>(world.messages());
            rest.remove(message);
            deliver(world, message, rest, to);
        }
    }

    /** What a node does by itself: follow, hand over, decide. */
    private void own(World world, int at, Consumer<World> to) {
        Node node = world.nodes().get(at);
        Store store = world.store();
        LeadershipState.Holding held = node.state().holding();
        if (held == null) {
            return;
        }
        // What a standby follows may be as old as can be; a leader catches up sooner or later.
        if (held.version().isAfter(node.imageAt())) {
            to.accept(
                    replaced(
                            world,
                            at,
                            new Node(
                                    node.state(),
                                    new Revision(store.revision()),
                                    store.decisions().size(),
                                    node.decided())));
        }
        if (world.handOver()) {
            to.accept(
                    stepped(
                            new World(
                                    store,
                                    world.nodes(),
                                    world.messages(),
                                    world.ticks(),
                                    world.trouble(),
                                    false,
                                    world.terms(),
                                    null),
                            at,
                            new LeadershipEvent.GivingUp(false, "n" + (at + 1) % NODES)));
        }
        boolean holds =
                without == Without.LEASE_CHECK
                        || LeadershipStep.mayStart(node.state(), world.now());
        Set<FirstDecision.Check> failing =
                FirstDecision.failing(
                        new FirstDecision.Facts(
                                holds,
                                node.state().term(),
                                node.state().known().term(),
                                held.version(),
                                node.imageAt(),
                                true,
                                true,
                                true,
                                1,
                                1));
        if (without == Without.IMAGE_CHECK) {
            failing.remove(FirstDecision.Check.RECORDS_REACH_THE_KEY);
        }
        if (!node.decided() && failing.isEmpty()) {
            Set<Message> more = new HashSet<>(world.messages());
            more.add(new Message(at, new Decide(node.state().term(), held.version(), node.seen())));
            to.accept(
                    replaced(
                            with(world, store, more),
                            at,
                            new Node(node.state(), node.imageAt(), node.seen(), true)));
        }
    }

    private void deliver(World world, Message message, Set<Message> rest, Consumer<World> to) {
        int node = message.node();
        if (message.what() instanceof LeadershipEvent event) {
            to.accept(stepped(with(world, world.store(), rest), node, event));
            return;
        }
        now = world.now();
        claimant = "n" + node;
        Store[] after = {world.store()};
        LeadershipEvent answer =
                message.what() instanceof Late late
                        ? execute(late.what(), after)
                        : execute(message.what(), after);
        if (message.what() instanceof LeadershipEffect.Watch && answer == null) {
            return;
        }
        World executed = with(world, after[0], rest);
        if (message.what() instanceof Late || message.what() instanceof Decide) {
            to.accept(executed);
            return;
        }
        to.accept(stepped(executed, node, answer));
        boolean matters =
                message.what() instanceof LeadershipEffect.Claim
                        || message.what() instanceof LeadershipEffect.Renew
                        || message.what() instanceof LeadershipEffect.GiveUp;
        if (matters && world.trouble() > 0) {
            Set<Message> withAnswer = new HashSet<>(rest);
            withAnswer.add(new Message(node, answer));
            to.accept(troubled(with(world, after[0], withAnswer)));
            Set<Message> withLate = new HashSet<>(rest);
            withLate.add(new Message(node, new Late(message.what())));
            to.accept(
                    troubled(
                            stepped(
                                    with(world, world.store(), withLate),
                                    node,
                                    failed(message.what()))));
        }
    }

    /** A request that its node has given up. */
    private record Late(Object what) {}

    private static LeadershipEvent failed(Object what) {
        if (what instanceof LeadershipEffect.Claim claim) {
            return new LeadershipEvent.Claimed(
                    claim.epoch(), claim.term(), claim.lease(), claim.sentAt(), null);
        }
        if (what instanceof LeadershipEffect.Renew renew) {
            return new LeadershipEvent.Renewed(
                    renew.epoch(), renew.sentAt(), LeadershipEvent.Renewal.UNKNOWN);
        }
        LeadershipEffect.GiveUp giveUp = (LeadershipEffect.GiveUp) what;
        return new LeadershipEvent.GivenUp(
                giveUp.epoch(), giveUp.lease(), false, giveUp.heir(), null, false);
    }

    /** What the state service does and answers; null where a watch has nothing to tell. */
    private LeadershipEvent execute(Object what, Store[] at) {
        Store s = at[0];
        if (what instanceof LeadershipEffect.Look look) {
            return new LeadershipEvent.Looked(
                    look.epoch(),
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
        if (what instanceof LeadershipEffect.Watch watch) {
            return s.revision() <= watch.after().value()
                    ? null
                    : new LeadershipEvent.Watched(
                            watch.epoch(),
                            new KeyValueStore.ChangeBatch(
                                    new Revision(s.revision()),
                                    List.of(
                                            new KeyValueStore.Change(
                                                    RecordCodec.LEADER_KEY,
                                                    null,
                                                    new Revision(s.revision())))));
        }
        if (what instanceof LeadershipEffect.ReadCounter read) {
            return new LeadershipEvent.CounterRead(
                    read.epoch(),
                    read.seen(),
                    s.counterAt() == 0
                            ? Optional.empty()
                            : Optional.of(
                                    new KeyValueStore.Entry(
                                            RecordCodec.FENCING_TOKEN_KEY,
                                            Standing.handedOver(s.counter(), s.heir()),
                                            new Revision(s.counterAt()))),
                    false);
        }
        if (what instanceof LeadershipEffect.Grant grant) {
            Map<Long, MonotonicTime> leases = new HashMap<>(s.leases());
            leases.put(s.nextLease(), now.plus(LeadershipStep.TTL));
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
            return new LeadershipEvent.Granted(
                    grant.epoch(), grant.seen(), grant.counter(), new LeaseId(s.nextLease()), now);
        }
        if (what instanceof LeadershipEffect.Claim claim) {
            boolean applies =
                    claim.leader().value() == s.keyAt()
                            && s.leases().containsKey(claim.lease().value())
                            && (claim.counter().value() == s.counterAt()
                                    || without == Without.CLAIMS_COUNTER_GUARD);
            long revision = s.revision() + 1;
            at[0] =
                    !applies
                            ? s
                            : new Store(
                                    revision,
                                    claimant,
                                    claim.term().value(),
                                    revision,
                                    claim.lease().value(),
                                    claim.term().value(),
                                    revision,
                                    null,
                                    s.leases(),
                                    s.nextLease(),
                                    s.decisions());
            return new LeadershipEvent.Claimed(
                    claim.epoch(),
                    claim.term(),
                    claim.lease(),
                    claim.sentAt(),
                    new KeyValueStore.CommitResult(
                            applies, new Revision(at[0].revision()), List.of()));
        }
        if (what instanceof LeadershipEffect.Renew renew) {
            boolean lives = s.leases().containsKey(renew.lease().value());
            Map<Long, MonotonicTime> leases = new HashMap<>(s.leases());
            leases.computeIfPresent(
                    renew.lease().value(), (lease, end) -> now.plus(LeadershipStep.TTL));
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
            return new LeadershipEvent.Renewed(
                    renew.epoch(),
                    renew.sentAt(),
                    lives ? LeadershipEvent.Renewal.DONE : LeadershipEvent.Renewal.LEASE_ENDED);
        }
        if (what instanceof LeadershipEffect.GiveUp giveUp) {
            boolean applies = giveUp.leader().value() == s.keyAt();
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
                                    giveUp.term().value(),
                                    revision,
                                    giveUp.heir(),
                                    s.leases(),
                                    s.nextLease(),
                                    s.decisions());
            return new LeadershipEvent.GivenUp(
                    giveUp.epoch(),
                    giveUp.lease(),
                    false,
                    giveUp.heir(),
                    new KeyValueStore.CommitResult(
                            applies, new Revision(at[0].revision()), List.of()),
                    false);
        }
        if (what instanceof Decide decide) {
            if (decide.guard().value() == s.keyAt() || without == Without.DECISIONS_GUARD) {
                List<Decide> more = new ArrayList<>(s.decisions());
                more.add(decide);
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

    private World with(World world, Store store, Set<Message> messages) {
        return checked(
                new World(
                        store,
                        world.nodes(),
                        messages,
                        world.ticks(),
                        world.trouble(),
                        world.handOver(),
                        world.terms(),
                        world.broken()));
    }

    private static World troubled(World world) {
        return new World(
                world.store(),
                world.nodes(),
                world.messages(),
                world.ticks(),
                world.trouble() - 1,
                world.handOver(),
                world.terms(),
                world.broken());
    }

    private World replaced(World world, int at, Node node) {
        List<Node> nodes = new ArrayList<>(world.nodes());
        nodes.set(at, node);
        return checked(
                new World(
                        world.store(),
                        nodes,
                        world.messages(),
                        world.ticks(),
                        world.trouble(),
                        world.handOver(),
                        world.terms(),
                        world.broken()));
    }

    private World stepped(World world, int at, LeadershipEvent event) {
        LeadershipStep.Step step =
                steps.get(at).on(world.nodes().get(at).state(), event, world.now());
        Set<Message> messages = new HashSet<>(world.messages());
        Set<Long> terms = new HashSet<>(world.terms());
        String broken = world.broken();
        for (LeadershipEffect effect : step.effects()) {
            if (effect instanceof LeadershipEffect.Elected elected) {
                broken =
                        terms.add(elected.term().value())
                                ? broken
                                : "term " + elected.term() + " came twice";
                if (at != 0) {
                    messages.add(
                            new Message(0, new LeadershipEvent.Heard(elected.term(), "n" + at)));
                }
            } else if (effect instanceof LeadershipEffect.TickLater tick) {
                messages.add(new Message(at, new LeadershipEvent.Tick(tick.epoch())));
            } else if (!(effect instanceof LeadershipEffect.Deposed
                    || effect instanceof LeadershipEffect.Following
                    || effect instanceof LeadershipEffect.Revoke)) {
                messages.add(new Message(at, effect));
            }
        }
        World next =
                new World(
                        world.store(),
                        world.nodes(),
                        messages,
                        world.ticks(),
                        world.trouble(),
                        world.handOver(),
                        terms,
                        broken);
        return replaced(next, at, world.nodes().get(at).with(step.next()));
    }

    /** What must never be. */
    private World checked(World world) {
        String broken = world.broken();
        List<Decide> decisions = world.store().decisions();
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
        for (Node node : world.nodes()) {
            boolean decides =
                    without == Without.LEASE_CHECK
                            ? node.state().holding() != null
                            : LeadershipStep.mayStart(node.state(), world.now());
            leading += decides ? 1 : 0;
        }
        broken = leading > 1 ? "two nodes may decide at once" : broken;
        return broken == null
                ? world
                : new World(
                        world.store(),
                        world.nodes(),
                        world.messages(),
                        world.ticks(),
                        world.trouble(),
                        world.handOver(),
                        world.terms(),
                        broken);
    }
}
