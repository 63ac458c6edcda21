package org.meadowhollow.protocol.peers;

/** The HTTP paths of the peer protocol. Nodes of all versions use them, so they must not change. */
final class PeerPaths {
    /** POST: announces the leader. */
    static final String LEADER = "/leader";

    /**
     * GET: whether the key-value store serves the node, and whether the node is an isolated leader.
     */
    static final String STATUS = "/served";

    /** POST: asks which machines have sent the node a heartbeat recently. */
    static final String RECENT_HEARTBEATS = "/hearing";

    /** POST: requests new samples or full tables of the leader's risk tables. */
    static final String RISK_TABLES = "/tables";

    /** GET: the digests of the leader's records. */
    static final String DIGESTS = "/digests";

    private PeerPaths() {}
}
