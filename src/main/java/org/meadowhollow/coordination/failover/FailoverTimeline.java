package org.meadowhollow.coordination.failover;

import java.util.Locale;
import java.util.Set;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The phases of one takeover, as one line of the log once the first full round is over. Guarded by
 * the leader's lock.
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
     * @param noticedAt when this node saw that nobody leads, or null if it did not come to see it
     */
    public FailoverTimeline(
            FencingToken fencingToken, MonotonicTime noticedAt, MonotonicTime keyAt) {
        this.fencingToken = fencingToken;
        this.vacantSince = noticedAt;
        this.leaderKeyTakenAt = keyAt;
    }

    /**
     * @param from what they were read from
     */
    public void onRecordsLoaded(String from, int count, MonotonicTime now) {
        recordsLoadedAt = now;
        recordsSummary = count + " from " + from;
    }

    /**
     * A round was not begun yet because of these checks; the last to fail is what the first round
     * waited for.
     */
    public void onPreconditionsUnmet(Set<FailoverPreconditions.Precondition> failing) {
        lastUnmet = failing.isEmpty() ? lastUnmet : failing;
    }

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

    /** Whether the line is out, so that nothing more is to be noted. */
    public boolean isLogged() {
        return logged;
    }

    /** A round for which nearly all machines had reported; says it all with the first. */
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
