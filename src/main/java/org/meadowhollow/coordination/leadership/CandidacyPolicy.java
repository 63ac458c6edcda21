package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Who may take a lease that a deaf leader gave up, and when. After any other end of a leadership
 * everybody stands at once; after this one, first the node that was named, then those that workers
 * come to, then the one that gave up, and last the rest: if nobody hears the workers, the lease
 * goes back to where it was instead of round all nodes.
 */
public final class CandidacyPolicy {
    /** Names the leader that gave up, in the record of terms; absent after any other end. */
    static final String ISOLATED_MEMBER_FIELD = "deaf";

    /** Names the node that it gave up for, or is absent. */
    static final String PREFERRED_SUCCESSOR_FIELD = "heir";

    /**
     * What the node that was named needs to see that the lease is free and to take it, with a slow
     * answer or two.
     */
    static final Duration PREFERRED_SUCCESSOR_HEAD_START = Duration.ofSeconds(1);

    /** In this time workers that go round have come to each node that they can reach. */
    static final Duration REACHABLE_NODES_HEAD_START = Duration.ofSeconds(4);

    /** After this the node that gave up seems to be gone as well. */
    static final Duration ISOLATED_LEADER_HEAD_START = Duration.ofSeconds(6);

    private CandidacyPolicy() {}

    /** The record of terms as a leader leaves it that gives up for want of hearing. */
    public static Map<String, Object> resignationRecord(long term, String member, String heir) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("term", term);
        record.put(ISOLATED_MEMBER_FIELD, member);
        if (heir != null) {
            record.put(PREFERRED_SUCCESSOR_FIELD, heir);
        }
        return record;
    }

    /** The record of terms as a leader leaves it that is going to end. */
    static Map<String, Object> handoverRecord(long term, String heir) {
        return heir == null
                ? Map.of("term", term)
                : Map.of("term", term, PREFERRED_SUCCESSOR_FIELD, heir);
    }

    /**
     * How long after the lease became free this node leaves it to others.
     *
     * @param terms the record of terms, or null if there is none
     * @param hears whether workers have come to this node lately
     * @param deaf whether this node gave a lease up for want of hearing, and has heard nobody since
     */
    public static Duration candidacyDelay(
            Map<String, Object> terms, String member, boolean hears, boolean deaf) {
        Object gaveUp = terms == null ? null : terms.get(ISOLATED_MEMBER_FIELD);
        Object heir = terms == null ? null : terms.get(PREFERRED_SUCCESSOR_FIELD);
        if (hears) {
            return heir == null || heir.equals(member)
                    ? Duration.ZERO
                    : PREFERRED_SUCCESSOR_HEAD_START;
        }
        if (deaf || member.equals(gaveUp)) {
            return REACHABLE_NODES_HEAD_START;
        }
        if (heir == null && gaveUp == null || member.equals(heir)) {
            return Duration.ZERO;
        }
        return gaveUp == null ? PREFERRED_SUCCESSOR_HEAD_START : ISOLATED_LEADER_HEAD_START;
    }
}
