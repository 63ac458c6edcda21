package org.meadowhollow.coordination.leadership;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The rules that decide which members may stand for election, and when, once the leader record is
 * gone. The token counter tells how the last leadership ended:
 *
 * <ul>
 *   <li>Its lease expired or was revoked: every member may stand at once.
 *   <li>It was handed over: the preferred successor may stand at once, the others after {@link
 *       #PREFERRED_SUCCESSOR_HEAD_START}.
 *   <li>The lease was released because its holder was isolated from the workers: first the
 *       preferred successor, then members that workers reach, then the member that released it, and
 *       last the rest. If workers reach no member, the lease thus returns to its former holder
 *       instead of passing through all members.
 * </ul>
 *
 * <p>The delays only avoid unnecessary failovers. Safety does not depend on them: every candidate
 * writes the leader record with a compare-and-swap. All functions are pure.
 */
public final class CandidacyPolicy {
    /**
     * The time that the preferred successor needs to see that the leader record is gone and to
     * write its own, with slow replies.
     */
    static final Duration PREFERRED_SUCCESSOR_HEAD_START = Duration.ofSeconds(1);

    /**
     * The delay of the member that released the lease. Within this time, workers that try one
     * controller after another have reached each controller that they can reach.
     */
    static final Duration REACHABLE_NODES_HEAD_START = Duration.ofSeconds(4);

    /**
     * The delay of the remaining members. After this time, the member that released the lease has
     * probably failed as well.
     */
    static final Duration ISOLATED_LEADER_HEAD_START = Duration.ofSeconds(6);

    private CandidacyPolicy() {}

    /**
     * The token counter that a leader writes when it releases its lease because it is isolated.
     *
     * @param fencingToken the fencing token of its leadership
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
     * The token counter that a leader writes when its process is about to end.
     *
     * @param fencingToken the fencing token of its leadership
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
     * The time for which a member leaves the election to others after the leader record
     * disappeared.
     *
     * @param counter the token counter, or null if there is none
     * @param member the name of the candidate
     * @param workersReachMember whether several workers have reached the candidate recently
     * @param isolated whether the candidate released a lease because it was isolated, and no worker
     *     has reached it since
     * @return zero if it may stand at once
     */
    public static Duration candidacyDelay(
            Map<String, Object> counter,
            String member,
            boolean workersReachMember,
            boolean isolated) {
        Object isolatedMember = readField(counter, LeadershipRecordCodec.ISOLATED_MEMBER_FIELD);
        Object preferred = readField(counter, LeadershipRecordCodec.PREFERRED_SUCCESSOR_FIELD);
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

    private static Object readField(Map<String, Object> counter, String field) {
        return counter == null ? null : counter.get(field);
    }
}
