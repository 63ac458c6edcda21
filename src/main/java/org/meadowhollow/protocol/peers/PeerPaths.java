package org.meadowhollow.protocol.peers;

/** The HTTP paths of the peer protocol. Nodes of all versions use them, so they must not change. */
final class PeerPaths {
    /** POST: announces the leader. */
    static final String LEADER = "/leader";

    /**
     * GET: whether the key-value store answers the node, and whether the node is an isolated
     * leader.
     */
    static final String STATUS = "/served";

    /** POST: which machines have sent a heartbeat recently. */
    static final String RECENT_HEARTBEATS = "/hearing";

    /** POST: what the leader's risk tables have learned. */
    static final String RISK_TABLES = "/tables";

    /** GET: the digests of the leader's records. */
    static final String DIGESTS = "/digests";

    private PeerPaths() {}
}
