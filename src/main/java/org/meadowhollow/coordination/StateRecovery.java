package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.lifecycle.ImageCacheRecorder;
import org.meadowhollow.coordination.scheduling.ArrivalForecast;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.coordination.scheduling.ServiceLevelObjectives;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.KeyspaceReplica;
import org.meadowhollow.storage.RecordCodec;
import org.meadowhollow.storage.RecordWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what the state service holds into a new leader's memory, page by page, and then follows
 * what users change. Guarded by the leader's lock.
 */
final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(StateRecovery.class);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /**
     * A watch's answer shows that all was known up to when the watch was sent. Its length is
     * therefore how old that is at most, which is taken off the time for which workers are answered
     * in an outage.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

    /**
     * How long watches may fail, while other calls may be answered, before all jobs are read
     * instead.
     */
    private static final Duration MAX_WATCH_FAILURE = Duration.ofSeconds(6);

    private final LeaderService leaderService;
    private final KeyValueStore store;
    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ServiceLevelObjectives objectives;
    private final ArrivalForecast arrivalForecast;
    private final RecordWriter recordWriter;
    private final ImageCacheRecorder imageCacheRecorder;
    private final FencingToken fencingToken;
    private final Revision leaderKeyRevision;
    private final HandoverState handoverState;
    private final FailoverTimeline failoverTimeline;
    private int recordCount;
    private Revision recoveredRevision;
    private boolean loaded;

    /** When the last look that was answered was begun. */
    private MonotonicTime lastWatchSentAt;

    StateRecovery(
            LeaderService leaderService,
            KeyValueStore store,
            EventLoop loop,
            ClusterState clusterState,
            ServiceLevelObjectives serviceLevelObjectives,
            ArrivalForecast expected,
            RecordWriter recordWriter,
            ImageCacheRecorder images,
            FencingToken fencingToken,
            Revision keyTakenAt,
            HandoverState handoverState,
            FailoverTimeline failoverTimeline) {
        this.leaderService = leaderService;
        this.store = store;
        this.loop = loop;
        this.clusterState = clusterState;
        this.objectives = serviceLevelObjectives;
        this.arrivalForecast = expected;
        this.recordWriter = recordWriter;
        this.imageCacheRecorder = images;
        this.fencingToken = fencingToken;
        this.leaderKeyRevision = keyTakenAt;
        this.handoverState = handoverState;
        this.failoverTimeline = failoverTimeline;
    }

    /** Takes the records in that this node has followed, or else reads them page by page. */
    void start() {
        if (!handoverState.isWarm()) {
            loadJobs(this::loadTasks);
            return;
        }
        handoverState
                .takeRecords(leaderKeyRevision)
                .thenAccept(
                        images -> {
                            synchronized (leaderService) {
                                if (leaderService.isClosed()) {
                                    return;
                                }
                                if (images.isEmpty()) {
                                    LOG.info(
                                            "term {} reads all records: what was followed here does not reach to its key",
                                            fencingToken);
                                    loadJobs(this::loadTasks);
                                } else {
                                    restoreFromReplica(images.get());
                                }
                            }
                        });
    }

    private void restoreFromReplica(Map<String, KeyspaceReplica> followed) {
        KeyspaceReplica jobs = followed.get(RecordCodec.JOB_PREFIX);
        jobs.entries()
                .forEach(entry -> applyJobRecord(entry.key(), entry.value(), entry.revision()));
        leaderService.renewLeadershipIfDue();
        restoreTasks(followed.get(RecordCodec.TASK_PREFIX).entries());
        leaderService.renewLeadershipIfDue();
        restoreImageCaches(List.copyOf(followed.get(RecordCodec.IMAGE_PREFIX).entries()));
        followed.values().forEach(image -> recordCount += image.size());
        loaded(
                jobs.revision(),
                "the image",
                followed.values().stream()
                        .map(KeyspaceReplica::revision)
                        .min(Comparator.comparingLong(Revision::value))
                        .orElseThrow());
    }

    /** The revision up to which all is in, or null before that. */
    Revision recoveredRevision() {
        return recoveredRevision;
    }

    /** Whether all that a predecessor wrote is known. */
    boolean isComplete() {
        return loaded;
    }

    /**
     * Reads all records under a prefix, page by page, then goes on with the revision of the first
     * page.
     */
    private void readPages(
            String prefix,
            String after,
            Revision first,
            Consumer<List<KeyValueStore.Entry>> take,
            Consumer<Revision> then) {
        store.list(prefix, after, RequestPriority.PLACEMENT)
                .whenComplete(
                        (page, failure) -> {
                            synchronized (leaderService) {
                                if (leaderService.isClosed()) {
                                    return;
                                }
                                if (failure != null) {
                                    loop.schedule(
                                            RETRY_DELAY,
                                            () -> readPages(prefix, after, first, take, then));
                                    return;
                                }
                                recordCount += page.entries().size();
                                take.accept(page.entries());
                                leaderService.renewLeadershipIfDue();
                                Revision from = first == null ? page.revision() : first;
                                if (page.hasMore()) {
                                    readPages(
                                            prefix,
                                            page.entries().get(page.entries().size() - 1).key(),
                                            from,
                                            take,
                                            then);
                                } else {
                                    then.accept(from);
                                }
                            }
                        });
    }

    private void loadJobs(Consumer<Revision> then) {
        readPages(
                RecordCodec.JOB_PREFIX,
                null,
                null,
                jobRecords ->
                        jobRecords.forEach(
                                entry ->
                                        applyJobRecord(
                                                entry.key(), entry.value(), entry.revision())),
                then);
    }

    private void loadTasks(Revision watchFrom) {
        readPages(
                RecordCodec.TASK_PREFIX,
                null,
                null,
                this::restoreTasks,
                unused -> loadImages(watchFrom));
    }

    private void restoreTasks(Collection<KeyValueStore.Entry> tasks) {
        for (KeyValueStore.Entry entry : tasks) {
            if (!RecordCodec.restoreShard(entry, clusterState.jobs(), loop.now())) {
                recordWriter.addObsoleteKey(entry.key());
            }
        }
    }

    private void loadImages(Revision watchFrom) {
        readPages(
                RecordCodec.IMAGE_PREFIX,
                null,
                null,
                this::restoreImageCaches,
                unused -> loaded(watchFrom, "pages", watchFrom));
    }

    private void restoreImageCaches(List<KeyValueStore.Entry> notes) {
        imageCacheRecorder.restore(notes, loop.now());
        clusterState.machines().values().forEach(imageCacheRecorder::onMachineRegistered);
    }

    /**
     * @param from what the records were taken from
     * @param reached the revision up to which all is in
     */
    private void loaded(Revision watchFrom, String from, Revision reached) {
        int placed = 0;
        for (Job job : clusterState.jobs().values()) {
            recordWriter.markRestored(job);
            for (Placement placement : job.placements()) {
                clusterState.restorePlacement(placement);
                placed++;
            }
            if (job.isCancelled()) {
                leaderService.stopAllTasks(job, 0, "its user cancelled the job");
            } else if (job.isComplete()) {
                // The predecessor noted the end of the last attempt but did not get to write the
                // job's end.
                recordWriter.endPending(job);
            }
        }
        loaded = true;
        recoveredRevision = reached;
        failoverTimeline.onRecordsLoaded(from, recordCount, loop.now());
        LOG.info(
                "term {} has loaded {} jobs with {} tasks that may be running",
                fencingToken,
                clusterState.jobs().size(),
                placed);
        watchFromNow(watchFrom);
    }

    /** Asks for what has changed by now, which is answered at once, and goes on to watch. */
    private void watchFromNow(Revision after) {
        watch(after, Duration.ZERO);
    }

    private void watch(Revision after, Duration wait) {
        MonotonicTime sentAt = loop.now();
        if (lastWatchSentAt == null) {
            lastWatchSentAt = sentAt;
        }
        store.watch(RecordCodec.JOB_PREFIX, after, wait)
                .whenComplete(
                        (changeBatch, failure) -> {
                            synchronized (leaderService) {
                                if (leaderService.isClosed()) {
                                    return;
                                }
                                if (failure == null && after.isAfter(changeBatch.revision())) {
                                    LOG.info(
                                            "the state service shows changes up to {}, and has shown {}: not taken in",
                                            changeBatch.revision(),
                                            after);
                                    loop.schedule(RETRY_DELAY, () -> watchFromNow(after));
                                } else if (failure == null) {
                                    for (KeyValueStore.Change change : changeBatch.changes()) {
                                        if (change.value() != null) {
                                            applyJobRecord(
                                                    change.key(),
                                                    change.value(),
                                                    change.revision());
                                        }
                                    }
                                    lastWatchSentAt = sentAt;
                                    leaderService.onCancellationsKnownUpTo(sentAt);
                                    watch(changeBatch.revision(), WATCH_TIMEOUT);
                                } else if (KeyValueStoreException.outcomeOf(failure)
                                                == Outcome.COMPACTED
                                        || watchesKeepFailing(sentAt)) {
                                    MonotonicTime begun = loop.now();
                                    lastWatchSentAt = begun;
                                    loadJobs(
                                            from -> {
                                                leaderService.onCancellationsKnownUpTo(begun);
                                                watchFromNow(from);
                                            });
                                } else {
                                    loop.schedule(RETRY_DELAY, () -> watchFromNow(after));
                                }
                            }
                        });
    }

    /**
     * Whether other calls are answered, but watches have not been for long: their answer may be too
     * large to take.
     */
    private boolean watchesKeepFailing(MonotonicTime now) {
        return !store.seemsUnavailable()
                && now.elapsedSince(lastWatchSentAt).compareTo(MAX_WATCH_FAILURE) > 0;
    }

    void applyJobRecord(String key, Map<String, Object> record, Revision version) {
        JobId id = RecordCodec.jobIdOfKey(key);
        Job job = clusterState.jobs().get(id);
        MonotonicTime now = loop.now();
        if (job == null) {
            job = RecordCodec.job(id, record, version, now);
            job.pendingSince(now);
            clusterState.jobs().put(id, job);
            objectives.recordJob(job.spec());
            leaderService.onJobAdmitted(job);
            LOG.info(
                    "job {}: {} of {} tasks of about {} s for team {}, class {}, due in {} s",
                    id,
                    job.spec().kind(),
                    job.spec().taskCount(),
                    job.spec().estimatedRuntimeSeconds(),
                    job.spec().team(),
                    job.spec().jobClass(),
                    job.spec().deadlineSeconds());
            if (objectives.needsSpareMachines(job.spec())) {
                long ageMillis = Math.max(0, loop.wallClockMillis() - job.acceptedAtMillis());
                arrivalForecast.recordArrival(
                        job.spec(),
                        new MonotonicTime(now.nanos() - ageMillis * 1_000_000),
                        Duration.ofMillis(
                                (long) (objectives.startupDelaySeconds(job.spec()) * 1000)));
            }
            if (job.isCancelled() && loaded) {
                // Taken in and cancelled between two looks: there is nothing to stop, but its end
                // is still to be written.
                recordWriter.endPending(job);
                recordWriter.flush();
            }
            return;
        }
        if (!version.isAfter(job.recordRevision())) {
            return;
        }
        job.recordRevision(version);
        if (RecordCodec.isCancelled(record) && !job.isCancelled()) {
            job.cancel(now);
            leaderService.stopAllTasks(job, 0, "its user cancelled the job");
        }
    }
}
