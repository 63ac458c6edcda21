package org.meadowhollow.protocol.peers;

/**
 * The messages between controllers as Kryo writes them. Kryo writes no names, but it orders the
 * components of a record by their names: renaming a component, or changing its type, changes the
 * bytes that nodes of other versions read. The names therefore stay as the first version had them.
 */
// Kryo writes the arrays as they are, and no message is compared with another: wire format.
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
     * @param served whether the key-value store answers this controller
     * @param deaf whether this controller leads and misses the heartbeats of many workers
     */
    record StatusMessage(boolean served, boolean deaf) {}

    /**
     * Asks which of some machines have sent a heartbeat to a controller lately.
     *
     * @param withinMillis the time before the answer that counts, in milliseconds
     */
    record RecentHeartbeatsRequest(String[] machines, long withinMillis) {}

    /**
     * The answer to a {@link RecentHeartbeatsRequest}.
     *
     * @param served whether the key-value store answers this controller
     * @param heard a bit for each machine of the request, in the request's order, in words of 64
     *     bits, the lowest first
     */
    record RecentHeartbeatsMessage(boolean served, long[] heard) {}

    /**
     * Asks a leader for what its risk tables have learned, and says what the asking node is.
     *
     * @param form the format version of the request
     * @param incarnation of the asking process
     * @param program the software version of the asking process
     * @param schema the version of the stored data that the asking process can read
     * @param revision up to which the asking node's replica has followed the store
     * @param term the fencing token of the leader from whom the asking node has its tables
     * @param after the last sample that the asking node has
     * @param afterMachine where the previous part of a divided answer ended, or empty
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
     * The answer to a {@link RiskTablesRequest}: one column for each property of the machines'
     * entries, all of the same length.
     *
     * @param term the leader's fencing token
     * @param upTo the number of the last sample
     * @param whole whether tables are sent in full
     * @param more whether further machines follow in another answer
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
