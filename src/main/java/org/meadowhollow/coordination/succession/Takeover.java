package org.meadowhollow.coordination.succession;

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
public final class Takeover {
    private static final Logger LOG = LoggerFactory.getLogger(Takeover.class);

    private final FencingToken fencingToken;
    private final MonotonicTime noticedAt;
    private final MonotonicTime keyAt;
    private MonotonicTime recordsAt;
    private String records = "none";
    private MonotonicTime firstAt;
    private String first = "";
    private Set<FirstDecision.Check> lastFailing = Set.of();
    private boolean told;

    /**
     * @param noticedAt when this node saw that nobody leads, or null if it did not come to see it
     */
    public Takeover(FencingToken fencingToken, MonotonicTime noticedAt, MonotonicTime keyAt) {
        this.fencingToken = fencingToken;
        this.noticedAt = noticedAt;
        this.keyAt = keyAt;
    }

    /**
     * @param from what they were read from
     */
    public void recordsIn(String from, int count, MonotonicTime now) {
        recordsAt = now;
        records = count + " from " + from;
    }

    /**
     * A round was not begun yet because of these checks; the last to fail is what the first round
     * waited for.
     */
    public void waitsFor(Set<FirstDecision.Check> failing) {
        lastFailing = failing.isEmpty() ? lastFailing : failing;
    }

    public void firstRound(int reported, int needed, int placed, MonotonicTime now) {
        if (firstAt == null) {
            firstAt = now;
            first =
                    placed
                            + " tasks placed with "
                            + reported
                            + " machines heard of "
                            + needed
                            + " needed, last for "
                            + lastFailing;
        }
    }

    /** Whether the line is out, so that nothing more is to be noted. */
    public boolean isTold() {
        return told;
    }

    /** A round for which nearly all machines had reported; says it all with the first. */
    public void fullRound(int tables, MonotonicTime now) {
        if (!told) {
            told = true;
            LOG.info(
                    "takeover in term {}: seen {} s before the key; after it, records in {} s ({}), first round in {} s"
                            + " ({}), full round in {} s; {} tables inherited",
                    fencingToken,
                    seconds(noticedAt, keyAt),
                    seconds(keyAt, recordsAt),
                    records,
                    seconds(keyAt, firstAt),
                    first,
                    seconds(keyAt, now),
                    tables);
        }
    }

    private static String seconds(MonotonicTime from, MonotonicTime to) {
        return from == null || to == null
                ? "?"
                : String.format(Locale.ROOT, "%.2f", to.secondsSince(from));
    }
}
