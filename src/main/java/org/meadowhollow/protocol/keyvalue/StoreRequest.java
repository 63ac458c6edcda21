package org.meadowhollow.protocol.keyvalue;

import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * One HTTP request to the key-value store.
 *
 * @param path the path and query
 * @param body the body, or null
 * @param writeCount the number of keys that the request writes, which count against the write limit
 */
// The body is passed on without a copy, and requests are never compared.
@SuppressWarnings("ArrayRecordComponent")
record StoreRequest(
        String method, String path, byte[] body, int writeCount, RequestPriority priority) {
    /** Returns a read request, which has no body and writes no keys. */
    static StoreRequest get(String path, RequestPriority priority) {
        return new StoreRequest("GET", path, null, 0, priority);
    }
}
