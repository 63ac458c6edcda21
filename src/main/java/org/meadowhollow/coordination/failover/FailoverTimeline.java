package org.meadowhollow.coordination.failover;

import java.util.Locale;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the phases of one failover and logs them in one line after the first scheduling round
 * that nearly all machines took part in. Guarded by the leader's lock.
 */
public final class FailoverTimeline {
    private static final Logger LOG = LoggerFactory.getLogger(FailoverTimeline.class);

    private final FencingToken fencingToken;
    private final MonotonicTime vacantSince;
    private final MonotonicTime leaderKeyTakenAt;
    private MonotonicTime recordsLoadedAt;
    private String recordsSummary = "none";
    private MonotonicTime firstRoundAt;
    private String firstRoundSummary = "";
    private Set<FailoverPreconditions.Precondition> lastUnmet = Set.of();
    private boolean logged;

    /**
     * A failover that begins.
     *
     * @param fencingToken of the new leadership
     * @param vacantSince when this node saw that there is no leader, or null if it never did
     * @param leaderKeyTakenAt when the leader record was written
     */
    public FailoverTimeline(
            FencingToken fencingToken, MonotonicTime vacantSince, MonotonicTime leaderKeyTakenAt) {
        this.fencingToken = fencingToken;
        this.vacantSince = vacantSince;
        this.leaderKeyTakenAt = leaderKeyTakenAt;
    }

    /**
     * All records are loaded.
     *
     * @param source what they were read from, for the log
     * @param count how many there are
     */
    public void onRecordsLoaded(String source, int count, MonotonicTime now) {
        recordsLoadedAt = now;
        recordsSummary = count + " from " + source;
    }

    /**
     * A round was not begun because of these preconditions; the last of them are what the first
     * round waited for.
     */
    public void onPreconditionsUnmet(Set<FailoverPreconditions.Precondition> unmet) {
        lastUnmet = unmet.isEmpty() ? lastUnmet : unmet;
    }

    /**
     * A scheduling round is over; only the first one counts.
     *
     * @param reported how many machines had sent a heartbeat
     * @param needed how many of them the round needed
     * @param placed how many tasks it placed
     */
    public void onFirstRound(int reported, int needed, int placed, MonotonicTime now) {
        if (firstRoundAt == null) {
            firstRoundAt = now;
            firstRoundSummary =
                    placed
                            + " tasks placed with "
                            + reported
                            + " machines heard of "
                            + needed
                            + " needed, last for "
                            + lastUnmet;
        }
    }

    /** Whether the line has been logged, so that nothing more is to be measured. */
    public boolean isLogged() {
        return logged;
    }

    /**
     * A scheduling round is over for which nearly all machines had sent a heartbeat; the first one
     * ends the failover and is logged.
     *
     * @param tables how many risk tables were inherited
     */
    public void onFullRound(int tables, MonotonicTime now) {
        if (!logged) {
            logged = true;
            LOG.info(
                    "takeover in term {}: seen {} s before the key; after it, records in {} s ({}), first round in {} s"
                            + " ({}), full round in {} s; {} tables inherited",
                    fencingToken,
                    seconds(vacantSince, leaderKeyTakenAt),
                    seconds(leaderKeyTakenAt, recordsLoadedAt),
                    recordsSummary,
                    seconds(leaderKeyTakenAt, firstRoundAt),
                    firstRoundSummary,
                    seconds(leaderKeyTakenAt, now),
                    tables);
        }
    }

    private static String seconds(MonotonicTime from, MonotonicTime to) {
        return from == null || to == null
                ? "?"
                : String.format(Locale.ROOT, "%.2f", to.secondsSince(from));
    }
}
