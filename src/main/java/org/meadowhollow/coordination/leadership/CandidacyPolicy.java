package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which members may stand for election, and when, once the leader record is gone. The token counter
 * says how the last leadership ended:
 *
 * <ul>
 *   <li>It expired, or was revoked: every member may stand at once.
 *   <li>It was handed over: the preferred successor may stand at once, the others after {@link
 *       #PREFERRED_SUCCESSOR_HEAD_START}.
 *   <li>It was released because its holder was isolated from the workers: first the preferred
 *       successor, then members that workers reach, then the member that released it, and last the
 *       rest. So the lease returns to where it was if no member is reached by workers, instead of
 *       passing through all of them.
 * </ul>
 *
 * <p>The delays only save failovers. Safety does not depend on them: the leader record is written
 * with a compare-and-swap by whoever stands. All functions are pure.
 */
public final class CandidacyPolicy {
    /** What the preferred successor needs to see the key vacant and take it, with slow replies. */
    static final Duration PREFERRED_SUCCESSOR_HEAD_START = Duration.ofSeconds(1);

    /**
     * Within this time workers that try one controller after another have reached each controller
     * that they can reach.
     */
    static final Duration REACHABLE_NODES_HEAD_START = Duration.ofSeconds(4);

    /** After this the member that released the lease has probably failed as well. */
    static final Duration ISOLATED_LEADER_HEAD_START = Duration.ofSeconds(6);

    private CandidacyPolicy() {}

    /**
     * The token counter as a leader leaves it that releases its lease because it is isolated.
     *
     * @param fencingToken of its leadership
     * @param member its name
     * @param preferredSuccessor the member that should be elected, or null if none is known
     */
    public static Map<String, Object> resignationRecord(
            long fencingToken, String member, String preferredSuccessor) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put(LeadershipRecordCodec.TOKEN_FIELD, fencingToken);
        record.put(LeadershipRecordCodec.ISOLATED_MEMBER_FIELD, member);
        if (preferredSuccessor != null) {
            record.put(LeadershipRecordCodec.PREFERRED_SUCCESSOR_FIELD, preferredSuccessor);
        }
        return record;
    }

    /**
     * The token counter as a leader leaves it whose process is about to end.
     *
     * @param fencingToken of its leadership
     * @param preferredSuccessor the member that should be elected, or null if any may be
     */
    static Map<String, Object> handoverRecord(long fencingToken, String preferredSuccessor) {
        return preferredSuccessor == null
                ? Map.of(LeadershipRecordCodec.TOKEN_FIELD, fencingToken)
                : Map.of(
                        LeadershipRecordCodec.TOKEN_FIELD,
                        fencingToken,
                        LeadershipRecordCodec.PREFERRED_SUCCESSOR_FIELD,
                        preferredSuccessor);
    }

    /**
     * How long after the leader record disappeared a member leaves the election to others.
     *
     * @param counter the token counter, or null if there is none
     * @param member the member that asks
     * @param workersReachMember whether several workers have reached it lately
     * @param isolated whether it released a lease because it was isolated, and no worker has
     *     reached it since
     * @return zero if it may stand at once
     */
    public static Duration candidacyDelay(
            Map<String, Object> counter,
            String member,
            boolean workersReachMember,
            boolean isolated) {
        Object isolatedMember = read(counter, LeadershipRecordCodec.ISOLATED_MEMBER_FIELD);
        Object preferred = read(counter, LeadershipRecordCodec.PREFERRED_SUCCESSOR_FIELD);
        boolean releasedByIsolated = isolatedMember != null;
        boolean isPreferred = member.equals(preferred);
        if (workersReachMember) {
            return preferred == null || isPreferred
                    ? Duration.ZERO
                    : PREFERRED_SUCCESSOR_HEAD_START;
        }
        if (isolated || member.equals(isolatedMember)) {
            return REACHABLE_NODES_HEAD_START;
        }
        if (isPreferred || (preferred == null && !releasedByIsolated)) {
            return Duration.ZERO;
        }
        return releasedByIsolated ? ISOLATED_LEADER_HEAD_START : PREFERRED_SUCCESSOR_HEAD_START;
    }

    private static Object read(Map<String, Object> counter, String field) {
        return counter == null ? null : counter.get(field);
    }
}
