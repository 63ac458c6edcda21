package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.LeaseId;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.hearing.Earshot;
import org.meadowhollow.coordination.platform.Peers;
import org.meadowhollow.coordination.platform.Platform;
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
    private static final Duration RENEWAL_CHECK = Duration.ofMillis(500);
    private static final Duration RETRY = Duration.ofMillis(400);
    /** A watch of the leader's key; it returns at once when the key goes. */
    private static final Duration WATCH = Duration.ofSeconds(20);
    /** The bound that the protocol gives for the drift between two machines' clocks. */
    private static final double DRIFT = 0.0005;
    /** Time for an answer that is under way when a leader falls silent. */
    private static final Duration MARGIN = Duration.ofSeconds(3);

    /**
     * Workers that must have left a leader before its lease is ended for it. One or two lose a connection now and
     * then, also while packet filters between the controllers refuse connections for no fault of the leader.
     */
    private static final int LEAST_DESERTERS = 3;
    /** Refusals in a row; between them a process that is only short of sockets has closed some. */
    private static final int LEAST_REFUSALS = 2;
    private static final Duration ASK_AGAIN = Duration.ofMillis(250);
    /** Questions to a suspected leader before the suspicion is dropped; about as long as reports are held for. */
    private static final int MOST_QUESTIONS = 8;
    /**
     * Workers that must have come here within some seconds for this node to count as one that hears them. Those of a
     * silent leader go round all nodes, one every 5 s and more.
     */
    private static final int LEAST_HEARD = 3;
    private static final Duration HEARD_WITHIN = Duration.ofSeconds(6);
    /** How long the leader is trusted after it answered. */
    private static final Duration TRUST = Duration.ofSeconds(2);

    /** What follows from a change of leadership. */
    public interface Listener {
        /**
         * This member leads from now on.
         *
         * @param leaderVersion the revision of the transaction that took the key
         * @param noticedAt when this node saw that nobody leads, or null
         */
        void elected(Term term, Version leaderVersion, Moment noticedAt);

        /** This member does not lead any more. */
        void deposed(String why);

        /** Another member leads, as far as is known. */
        void following(String leader);
    }

    private final StateStore store;
    private final EventLoop loop;
    private final Peers peers;
    private final String member;
    private final Duration answerFor;
    private final Earshot earshot;
    private final RandomGenerator random;
    private final Listener listener;
    private LeaseId lease;
    private Moment leaseSentAt;
    private Moment renewalSentAt;
    private boolean renewing;
    private Term term = Term.NONE;
    private boolean leading;
    private String leader;
    private Term leaderTerm = Term.NONE;
    private LeaseId leaderLease;
    private int epoch;
    private final Set<MachineId> deserters = new HashSet<>();
    private boolean suspecting;
    private Moment trustedAt;
    private Version leaderVersion;
    private Moment freeSince;
    private boolean resigning;
    private boolean deaf;
    private Moment resignedAloneAt;

    public Leadership(StateStore store, EventLoop loop, Peers peers, Platform platform, Earshot earshot,
            RandomGenerator random, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.peers = peers;
        this.member = platform.member();
        this.earshot = earshot;
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

    /** The highest term heard of, by whomever it was shown. */
    public synchronized Term highest() {
        return leaderTerm;
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
            leaderLease = null;
        }
        // Answering on with a lower token would keep workers at this node until their leases end.
        if (leading()) {
            stepDown("a higher term " + other + " exists");
        }
        if (otherLeader != null) {
            listener.following(otherLeader);
        }
    }

    /** Gives the leadership up, when a write has shown that it is lost. */
    public void lost() {
        stepDown("the leader's record has changed");
    }

    /** Whether this node hears workers of whatever leader. */
    private boolean hears(Moment now) {
        return earshot.count(HEARD_WITHIN, now) >= LEAST_HEARD;
    }

    /** Whether giving up without knowing of a node that hears has not been tried for a time. */
    public synchronized boolean mayResignAlone(Duration pause) {
        return resignedAloneAt == null || loop.now().since(resignedAloneAt).compareTo(pause) >= 0;
    }

    /**
     * Gives the lease up because hardly any worker is heard here; the record of terms says so, and for whom. Its key is
     * removed under a guard, so nothing is given up that another has taken. Until the answer comes this node leads on;
     * with none, it tries again when asked to.
     *
     * @param heir a node that hears them, or null if none is known
     */
    public void resign(String heir) {
        giveUp("hears hardly any worker and gives its lease up", heir, Standing.resigned(term.value(), member, heir), "it hears hardly any worker", () -> {
            deaf = true;
            resignedAloneAt = heir == null ? loop.now() : resignedAloneAt;
        });
    }

    /**
     * Gives the lease to another node, because this one is going to end. The others leave it to that node for a moment.
     *
     * @param heir the node that is to take it, or null if it does not matter which
     * @return done when the lease is given up, or when it is clear that it cannot be
     */
    public CompletableFuture<Void> handOver(String heir) {
        return giveUp("hands its lease over", heir, Standing.handedOver(term.value(), heir), "it was handed over", () -> { });
    }

    private CompletableFuture<Void> giveUp(String what, String heir, Map<String, Object> terms, String why,
            Runnable given) {
        int expected;
        Transaction giveUp;
        LeaseId held;
        synchronized (this) {
            if (!leading || resigning) {
                return CompletableFuture.completedFuture(null);
            }
            resigning = true;
            expected = epoch;
            held = lease;
            giveUp = new Transaction().guard(Records.LEADER, leaderVersion).delete(Records.LEADER)
                    .put(Records.TERM, terms);
        }
        LOG.info("term {} {}{}", term, what, heir == null ? "" : " to " + heir);
        return store.commit(giveUp, Urgency.LEASE).handle((commit, failure) -> {
            synchronized (this) {
                resigning = false;
                if (failure != null || epoch != expected) {
                    return null;
                }
                given.run();
            }
            stepDown(commit.applied() ? why : "the leader's record has changed");
            store.revoke(held);
            return null;
        });
    }

    /** A worker was heard of again, so this node may stand like any other. */
    public synchronized void hearsAgain() {
        deaf = false;
    }

    /** Whether this node gave its lease up for want of hearing, and has heard nobody since. */
    public synchronized boolean isDeaf() {
        return deaf;
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
                nobodyLeads();
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

    private void follow(Map<String, Object> record) {
        Term found = new Term(((Number) record.get("term")).longValue());
        String member = (String) record.get("member");
        synchronized (this) {
            if (leaderTerm.isAfter(found)) {
                return;
            }
            if (found.isAfter(leaderTerm)) {
                deserters.clear();
            }
            freeSince = null;
            leaderTerm = found;
            leader = member;
            leaderLease = record.get("lease") instanceof Number id ? new LeaseId(id.longValue()) : null;
        }
        listener.following(member);
    }

    private synchronized void nobodyLeads() {
        freeSince = freeSince == null ? loop.now() : freeSince;
        leader = null;
        leaderLease = null;
        deserters.clear();
    }

    /**
     * A worker has come here. If the leader answered it last, it has left the leader, whose process may have ended:
     * the leader is asked, and if it refuses connections while several workers have left it, its lease is ended at
     * once instead of when it runs out. That is a matter of time alone: whoever leads next takes the key and a higher
     * term as ever, so a leader that is wrongly suspected loses its place, and no more.
     *
     * @return whether it is better to wait for what comes of this than to send the worker back to the leader
     */
    public boolean arrived(MachineId worker, Term shown) {
        int now;
        String suspect;
        synchronized (this) {
            if (leading || leader == null || member.equals(leader) || !shown.equals(leaderTerm)
                    || trustedAt != null && loop.now().since(trustedAt).compareTo(TRUST) < 0) {
                return false;
            }
            deserters.add(worker);
            if (suspecting) {
                return true;
            }
            suspecting = true;
            now = epoch;
            suspect = leader;
        }
        ask(now, suspect, 0, 0);
        return true;
    }

    private void ask(int expected, String suspect, int asked, int refused) {
        peers.signOf(suspect).thenAccept(sign -> {
            LeaseId toEnd = null;
            boolean trusted;
            synchronized (this) {
                trusted = sign == Peers.Sign.ANSWERS;
                if (epoch != expected || !suspect.equals(leader) || trusted || asked >= MOST_QUESTIONS) {
                    suspecting = false;
                    deserters.clear();
                    trustedAt = trusted ? loop.now() : null;
                } else if (sign == Peers.Sign.REFUSES && refused + 1 >= LEAST_REFUSALS
                        && deserters.size() >= LEAST_DESERTERS && leaderLease != null) {
                    suspecting = false;
                    toEnd = leaderLease;
                    leader = null;
                }
            }
            if (trusted) {
                listener.following(suspect);
            } else if (toEnd != null) {
                LOG.info("{} workers have left {}, which refuses connections: its lease is ended", deserters.size(),
                        suspect);
                LeaseId ending = toEnd;
                store.revoke(ending).whenComplete((unused, failure) -> {
                    if (failure != null) {
                        stands(expected, suspect, ending);
                    }
                });
            } else if (suspecting()) {
                loop.after(ASK_AGAIN, () -> ask(expected, suspect, asked + 1,
                        sign == Peers.Sign.REFUSES ? refused + 1 : 0));
            }
        });
    }

    /** The lease could not be ended, so its holder goes on being the leader. */
    private synchronized void stands(int expected, String suspect, LeaseId lasting) {
        if (epoch == expected && leader == null) {
            leader = suspect;
            leaderLease = lasting;
        }
    }

    private synchronized boolean suspecting() {
        return suspecting;
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

    /** Takes the lease if it is this node's turn; see {@link Standing}. */
    private void campaign(int expected, Version seen) {
        store.get(Records.TERM, Urgency.LEASE).whenComplete((counter, unread) -> {
            if (!current(expected)) {
                return;
            }
            if (unread != null || !isOurTurn(counter.map(StateStore.Entry::value).orElse(null))) {
                later(RETRY, expected, () -> look(expected));
                return;
            }
            Moment sentAt = loop.now();
            store.grant(TTL).whenComplete((granted, failure) -> {
                if (!current(expected)) {
                    return;
                }
                if (failure != null) {
                    later(RETRY, expected, () -> look(expected));
                    return;
                }
                claim(expected, seen, granted, sentAt, counter);
            });
        });
    }

    private synchronized boolean isOurTurn(Map<String, Object> terms) {
        Moment now = loop.now();
        Duration free = freeSince == null ? Duration.ZERO : now.since(freeSince);
        return free.compareTo(Standing.after(terms, member, hears(now), deaf)) >= 0;
    }

    private void claim(int expected, Version leaderVersion, LeaseId granted, Moment sentAt,
            Optional<StateStore.Entry> counter) {
        Term counted = counter.map(entry -> new Term(((Number) entry.value().get("term")).longValue()))
                .orElse(Term.NONE);
        Term heard = highest();
        // Workers drop a term below what they have shown, and may have shown one that the counter does not know.
        Term next = (heard.isAfter(counted) ? heard : counted).next();
        Transaction claim = new Transaction()
                .guard(Records.LEADER, leaderVersion)
                .guard(Records.TERM, counter.map(StateStore.Entry::version).orElse(Version.ABSENT))
                .put(Records.TERM, Map.of("term", next.value()))
                .put(Records.LEADER, Map.of("member", member, "term", next.value(), "lease", granted.value()),
                        granted);
        store.commit(claim, Urgency.LEASE).whenComplete((commit, failure) -> {
            if (!current(expected)) {
                return;
            }
            if (failure != null || !commit.applied()) {
                // Unanswered, it may yet be applied; the next look then finds our own name and claims anew.
                later(RETRY, expected, () -> look(expected));
                return;
            }
            Moment noticedAt;
            synchronized (this) {
                noticedAt = freeSince;
                lease = granted;
                leaseSentAt = sentAt;
                renewalSentAt = sentAt;
                renewing = false;
                term = next;
                leading = true;
                leader = member;
                leaderTerm = next;
                this.leaderVersion = commit.revision();
                freeSince = null;
            }
            LOG.info("elected: {} leads in term {}", member, next);
            listener.elected(next, commit.revision(), noticedAt);
            peers.announce(member, next);
            keepRenewing(expected);
        });
    }

    /**
     * Sends a renewal that is due. Called by a timer, and in between by long work: a node that computes slowly can
     * be busy with hundreds of reports or with a round for longer than its lease lasts, and while its timer waited
     * the leadership went round from one starved node to the next, each of which had to load everything anew.
     */
    public void keepUp() {
        int expected;
        Moment sentAt = loop.now();
        LeaseId held;
        synchronized (this) {
            if (!leading || renewing || renewalSentAt != null && sentAt.since(renewalSentAt).compareTo(RENEW) < 0) {
                return;
            }
            renewing = true;
            renewalSentAt = sentAt;
            held = lease;
            expected = epoch;
        }
        store.renew(held).whenComplete((unused, failure) -> {
            synchronized (this) {
                if (epoch != expected) {
                    return;
                }
                renewing = false;
                if (failure == null) {
                    leaseSentAt = Moment.later(leaseSentAt, sentAt);
                } else {
                    // Tried again at the timer's next turn.
                    renewalSentAt = null;
                }
            }
            if (failure != null && StateException.of(failure) == Outcome.NO_SUCH_LEASE) {
                stepDown("the lease has ended");
            }
        });
    }

    private void keepRenewing(int expected) {
        if (current(expected)) {
            keepUp();
            loop.after(RENEWAL_CHECK, () -> keepRenewing(expected));
        }
    }
}
