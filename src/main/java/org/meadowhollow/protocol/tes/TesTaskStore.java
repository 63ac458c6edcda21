package org.meadowhollow.protocol.tes;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.Entry;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * Reads the records of tasks from the key-value store and caches them; a record never changes once
 * its task is accepted. Thread-safe; the lock of the cache is not held while the store is read.
 */
final class TesTaskStore {
    /**
     * The most records in the cache, which evicts the least recently used one. A record takes a few
     * kilobytes.
     */
    private static final int MAX_CACHED_TASKS = 256;

    private final KeyValueStore store;

    @GuardedBy("cache")
    private final Map<String, StoredTask> cache =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, StoredTask> eldest) {
                    return size() > MAX_CACHED_TASKS;
                }
            };

    TesTaskStore(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Loads the record of a task; the future fails with status 404 if there is none.
     *
     * @throws HttpStatusException with status 404 if the text is not a valid task id
     */
    CompletableFuture<StoredTask> load(String id, RequestPriority requestPriority) {
        if (!TesTaskListing.isId(id)) {
            throw noSuchTask();
        }
        synchronized (cache) {
            StoredTask cached = cache.get(id);
            if (cached != null) {
                return CompletableFuture.completedFuture(cached);
            }
        }
        return store.get(StoredTask.recordKey(id), requestPriority)
                .thenApply(entry -> decodeAndCache(id, entry));
    }

    private StoredTask decodeAndCache(String id, Optional<Entry> entry) {
        StoredTask task = StoredTask.decode(entry.orElseThrow(TesTaskStore::noSuchTask).value());
        synchronized (cache) {
            cache.put(id, task);
        }
        return task;
    }

    private static HttpStatusException noSuchTask() {
        return new HttpStatusException(404, "no such task");
    }
}
