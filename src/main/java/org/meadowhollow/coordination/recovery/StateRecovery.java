package org.meadowhollow.coordination.recovery;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyspaceReplica;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the records of earlier leaders into a new leader's memory, and then watches for changes
 * made by users. The records come from the replicas that this node kept as a standby, or else page
 * by page from the key-value store. Guarded by the leader's lock.
 */
public final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(StateRecovery.class);

    /** The delay before a failed request to the key-value store is repeated. */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** The number of records of a replica that are restored in one callback of the event loop. */
    private static final int MAX_RECORDS_PER_CALLBACK = 500;

    static final String CANCELLED_BY_USER = "its user cancelled the job";

    private final RecoveryContext context;
    private final PageReader pageReader;
    private final RecordRestorer restorer;
    private final JobWatcher jobWatcher;
    private final FencingToken fencingToken;
    private final Revision leaderKeyRevision;
    private final HandoverState handoverState;
    private final FailoverTimeline failoverTimeline;
    private Revision recoveredRevision;
    private boolean complete;

    /**
     * Creates the recovery of one leadership.
     *
     * @param leaderKeyRevision the revision of the transaction that wrote the leader record; this
     *     node's replicas must cover it to be used
     */
    public StateRecovery(
            RecoveryContext context,
            RecordRestorer restorer,
            JobRecordApplier jobRecordApplier,
            FencingToken fencingToken,
            Revision leaderKeyRevision,
            HandoverState handoverState,
            FailoverTimeline failoverTimeline) {
        this.context = context;
        this.restorer = restorer;
        this.pageReader = new PageReader(context);
        this.jobWatcher = new JobWatcher(context, pageReader, restorer, jobRecordApplier);
        this.fencingToken = fencingToken;
        this.leaderKeyRevision = leaderKeyRevision;
        this.handoverState = handoverState;
        this.failoverTimeline = failoverTimeline;
    }

    /** Restores the records from this node's replicas, or else reads them page by page. */
    public void start() {
        if (!handoverState.wasStandby()) {
            readJobs();
            return;
        }
        RepeatingSteps.handle(
                context.loop(),
                RepeatingStep.REPLICA_RESTORE,
                handoverState.takeRecords(leaderKeyRevision),
                (replicas, failure) -> {
                    synchronized (context.lock()) {
                        if (!context.listener().isClosed()) {
                            onReplicasTaken(failure == null ? replicas : Optional.empty());
                        }
                    }
                },
                this::leaveToNextLeader);
    }

    /**
     * Ends a recovery from replicas that has failed half done. The leader then makes no progress
     * and releases its lease; the next one begins anew.
     */
    private void leaveToNextLeader() {
        LOG.info("recovery abandoned token={} reason=a replica was not restored", fencingToken);
    }

    /**
     * @param replicas empty if this node's replicas could not be brought up to date
     */
    private void onReplicasTaken(Optional<Map<String, KeyspaceReplica>> replicas) {
        if (replicas.isEmpty()) {
            LOG.info(
                    "full recovery started token={} reason=local replica does not cover the leader record",
                    fencingToken);
            readJobs();
        } else {
            restoreFromReplicas(replicas.get());
        }
    }

    private void restoreFromReplicas(Map<String, KeyspaceReplica> replicas) {
        List<KeyValueStore.Entry> jobs = entriesOf(replicas, RecordKeys.JOB_PREFIX);
        List<KeyValueStore.Entry> tasks = entriesOf(replicas, RecordKeys.TASK_PREFIX);
        List<KeyValueStore.Entry> images = entriesOf(replicas, RecordKeys.IMAGE_PREFIX);
        Revision watchFrom = replicas.get(RecordKeys.JOB_PREFIX).revision();
        int recordCount = replicas.values().stream().mapToInt(KeyspaceReplica::size).sum();
        Revision recoveredUpTo =
                replicas.values().stream()
                        .map(KeyspaceReplica::revision)
                        .min(Comparator.naturalOrder())
                        .orElseThrow();
        Runnable finish =
                () -> {
                    restorer.restoreImageCaches(images);
                    finish("the local replica", recordCount, recoveredUpTo);
                    jobWatcher.watchFromNow(watchFrom);
                };
        restoreInParts(
                jobs,
                restorer::restoreJobs,
                () -> restoreInParts(tasks, restorer::restoreTasks, finish));
    }

    private static List<KeyValueStore.Entry> entriesOf(
            Map<String, KeyspaceReplica> replicas, String prefix) {
        return List.copyOf(replicas.get(prefix).entries());
    }

    /** Restores records, at most {@link #MAX_RECORDS_PER_CALLBACK} in one callback. */
    private void restoreInParts(
            List<KeyValueStore.Entry> entries,
            Consumer<List<KeyValueStore.Entry>> restore,
            Runnable onComplete) {
        int size = Math.min(MAX_RECORDS_PER_CALLBACK, entries.size());
        context.loop()
                .runStep(EventLoopStep.RECOVERY, () -> restore.accept(entries.subList(0, size)));
        context.listener().onRecoveryProgress();
        if (size == entries.size()) {
            onComplete.run();
            return;
        }
        List<KeyValueStore.Entry> rest = entries.subList(size, entries.size());
        context.loop()
                .schedule(
                        Duration.ZERO,
                        () ->
                                RepeatingSteps.run(
                                        context.loop(),
                                        RepeatingStep.REPLICA_RESTORE,
                                        () -> restoreRest(rest, restore, onComplete),
                                        this::leaveToNextLeader));
    }

    private void restoreRest(
            List<KeyValueStore.Entry> rest,
            Consumer<List<KeyValueStore.Entry>> restore,
            Runnable onComplete) {
        synchronized (context.lock()) {
            if (!context.listener().isClosed()) {
                restoreInParts(rest, restore, onComplete);
            }
        }
    }

    /** The revision up to which all records are loaded, or null until they are. */
    public Revision recoveredRevision() {
        return recoveredRevision;
    }

    /** Whether all records of earlier leaders are loaded. */
    public boolean isComplete() {
        return complete;
    }

    private void readJobs() {
        pageReader.readAll(RecordKeys.JOB_PREFIX, restorer::restoreJobs, this::readTasks);
    }

    private void readTasks(Revision watchFrom) {
        pageReader.readAll(
                RecordKeys.TASK_PREFIX,
                restorer::restoreTasks,
                unused -> readImageCaches(watchFrom));
    }

    private void readImageCaches(Revision watchFrom) {
        pageReader.readAll(
                RecordKeys.IMAGE_PREFIX,
                restorer::restoreImageCaches,
                unused -> {
                    finish("the key-value store", pageReader.recordCount(), watchFrom);
                    jobWatcher.watchFromNow(watchFrom);
                });
    }

    /**
     * Completes the recovery after all records have been restored.
     *
     * @param source what the records were taken from, for the log
     * @param recoveredUpTo the revision up to which all records are loaded
     */
    private void finish(String source, int recordCount, Revision recoveredUpTo) {
        int placementCount = restorer.finishRestoration();
        complete = true;
        recoveredRevision = recoveredUpTo;
        failoverTimeline.onRecordsLoaded(source, recordCount, context.loop().now());
        LOG.info(
                "recovery completed token={} jobs={} possibly_running_tasks={}",
                fencingToken,
                restorer.jobCount(),
                placementCount);
    }
}
