package org.meadowhollow.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.simulation.VirtualEventLoop;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.RecordCodec;

class JobStatusCacheTest {
    private static final JobId JOB = new JobId("req-1");

    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final List<CompletableFuture<KeyValueStore.ChangeBatch>> looks = new ArrayList<>();

    /** Looks that are answered when the test says so, and a first page that is answered at once. */
    private final KeyValueStore store =
            (KeyValueStore)
                    Proxy.newProxyInstance(
                            KeyValueStore.class.getClassLoader(),
                            new Class<?>[] {KeyValueStore.class},
                            (proxy, method, arguments) ->
                                    switch (method.getName()) {
                                        case "list" ->
                                                CompletableFuture.completedFuture(
                                                        new KeyValueStore.Page(
                                                                List.of(),
                                                                false,
                                                                new Revision(10)));
                                        case "watch" -> {
                                            looks.add(new CompletableFuture<>());
                                            yield looks.get(looks.size() - 1);
                                        }
                                        default ->
                                                throw new UnsupportedOperationException(
                                                        method.getName());
                                    });

    private final JobStatusCache cache = new JobStatusCache(store, loop);

    private static KeyValueStore.Change change(boolean cancelled, long version) {
        return new KeyValueStore.Change(
                RecordCodec.job(JOB), Map.of("cancelled", cancelled), new Revision(version));
    }

    private static KeyValueStore.ChangeBatch upTo(long revision, KeyValueStore.Change... changes) {
        return new KeyValueStore.ChangeBatch(new Revision(revision), List.of(changes));
    }

    /**
     * The look sent first is answered last, after what the second one showed has been let go to
     * make room.
     */
    @Test
    void aLookThatIsAnsweredLateBringsNothingOlderBack() {
        cache.beginRead();
        cache.readBarrier();
        loop.run(Duration.ofMillis(250));
        cache.readBarrier();
        loop.run(Duration.ofMillis(250));
        assertEquals(2, looks.size());
        looks.get(1).complete(upTo(30, change(false, 15), change(true, 20)));
        assertEquals(JobStatusCache.CachedStatus.CANCELLED, cache.cachedStatus(JOB));
        for (int other = 2; cache.cachedStatus(JOB) != null; other++) {
            cache.recordRead(new JobId("req-" + other), new Revision(25), false, cache.beginRead());
        }
        assertNotNull(cache.cachedStatus(new JobId("req-2")));
        looks.get(0).complete(upTo(17, change(false, 15)));
        assertEquals(null, cache.cachedStatus(JOB), "it was cancelled since");
    }
}
