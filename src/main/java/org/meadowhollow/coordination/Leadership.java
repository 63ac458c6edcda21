package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.LeaseId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: the holder of a leased key in the state service. The term comes from a counter that only
 * grows, raised in the same transaction that takes the key.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    /** Long enough for a hiccup of the store and a slow turn of ours, short enough for a takeover. */
    static final Duration TTL = Duration.ofSeconds(5);
    /** Three tries fit into a lease. */
    private static final Duration RENEW = Duration.ofMillis(1500);
    private static final Duration RETRY = Duration.ofMillis(400);
    /** A watch of the leader's key; it returns at once when the key goes. */
    private static final Duration WATCH = Duration.ofSeconds(20);
    /** The bound that the protocol gives for the drift between two machines' clocks. */
    private static final double DRIFT = 0.0005;
    /** Time for an answer that is under way when a leader falls silent. */
    private static final Duration MARGIN = Duration.ofSeconds(3);

    /** What follows from a change of leadership. */
    public interface Listener {
        /** This member leads from now on. */
        void elected(Term term, Version leaderVersion);

        /** This member does not lead any more. */
        void deposed(String why);
    }

    private final StateStore store;
    private final EventLoop loop;
    private final Peers peers;
    private final String member;
    private final Duration answerFor;
    private final RandomGenerator random;
    private final Listener listener;
    private LeaseId lease;
    private Moment leaseSentAt;
    private Term term = Term.NONE;
    private boolean leading;
    private String leader;
    private Term leaderTerm = Term.NONE;
    private int epoch;

    public Leadership(StateStore store, EventLoop loop, Peers peers, Platform platform, RandomGenerator random,
            Listener listener) {
        this.store = store;
        this.loop = loop;
        this.peers = peers;
        this.member = platform.member();
        this.answerFor = platform.cancelWithin().minus(platform.lease()).minus(MARGIN);
        this.random = random;
        this.listener = listener;
    }

    public void start() {
        look(epoch);
    }

    /** Whether new starts may go out: the lease certainly holds. */
    public synchronized boolean mayStart() {
        return leading && loop.now().isBefore(leaseSentAt.plus(shortened(TTL)));
    }

    /**
     * Whether reports may still be answered. A leader that cannot renew keeps the tasks running, but only
     * so long that all leases it renewed are over before a cancellation it never heard of is due.
     */
    public synchronized boolean mayAnswer() {
        return leading && loop.now().isBefore(leaseSentAt.plus(shortened(answerFor)));
    }

    private static Duration shortened(Duration span) {
        return Duration.ofNanos((long) (span.toNanos() * (1 - DRIFT)));
    }

    public synchronized boolean leading() {
        return leading;
    }

    public synchronized Term term() {
        return term;
    }

    /** The leader last heard of, or null. */
    public synchronized String leader() {
        return leader;
    }

    /** A peer or a worker told of a term; a higher one than ours ends our leadership. */
    public void heardOf(Term other, String otherLeader) {
        synchronized (this) {
            if (!other.isAfter(leaderTerm)) {
                return;
            }
            leaderTerm = other;
            leader = otherLeader;
        }
        // Answering on with a lower token would keep workers at this node until their leases end.
        if (leading()) {
            stepDown("a higher term " + other + " exists");
        }
    }

    /** Gives the leadership up, when a write has shown that it is lost. */
    public void lost() {
        stepDown("the leader's record has changed");
    }

    private void stepDown(String why) {
        int now;
        synchronized (this) {
            if (!leading) {
                return;
            }
            leading = false;
            if (member.equals(leader)) {
                leader = null;
            }
            lease = null;
            now = ++epoch;
        }
        LOG.info("leadership of term {} lost: {}", term, why);
        listener.deposed(why);
        look(now);
    }

    private synchronized boolean current(int expected) {
        return epoch == expected;
    }

    private void later(Duration pause, int expected, Runnable work) {
        Duration jittered = pause.plus(Duration.ofNanos((long) (pause.toNanos() * random.nextDouble() * 0.5)));
        loop.after(jittered, () -> {
            if (current(expected)) {
                work.run();
            }
        });
    }

    /** Reads the leader's key: campaign if it is free, else wait for it to go. */
    private void look(int expected) {
        store.list(Records.LEADER, null, Urgency.LEASE).whenComplete((page, failure) -> {
            if (!current(expected)) {
                return;
            }
            if (failure != null) {
                later(RETRY, expected, () -> look(expected));
                return;
            }
            if (page.entries().isEmpty()) {
                campaign(expected, Version.ABSENT);
                return;
            }
            StateStore.Entry found = page.entries().get(0);
            String holder = (String) found.value().get("member");
            if (member.equals(holder)) {
                // This process has only just begun, so the holder is its own dead predecessor.
                campaign(expected, found.version());
                return;
            }
            follow(found.value());
            await(expected, page.revision());
        });
    }

    private synchronized void follow(Map<String, Object> record) {
        Term found = new Term(((Number) record.get("term")).longValue());
        if (!leaderTerm.isAfter(found)) {
            leaderTerm = found;
            leader = (String) record.get("member");
        }
    }

    private void await(int expected, Version after) {
        store.watch(Records.LEADER, after, WATCH).whenComplete((changes, failure) -> {
            if (!current(expected)) {
                return;
            }
            if (failure != null) {
                later(RETRY, expected, () -> look(expected));
            } else if (changes.changes().isEmpty()) {
                await(expected, changes.revision());
            } else {
                look(expected);
            }
        });
    }

    private void campaign(int expected, Version leaderVersion) {
        Moment sentAt = loop.now();
        store.grant(TTL).whenComplete((granted, failure) -> {
            if (!current(expected)) {
                return;
            }
            if (failure != null) {
                later(RETRY, expected, () -> look(expected));
                return;
            }
            store.get(Records.TERM, Urgency.LEASE).whenComplete((counter, unread) -> {
                if (!current(expected)) {
                    return;
                }
                if (unread != null) {
                    later(RETRY, expected, () -> look(expected));
                    return;
                }
                claim(expected, leaderVersion, granted, sentAt, counter);
            });
        });
    }

    private void claim(int expected, Version leaderVersion, LeaseId granted, Moment sentAt,
            Optional<StateStore.Entry> counter) {
        Term next = counter.map(entry -> new Term(((Number) entry.value().get("term")).longValue()))
                .orElse(Term.NONE).next();
        Transaction claim = new Transaction()
                .guard(Records.LEADER, leaderVersion)
                .guard(Records.TERM, counter.map(StateStore.Entry::version).orElse(Version.ABSENT))
                .put(Records.TERM, Map.of("term", next.value()))
                .put(Records.LEADER, Map.of("member", member, "term", next.value()), granted);
        store.commit(claim, Urgency.LEASE).whenComplete((commit, failure) -> {
            if (!current(expected)) {
                return;
            }
            if (failure != null || !commit.applied()) {
                // Unanswered, it may yet be applied; the next look then finds our own name and claims anew.
                later(RETRY, expected, () -> look(expected));
                return;
            }
            synchronized (this) {
                lease = granted;
                leaseSentAt = sentAt;
                term = next;
                leading = true;
                leader = member;
                leaderTerm = next;
            }
            LOG.info("elected: {} leads in term {}", member, next);
            listener.elected(next, commit.revision());
            peers.announce(member, next);
            later(RENEW, expected, () -> renew(expected));
        });
    }

    private void renew(int expected) {
        Moment sentAt = loop.now();
        LeaseId held;
        synchronized (this) {
            held = lease;
        }
        store.renew(held).whenComplete((unused, failure) -> {
            if (!current(expected)) {
                return;
            }
            if (failure == null) {
                synchronized (this) {
                    leaseSentAt = Moment.later(leaseSentAt, sentAt);
                }
                loop.after(RENEW, () -> {
                    if (current(expected)) {
                        renew(expected);
                    }
                });
            } else if (StateException.of(failure) == Outcome.NO_SUCH_LEASE) {
                stepDown("the lease has ended");
            } else {
                later(RETRY, expected, () -> renew(expected));
            }
        });
    }
}
