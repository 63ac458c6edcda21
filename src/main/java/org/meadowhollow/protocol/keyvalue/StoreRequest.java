package org.meadowhollow.protocol.keyvalue;

import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * One HTTP request to the key-value store.
 *
 * @param path with the query
 * @param body or null
 * @param writeCount keys that the request writes, which count against the limit of writes
 */
// The body is handed on as it is; no request is compared with another.
@SuppressWarnings("ArrayRecordComponent")
record StoreRequest(
        String method, String path, byte[] body, int writeCount, RequestPriority priority) {
    /** A read: no body, and no key that is written. */
    static StoreRequest get(String path, RequestPriority priority) {
        return new StoreRequest("GET", path, null, 0, priority);
    }
}
