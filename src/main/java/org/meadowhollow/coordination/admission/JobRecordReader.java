package org.meadowhollow.coordination.admission;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.JobRecordCodec;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordKeys;

/**
 * Reads the records of jobs from the key-value store, and passes the live ones to the {@link
 * JobStatusCache}. Stateless.
 */
final class JobRecordReader {
    /**
     * A job's record as read.
     *
     * @param record the encoded record, which {@link JobRecordCodec} decodes, or {@code
     *     EndedJobCodec} if the job has finished
     * @param finished whether it is the record of a finished job, not of a live one
     */
    record StoredJob(Map<String, Object> record, Revision revision, boolean finished) {
        boolean isCancelled() {
            return JobRecordCodec.isCancelled(record);
        }
    }

    private final KeyValueStore store;
    private final JobStatusCache statusCache;

    JobRecordReader(KeyValueStore store, JobStatusCache statusCache) {
        this.store = store;
        this.statusCache = statusCache;
    }

    /**
     * Reads a job, live or finished; empty if there is none. A job moves only from its live record
     * to its final one, so reading in this order misses none.
     */
    CompletableFuture<Optional<StoredJob>> read(JobId id) {
        JobStatusCache.CacheVersion versionAtRead = statusCache.beginRead();
        return store.get(RecordKeys.job(id), RequestPriority.USER)
                .thenCompose(
                        live -> {
                            if (live.isEmpty()) {
                                return readFinished(id);
                            }
                            StoredJob job = toStoredJob(live.get(), false);
                            if (cache(id, job, versionAtRead)) {
                                readAgainToCache(id);
                            }
                            return CompletableFuture.completedFuture(Optional.of(job));
                        });
    }

    private boolean cache(JobId id, StoredJob job, JobStatusCache.CacheVersion versionAtRead) {
        return statusCache.recordRead(id, job.revision(), job.isCancelled(), versionAtRead);
    }

    /**
     * Reads a live job for the cache alone. The users that ask about it at the same time would
     * otherwise cause a read each, until one that was sent later is answered.
     */
    private void readAgainToCache(JobId id) {
        JobStatusCache.CacheVersion versionAtRead = statusCache.beginRead();
        CompletableFuture<Void> unusedResult =
                store.get(RecordKeys.job(id), RequestPriority.BACKGROUND)
                        .thenAccept(
                                live ->
                                        live.ifPresent(
                                                entry ->
                                                        cache(
                                                                id,
                                                                toStoredJob(entry, false),
                                                                versionAtRead)));
    }

    /** Reads a job that is known to have finished; empty if its record is gone. */
    CompletableFuture<Optional<StoredJob>> readFinished(JobId id) {
        return store.get(RecordKeys.endedJob(id), RequestPriority.USER)
                .thenApply(finished -> finished.map(entry -> toStoredJob(entry, true)));
    }

    private static StoredJob toStoredJob(KeyValueStore.Entry entry, boolean finished) {
        return new StoredJob(entry.value(), entry.revision(), finished);
    }
}
