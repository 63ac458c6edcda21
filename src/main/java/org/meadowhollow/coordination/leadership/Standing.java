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
public final class Standing {
    /** Names the leader that gave up, in the record of terms; absent after any other end. */
    static final String DEAF = "deaf";

    /** Names the node that it gave up for, or is absent. */
    static final String HEIR = "heir";

    /**
     * What the node that was named needs to see that the lease is free and to take it, with a slow
     * answer or two.
     */
    static final Duration FOR_THE_HEIR = Duration.ofSeconds(1);

    /** In this time workers that go round have come to each node that they can reach. */
    static final Duration FOR_THOSE_WHO_HEAR = Duration.ofSeconds(4);

    /** After this the node that gave up seems to be gone as well. */
    static final Duration FOR_THE_DEAF = Duration.ofSeconds(6);

    private Standing() {}

    /** The record of terms as a leader leaves it that gives up for want of hearing. */
    public static Map<String, Object> resigned(long term, String member, String heir) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("term", term);
        record.put(DEAF, member);
        if (heir != null) {
            record.put(HEIR, heir);
        }
        return record;
    }

    /** The record of terms as a leader leaves it that is going to end. */
    static Map<String, Object> handedOver(long term, String heir) {
        return heir == null ? Map.of("term", term) : Map.of("term", term, HEIR, heir);
    }

    /**
     * How long after the lease became free this node leaves it to others.
     *
     * @param terms the record of terms, or null if there is none
     * @param hears whether workers have come to this node lately
     * @param deaf whether this node gave a lease up for want of hearing, and has heard nobody since
     */
    public static Duration after(
            Map<String, Object> terms, String member, boolean hears, boolean deaf) {
        Object gaveUp = terms == null ? null : terms.get(DEAF);
        Object heir = terms == null ? null : terms.get(HEIR);
        if (hears) {
            return heir == null || heir.equals(member) ? Duration.ZERO : FOR_THE_HEIR;
        }
        if (deaf || member.equals(gaveUp)) {
            return FOR_THOSE_WHO_HEAR;
        }
        if (heir == null && gaveUp == null || member.equals(heir)) {
            return Duration.ZERO;
        }
        return gaveUp == null ? FOR_THE_HEIR : FOR_THE_DEAF;
    }
}
