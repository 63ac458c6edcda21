package org.meadowhollow.coordination.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.Revision;

/**
 * The bounded table of job states in a {@link JobStatusCache}, which guards it by its monitor. The
 * job that was added first is evicted first. A cached state is only replaced by that of a later
 * revision; since the revision is lost when an entry is dropped, {@link #generation} and {@link
 * #evictions} show whether that has happened.
 */
final class JobStatusEntries {
    /**
     * The maximum number of cached jobs: a few times the number that is live at the same time in
     * the largest known deployments.
     */
    private static final int MAX_CACHED_JOBS = 8000;

    private record CacheEntry(JobStatusCache.CachedStatus status, Revision revision) {}

    private final Map<JobId, CacheEntry> entries = new LinkedHashMap<>();
    private int generation;
    private long evictions;

    /** The last known state of a job; empty if it is not cached. */
    Optional<JobStatusCache.CachedStatus> find(JobId id) {
        return Optional.ofNullable(entries.get(id)).map(CacheEntry::status);
    }

    /** Caches a job's state, unless the same or a later revision is cached already. */
    void update(JobId id, JobStatusCache.CachedStatus status, Revision revision) {
        CacheEntry previous = entries.get(id);
        if (previous != null && !revision.isAfter(previous.revision())) {
            return;
        }
        entries.put(id, new CacheEntry(status, revision));
        if (entries.size() > MAX_CACHED_JOBS) {
            Iterator<JobId> eldest = entries.keySet().iterator();
            eldest.next();
            eldest.remove();
            evictions++;
        }
    }

    /** Drops everything and starts a new generation. */
    void clear() {
        entries.clear();
        generation++;
    }

    /** The number of times that the table was cleared. */
    int generation() {
        return generation;
    }

    /** The number of entries that were evicted one by one. */
    long evictions() {
        return evictions;
    }
}
