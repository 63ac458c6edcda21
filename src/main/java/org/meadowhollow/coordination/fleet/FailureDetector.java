package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.hearing.Deafness;
import org.meadowhollow.coordination.hearing.Deafness.Hearing;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How well the leader hears its workers, and what the other controllers say of those that it does
 * not hear. A leader whose network failed towards its workers alone took hundreds of healthy
 * machines for silent, returned them to the cloud and was refused others. Guarded by the leader's
 * lock.
 */
public final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);

    /**
     * Reports come up to a quarter late, and a worker that lost its connection turns to the next
     * node a second later.
     */
    private static final double LATEST_REPORT = 1.25;

    private static final Duration NEXT_NODE = Duration.ofSeconds(1);

    /**
     * What a worker of a leader that ended without a word takes before it turns to the next node.
     */
    private static final Duration NO_ANSWER = Duration.ofSeconds(4);

    /**
     * Machines named in one question: a few kilobytes, and more than a share below doubt at a
     * thousand machines.
     */
    private static final int MOST_ASKED = 300;

    /** How long an answer about a machine holds, and how often it is asked for again. */
    private static final Duration ASK_AGAIN = Duration.ofSeconds(3);

    /**
     * Workers whose leader is silent come to another node every 5 s and more; those sent back do
     * not come again.
     */
    private static final Duration WITNESSED = Duration.ofSeconds(6);

    /**
     * Giving up without knowing of a node that hears is not tried again for this long; a cut lasts
     * about as long.
     */
    private static final Duration TRY_AGAIN = Duration.ofSeconds(30);

    /** A list is at times twice as late as usual, and so may be older than the one before it. */
    private static final int LISTS_LATE_BY = 2;

    /** A question to the other controllers, decided under the lock and sent outside it. */
    private record Question(List<MachineId> machines) {}

    private final TermHolder leader;
    private final ClusterState clusterState;
    private final DeploymentSettings deploymentSettings;
    private final EventLoop loop;
    private final PeerGateway peerGateway;
    private final Leadership leadership;
    private final MonotonicTime begunAt;
    private final Map<MachineId, MonotonicTime> askedAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> unheardAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> elsewhereAt = new HashMap<>();
    private MonotonicTime lastListAt;
    private Hearing hearing = Hearing.GOOD;
    private MonotonicTime deafSince;
    private Question question;
    private boolean asking;
    private int answeredAbout;
    private List<PeerReachabilityReport> answers = List.of();
    private MonotonicTime answersAt;

    public FailureDetector(
            TermHolder leader,
            ClusterState clusterState,
            DeploymentSettings deploymentSettings,
            EventLoop loop,
            PeerGateway peerGateway,
            Leadership leadership,
            MonotonicTime begunAt) {
        this.leader = leader;
        this.clusterState = clusterState;
        this.deploymentSettings = deploymentSettings;
        this.loop = loop;
        this.peerGateway = peerGateway;
        this.leadership = leadership;
        this.begunAt = begunAt;
    }

    public Hearing hearing() {
        return hearing;
    }

    /** One look at all machines. What follows from it is done by {@link #act}. */
    public void round(MonotonicTime now) {
        List<Machine> late = new ArrayList<>();
        int known = clusterState.placementsOnUnseenMachines().size();
        boolean allDue = now.elapsedSince(begunAt).compareTo(reportDue().plus(NO_ANSWER)) > 0;
        int lateCount = allDue ? clusterState.placementsOnUnseenMachines().size() : 0;
        for (Machine machine : clusterState.machines().values()) {
            if (machine.releasing()) {
                continue;
            }
            boolean isLate = isLate(machine, now);
            if (isLate) {
                late.add(machine);
            }
            if (!isLate || !isUnlisted(machine)) {
                known++;
                lateCount += isLate ? 1 : 0;
            }
        }
        note(Deafness.of(known, lateCount), known, lateCount, now);
        Set<MachineId> asked = new HashSet<>();
        late.forEach(machine -> asked.add(machine.id()));
        askedAt.keySet().retainAll(asked);
        unheardAt.keySet().retainAll(asked);
        elsewhereAt.keySet().retainAll(asked);
        question = ask(late, now);
    }

    private void note(Hearing heard, int known, int late, MonotonicTime now) {
        if (heard != hearing) {
            LOG.info(
                    "{} of {} machines are late with their reports: hearing is {}",
                    late,
                    known,
                    heard);
        }
        hearing = heard;
        if (heard != Hearing.DEAF) {
            deafSince = null;
        } else if (deafSince == null) {
            deafSince = now;
        }
    }

    private Duration reportDue() {
        return Duration.ofNanos(
                        (long) (deploymentSettings.heartbeatInterval().toNanos() * LATEST_REPORT))
                .plus(NEXT_NODE);
    }

    /**
     * Whether a machine's report is overdue; what it answers directly shows that it lives, and
     * renews no lease.
     */
    public boolean isLate(Machine machine, MonotonicTime now) {
        MonotonicTime last =
                machine.lastAnsweredHeartbeatAt() == null
                        ? machine.knownSince().plus(NO_ANSWER)
                        : machine.lastAnsweredHeartbeatAt();
        return now.elapsedSince(last).compareTo(reportDue()) > 0;
    }

    /**
     * How long nothing at all was heard of a machine, in seconds; so long as this process may have
     * stood still itself.
     */
    double silentS(Machine machine, MonotonicTime now) {
        MonotonicTime last =
                machine.lastContactAt() == null ? machine.knownSince() : machine.lastContactAt();
        return now.secondsSince(last);
    }

    /** The cloud has given a list. */
    public void listed(MonotonicTime now) {
        lastListAt = now;
    }

    /**
     * Whether the cloud has left out a machine that it listed before, or that a report has shown,
     * for longer than its lists are late, as it does with one that it took away. A hint that its
     * silence is its own: what was on it still counts until that is proven. Old reports of machines
     * long gone, the first that a new leader heard, had it give its lease up as deaf.
     */
    boolean isUnlisted(Machine machine) {
        MonotonicTime shownAt =
                machine.lastListedAt() == null ? machine.knownSince() : machine.lastListedAt();
        return lastListAt != null
                && lastListAt
                                .elapsedSince(shownAt)
                                .compareTo(
                                        deploymentSettings
                                                .cloudListingDelay()
                                                .multipliedBy(LISTS_LATE_BY))
                        > 0;
    }

    /**
     * The longest silent go first: those may be returned next, and what others say of them decides.
     */
    private Question ask(List<Machine> late, MonotonicTime now) {
        if (asking || late.isEmpty()) {
            return null;
        }
        List<MachineId> machines =
                late.stream()
                        .filter(machine -> isOld(askedAt.get(machine.id()), now))
                        .sorted(
                                Comparator.comparingDouble(
                                                (Machine machine) -> -silentS(machine, now))
                                        .thenComparing(Machine::id))
                        .limit(MOST_ASKED)
                        .map(Machine::id)
                        .toList();
        if (machines.isEmpty()) {
            return null;
        }
        machines.forEach(machine -> askedAt.put(machine, now));
        asking = true;
        return new Question(machines);
    }

    private static boolean isOld(MonotonicTime at, MonotonicTime now) {
        return at == null || now.elapsedSince(at).compareTo(ASK_AGAIN) >= 0;
    }

    /**
     * Asks what the round found worth asking, and gives the lease up if others hear better. Outside
     * the lock.
     */
    public void act() {
        Question next;
        Deafness.Verdict verdict = null;
        synchronized (leader) {
            next = question;
            question = null;
            if (deafSince != null && answersAt != null && !answersAt.isBefore(deafSince)) {
                MonotonicTime now = loop.now();
                verdict =
                        Deafness.judge(
                                now.elapsedSince(deafSince),
                                answeredAbout,
                                answers,
                                leadership.canResignWithoutSuccessor(TRY_AGAIN));
            }
        }
        if (next != null) {
            peerGateway
                    .queryRecentHeartbeats(next.machines(), WITNESSED)
                    .thenAccept(given -> answered(next, given));
        }
        if (verdict != null && verdict.resigns()) {
            leadership.resign(verdict.heir());
        }
    }

    private void answered(Question asked, List<PeerReachabilityReport> given) {
        synchronized (leader) {
            MonotonicTime now = loop.now();
            asking = false;
            answers = given;
            answersAt = now;
            answeredAbout = asked.machines().size();
            Set<MachineId> heard = new HashSet<>();
            given.forEach(each -> heard.addAll(each.recentlyHeard()));
            for (MachineId machine : asked.machines()) {
                if (!askedAt.containsKey(machine)) {
                    // Heard of in the meantime.
                    continue;
                }
                if (heard.contains(machine)) {
                    elsewhereAt.put(machine, now);
                    unheardAt.remove(machine);
                } else {
                    unheardAt.put(machine, now);
                }
            }
        }
    }

    /**
     * Whether nobody who could be asked has heard a silent machine either. Without an answer from
     * anybody the leader's own evidence has to do, or a machine would be paid for as long as the
     * other controllers are out of reach.
     */
    boolean unheardByAll(Machine machine, MonotonicTime now) {
        MonotonicTime at = unheardAt.get(machine.id());
        return at != null && now.elapsedSince(at).compareTo(ASK_AGAIN.plus(ASK_AGAIN)) <= 0;
    }

    /** When another controller last heard a machine that is silent here, or null. */
    MonotonicTime elsewhereAt(Machine machine) {
        return elsewhereAt.get(machine.id());
    }
}
