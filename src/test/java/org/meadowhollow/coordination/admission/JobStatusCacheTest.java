package org.meadowhollow.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.simulation.VirtualEventLoop;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordKeys;

/** Tests that the cache keeps no stale state when requests are answered out of order. */
class JobStatusCacheTest {
    private static final JobId JOB = new JobId("req-1");

    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final List<CompletableFuture<KeyValueStore.ChangeBatch>> watchRequests =
            new ArrayList<>();

    /** The answer to list requests: an empty page, at once unless a test replaces it. */
    private CompletableFuture<KeyValueStore.Page> firstPage =
            CompletableFuture.completedFuture(emptyPageAt(10));

    /** The test completes the watch requests itself. */
    private final KeyValueStore store =
            (KeyValueStore)
                    Proxy.newProxyInstance(
                            KeyValueStore.class.getClassLoader(),
                            new Class<?>[] {KeyValueStore.class},
                            (proxy, method, arguments) ->
                                    switch (method.getName()) {
                                        case "list" -> firstPage;
                                        case "watch" -> {
                                            watchRequests.add(new CompletableFuture<>());
                                            yield watchRequests.get(watchRequests.size() - 1);
                                        }
                                        default ->
                                                throw new UnsupportedOperationException(
                                                        method.getName());
                                    });

    private final JobStatusCache cache = new JobStatusCache(store, loop);

    private static KeyValueStore.Page emptyPageAt(long revision) {
        return new KeyValueStore.Page(List.of(), false, new Revision(revision));
    }

    private static KeyValueStore.Change change(boolean cancelled, long revision) {
        return new KeyValueStore.Change(
                RecordKeys.job(JOB), Map.of("cancelled", cancelled), new Revision(revision));
    }

    private static KeyValueStore.ChangeBatch changesUpTo(
            long revision, KeyValueStore.Change... changes) {
        return new KeyValueStore.ChangeBatch(new Revision(revision), List.of(changes));
    }

    /**
     * Guards against a finished job that stays live in the cache: it was read before the revision
     * from which changes are followed was known, so its end may be among the changes before it.
     */
    @Test
    void readSentBeforeChangesAreFollowedIsNotCached() {
        firstPage = new CompletableFuture<>();
        JobStatusCache.CacheVersion versionAtRead = cache.beginRead();
        firstPage.complete(emptyPageAt(10));
        assertTrue(
                cache.recordRead(JOB, new Revision(5), false, versionAtRead),
                "it has to be read again");
        assertEquals(Optional.empty(), cache.cachedStatus(JOB));
        assertFalse(cache.recordRead(JOB, new Revision(5), false, cache.beginRead()));
        assertEquals(Optional.of(JobStatusCache.CachedStatus.LIVE), cache.cachedStatus(JOB));
    }

    /**
     * The sync sent first is answered last, after the state that the second one returned has been
     * evicted.
     */
    @Test
    void lateAnswerOfEarlierSyncRestoresNoStaleStatus() {
        cache.beginRead();
        CompletableFuture<Void> unusedFirst = cache.readBarrier();
        loop.run(Duration.ofMillis(250));
        CompletableFuture<Void> unusedSecond = cache.readBarrier();
        loop.run(Duration.ofMillis(250));
        assertEquals(2, watchRequests.size());
        watchRequests.get(1).complete(changesUpTo(30, change(false, 15), change(true, 20)));
        assertEquals(Optional.of(JobStatusCache.CachedStatus.CANCELLED), cache.cachedStatus(JOB));
        for (int other = 2; cache.cachedStatus(JOB).isPresent(); other++) {
            cache.recordRead(new JobId("req-" + other), new Revision(25), false, cache.beginRead());
        }
        assertTrue(cache.cachedStatus(new JobId("req-2")).isPresent());
        watchRequests.get(0).complete(changesUpTo(17, change(false, 15)));
        assertEquals(
                Optional.empty(), cache.cachedStatus(JOB), "the job was cancelled in the meantime");
    }
}
