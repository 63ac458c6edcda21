package org.meadowhollow.protocol.tes;

import java.util.Map;
import org.meadowhollow.protocol.MessageReader;

/**
 * The record of a task in the key-value store. It never changes once the task is accepted, and it
 * is never deleted.
 *
 * @param createdMillis the creation time of the task in milliseconds since the epoch
 * @param entryKey the key of the task's entry in the list of tasks, which holds the state of the
 *     task
 * @param digest the SHA-256 of the document in hex, which distinguishes a repeated request from a
 *     different one with the same idempotency key
 * @param document the task that the client sent, reduced to the fields that the API names
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

    /** Returns the key of the record of a task. */
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
