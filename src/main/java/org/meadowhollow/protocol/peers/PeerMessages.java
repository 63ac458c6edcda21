package org.meadowhollow.protocol.peers;

/**
 * The messages between controllers as Kryo writes them. Kryo writes no names, but it orders the
 * components of a record by their names: renaming a component, or changing its type, changes the
 * bytes that nodes of other versions read. The names must therefore not change.
 */
// Wire format: Kryo writes the arrays directly, and messages are never compared.
@SuppressWarnings("ArrayRecordComponent")
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Announces the leader.
     *
     * @param member the leader's name
     * @param term the leader's fencing token
     */
    record LeaderMessage(String member, long term) {}

    /**
     * A controller's status.
     *
     * @param served whether the key-value store serves this controller
     * @param deaf whether this controller leads and misses the heartbeats of many workers
     */
    record StatusMessage(boolean served, boolean deaf) {}

    /**
     * Asks a controller which of the given machines have recently sent it a heartbeat.
     *
     * @param withinMillis heartbeats count if they arrived within this time before the response, in
     *     milliseconds
     */
    record RecentHeartbeatsRequest(String[] machines, long withinMillis) {}

    /**
     * The response to a {@link RecentHeartbeatsRequest}.
     *
     * @param served whether the key-value store serves this controller
     * @param heard one bit for each machine, in the order of the request, in 64-bit words with the
     *     lowest bit first
     */
    record RecentHeartbeatsMessage(boolean served, long[] heard) {}

    /**
     * Asks a leader for new samples of its risk tables or for full tables, and describes the
     * requesting node.
     *
     * @param form the format version of the request
     * @param incarnation the incarnation of the requesting process
     * @param program the software version of the requesting process
     * @param schema the version of the stored data that the requesting process can read
     * @param revision the store revision up to which the requesting node's replica is current
     * @param term the fencing token of the leader from which the requesting node has its tables
     * @param after the number of the last sample that the requesting node has
     * @param afterMachine the last machine of the previous page of a paged response, or empty
     */
    record RiskTablesRequest(
            int form,
            String member,
            long incarnation,
            String zone,
            String program,
            int schema,
            long revision,
            long term,
            long after,
            String afterMachine) {}

    /**
     * An envelope that lets a receiver check the format version and the integrity of a message
     * before it decodes it.
     *
     * @param form the format version of the body
     * @param checksum the CRC-32C of the body
     */
    record ChecksummedMessage(int form, int checksum, byte[] body) {}

    /**
     * The response to a {@link RiskTablesRequest}: one column for each property of the machines'
     * entries, all of the same length.
     *
     * @param term the leader's fencing token
     * @param upTo the number of the last sample
     * @param whole whether whole tables are sent instead of samples
     * @param more whether further machines follow in another response
     */
    record RiskTablesMessage(
            long term,
            long upTo,
            boolean whole,
            boolean more,
            String[] machines,
            int[] incarnations,
            long[] sessions,
            long[] seqs,
            int[][] tables,
            long[][] samples) {}

    /**
     * The digests of a leader's records: one column for each property of the parts.
     *
     * @param records how many records each part has
     * @param sums the sum of the hashes of each part's records
     * @param unsettled the parts that are being written and must not be compared
     */
    record DigestsMessage(String[] parts, int[] records, long[] sums, String[] unsettled) {}
}
