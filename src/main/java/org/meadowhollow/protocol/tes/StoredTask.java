package org.meadowhollow.protocol.tes;

import java.util.Map;
import org.meadowhollow.protocol.MessageReader;

/**
 * The record of a task that the key-value store keeps for ever; it never changes once accepted.
 *
 * @param createdMillis the time of its creation, in milliseconds since 1970
 * @param entryKey the key of its entry in the list of tasks, which holds its state
 * @param digest the SHA-256 of the document in hex, which tells a repeated request from another
 * @param document the task as its client sent it
 */
record StoredTask(
        String team,
        long createdMillis,
        String entryKey,
        String digest,
        Map<String, Object> document) {
    private static final String KEY_PREFIX = "tes/";
    private static final String TEAM = "team";
    private static final String CREATED_MILLIS = "created";
    private static final String ENTRY_KEY = "entry";
    private static final String DIGEST = "digest";
    private static final String DOCUMENT = "document";

    /** The key of the record of a task. */
    static String recordKey(String id) {
        return KEY_PREFIX + id;
    }

    Map<String, Object> encode() {
        return MessageReader.mapOf(
                TEAM,
                team,
                CREATED_MILLIS,
                createdMillis,
                ENTRY_KEY,
                entryKey,
                DIGEST,
                digest,
                DOCUMENT,
                document);
    }

    @SuppressWarnings("unchecked")
    static StoredTask decode(Map<String, Object> record) {
        return new StoredTask(
                (String) record.get(TEAM),
                ((Number) record.get(CREATED_MILLIS)).longValue(),
                (String) record.get(ENTRY_KEY),
                (String) record.get(DIGEST),
                (Map<String, Object>) record.get(DOCUMENT));
    }
}
