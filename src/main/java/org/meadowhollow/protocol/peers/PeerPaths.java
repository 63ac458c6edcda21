package org.meadowhollow.protocol.peers;

/** The HTTP paths of the peer protocol; their words are those of its first version. */
final class PeerPaths {
    /** POST: announces the leader. */
    static final String LEADER = "/leader";

    /** GET: whether the key-value store answers a node, and whether it leads in isolation. */
    static final String STATUS = "/served";

    /** POST: which machines have sent a heartbeat lately. */
    static final String RECENT_HEARTBEATS = "/hearing";

    /** POST: what the leader's risk tables have learned. */
    static final String RISK_TABLES = "/tables";

    /** GET: the digests of the leader's records. */
    static final String DIGESTS = "/digests";

    private PeerPaths() {}
}
