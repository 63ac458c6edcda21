package org.meadowhollow.coordination.leadership;

import java.util.Map;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.storage.LeaseId;

/** Encodes and decodes the stored fields of the leader record and of the token counter. */
final class LeadershipRecordCodec {
    /** Both records: the fencing token, as a number. */
    static final String TOKEN_FIELD = "term";

    /** Leader record: the name of the member that leads. */
    private static final String MEMBER_FIELD = "member";

    /** Leader record: the number of the lease that the record is stored under. */
    private static final String LEASE_FIELD = "lease";

    /**
     * Token counter: the leader that released its lease because it was isolated; absent after any
     * other end of a leadership.
     */
    static final String ISOLATED_MEMBER_FIELD = "deaf";

    /** Token counter: the preferred successor of the leader that released its lease, or absent. */
    static final String PREFERRED_SUCCESSOR_FIELD = "heir";

    /**
     * The leader record.
     *
     * @param member the member that leads
     * @param fencingToken the fencing token of its leadership
     * @param lease the lease that the record is stored under, or null if the record does not name
     *     it
     */
    record LeaderRecord(String member, FencingToken fencingToken, LeaseId lease) {}

    private LeadershipRecordCodec() {}

    /** Encodes a leader record whose lease is known. */
    static Map<String, Object> encodeLeader(LeaderRecord leader) {
        return Map.of(
                MEMBER_FIELD,
                leader.member(),
                TOKEN_FIELD,
                leader.fencingToken().value(),
                LEASE_FIELD,
                leader.lease().value());
    }

    /** Decodes a leader record. */
    static LeaderRecord decodeLeader(Map<String, Object> fields) {
        return new LeaderRecord(
                memberOf(fields),
                fencingTokenOf(fields),
                fields.get(LEASE_FIELD) instanceof Number id ? new LeaseId(id.longValue()) : null);
    }

    /** The member that a leader record names. */
    static String memberOf(Map<String, Object> leaderFields) {
        return (String) leaderFields.get(MEMBER_FIELD);
    }

    /** Encodes the token counter that is written in an election. */
    static Map<String, Object> encodeCounter(FencingToken fencingToken) {
        return Map.of(TOKEN_FIELD, fencingToken.value());
    }

    /** The fencing token of either record. */
    static FencingToken fencingTokenOf(Map<String, Object> fields) {
        return new FencingToken(((Number) fields.get(TOKEN_FIELD)).longValue());
    }
}
