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
     * Creates the timeline of a failover whose first phase has ended with the election.
     *
     * @param fencingToken the token of the new leadership
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
     * Records that all records are loaded.
     *
     * @param source what they were read from, for the log
     * @param count the number of records
     */
    public void onRecordsLoaded(String source, int count, MonotonicTime now) {
        recordsLoadedAt = now;
        recordsSummary = count + " source=" + source;
    }

    /**
     * Records that a scheduling round was not begun because these preconditions were unmet. The
     * last nonempty set is logged as the reason why the first round had to wait.
     */
    public void onPreconditionsUnmet(Set<FailoverPreconditions.Precondition> unmet) {
        lastUnmet = unmet.isEmpty() ? lastUnmet : unmet;
    }

    /**
     * Records the end of a scheduling round; calls after the first are ignored.
     *
     * @param reported the number of machines that had sent a heartbeat
     * @param needed the number of them that the round needed
     * @param placed the number of tasks that it placed
     */
    public void onFirstRound(int reported, int needed, int placed, MonotonicTime now) {
        if (firstRoundAt == null) {
            firstRoundAt = now;
            firstRoundSummary =
                    "tasks_placed="
                            + placed
                            + " machines_reported="
                            + reported
                            + " machines_needed="
                            + needed
                            + " waited_for="
                            + lastUnmet;
        }
    }

    /** Whether the line has been logged, so that no further phases need to be measured. */
    public boolean isLogged() {
        return logged;
    }

    /**
     * Records the end of a scheduling round before which nearly all machines had sent a heartbeat.
     * The first such round ends the failover, whose phases are then logged.
     *
     * @param tables the number of risk tables that were inherited
     */
    public void onFullRound(int tables, MonotonicTime now) {
        if (!logged) {
            logged = true;
            LOG.info(
                    "failover completed token={} vacant_s={} records_loaded_s={} records={} first_round_s={}"
                            + " {} full_round_s={} inherited_tables={}",
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
