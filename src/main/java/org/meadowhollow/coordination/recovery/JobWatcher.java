package org.meadowhollow.coordination.recovery;

import java.time.Duration;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the job records after the recovery: applies new jobs and cancellations, and reports up to
 * which time all cancellations are known. Guarded by the leader's lock.
 */
final class JobWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatcher.class);

    /**
     * How long the store holds a watch without changes open. The response to a watch proves that
     * all changes up to the time when the watch was sent are known. This timeout is therefore the
     * maximum age of that knowledge, and shortens the time for which workers are answered in an
     * outage.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

    /**
     * How long watches may fail, although other requests may succeed, before all job records are
     * read instead.
     */
    private static final Duration MAX_WATCH_FAILURE = Duration.ofSeconds(6);

    private final RecoveryContext context;
    private final PageReader pageReader;
    private final RecordRestorer restorer;
    private final JobRecordApplier jobRecordApplier;

    /** The time at which the last answered watch was sent. */
    private MonotonicTime lastWatchSentAt;

    JobWatcher(
            RecoveryContext context,
            PageReader pageReader,
            RecordRestorer restorer,
            JobRecordApplier jobRecordApplier) {
        this.context = context;
        this.pageReader = pageReader;
        this.restorer = restorer;
        this.jobRecordApplier = jobRecordApplier;
    }

    /**
     * Requests the changes up to now, which the store returns immediately, and then continues to
     * watch.
     */
    void watchFromNow(Revision after) {
        watch(after, Duration.ZERO);
    }

    private void watch(Revision after, Duration timeout) {
        MonotonicTime sentAt = context.loop().now();
        if (lastWatchSentAt == null) {
            lastWatchSentAt = sentAt;
        }
        RepeatingSteps.handle(
                context.loop(),
                RepeatingStep.JOB_WATCH,
                context.store().watch(RecordKeys.JOB_PREFIX, after, timeout),
                (changes, failure) -> {
                    synchronized (context.lock()) {
                        if (context.listener().isClosed()) {
                            return;
                        }
                        if (failure == null) {
                            onChanges(changes, after, sentAt);
                        } else {
                            onFailure(failure, after, sentAt);
                        }
                    }
                },
                () -> retryLater(after));
    }

    private void onChanges(KeyValueStore.ChangeBatch batch, Revision after, MonotonicTime sentAt) {
        if (after.isAfter(batch.revision())) {
            LOG.info(
                    "watch response ignored revision={} watched_revision={} reason=older than the watched revision",
                    batch.revision(),
                    after);
            retryLater(after);
            return;
        }
        for (KeyValueStore.Change change : batch.changes()) {
            if (change.value() != null) {
                jobRecordApplier.apply(change.key(), change.value(), change.revision());
            }
        }
        lastWatchSentAt = sentAt;
        context.listener().onCancellationsKnownUpTo(sentAt);
        watch(batch.revision(), WATCH_TIMEOUT);
    }

    private void onFailure(Throwable failure, Revision after, MonotonicTime sentAt) {
        if (KeyValueStoreException.outcomeOf(failure) == Outcome.COMPACTED
                || watchesKeepFailing(sentAt)) {
            readAllJobs();
        } else {
            retryLater(after);
        }
    }

    private void retryLater(Revision after) {
        context.loop().schedule(StateRecovery.RETRY_DELAY, () -> watchFromNow(after));
    }

    private void readAllJobs() {
        MonotonicTime begunAt = context.loop().now();
        lastWatchSentAt = begunAt;
        pageReader.readAll(
                RecordKeys.JOB_PREFIX,
                restorer::restoreJobs,
                watchFrom -> {
                    context.listener().onCancellationsKnownUpTo(begunAt);
                    watchFromNow(watchFrom);
                });
    }

    /**
     * Whether watches have failed for long although other requests are answered: the response to
     * the watch may be too large to be received.
     */
    private boolean watchesKeepFailing(MonotonicTime now) {
        return !context.store().seemsUnavailable()
                && now.elapsedSince(lastWatchSentAt).compareTo(MAX_WATCH_FAILURE) > 0;
    }
}
