package org.meadowhollow.coordination.recovery;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyspaceReplica;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the records of earlier leaders into a new leader's memory, from what this node followed as
 * a standby or else page by page from the key-value store, and then watches what users change.
 * Guarded by the leader's lock.
 */
public final class StateRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(StateRecovery.class);

    /** The pause before a request to the key-value store that failed is sent again. */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

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
     * @param leaderKeyRevision the revision of the transaction that wrote the leader key; what was
     *     followed here must reach to it
     */
    public StateRecovery(
            RecoveryContext context,
            RecordRestorer restorer,
            JobRecordApplier jobRecords,
            FencingToken fencingToken,
            Revision leaderKeyRevision,
            HandoverState handoverState,
            FailoverTimeline failoverTimeline) {
        this.context = context;
        this.restorer = restorer;
        this.pageReader = new PageReader(context);
        this.jobWatcher = new JobWatcher(context, pageReader, restorer, jobRecords);
        this.fencingToken = fencingToken;
        this.leaderKeyRevision = leaderKeyRevision;
        this.handoverState = handoverState;
        this.failoverTimeline = failoverTimeline;
    }

    /** Takes over the records that this node has followed, or else reads them page by page. */
    // A replica that cannot be brought up to date counts as absent, for which the chain reads all.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void start() {
        if (!handoverState.isWarm()) {
            readJobs();
            return;
        }
        handoverState
                .takeRecords(leaderKeyRevision)
                .thenAccept(
                        replicas -> {
                            synchronized (context.lock()) {
                                if (context.listener().isClosed()) {
                                    return;
                                }
                                if (replicas.isEmpty()) {
                                    LOG.info(
                                            "term {} reads all records: the local replica does not reach the leader key",
                                            fencingToken);
                                    readJobs();
                                } else {
                                    restoreFromReplicas(replicas.get());
                                }
                            }
                        });
    }

    private void restoreFromReplicas(Map<String, KeyspaceReplica> replicas) {
        KeyspaceReplica jobs = replicas.get(RecordKeys.JOB_PREFIX);
        restorer.restoreJobs(jobs.entries());
        context.listener().renewLeadershipIfDue();
        restorer.restoreTasks(replicas.get(RecordKeys.TASK_PREFIX).entries());
        context.listener().renewLeadershipIfDue();
        restorer.restoreImageCaches(List.copyOf(replicas.get(RecordKeys.IMAGE_PREFIX).entries()));
        int recordCount = replicas.values().stream().mapToInt(KeyspaceReplica::size).sum();
        Revision reached =
                replicas.values().stream()
                        .map(KeyspaceReplica::revision)
                        .min(Comparator.comparingLong(Revision::value))
                        .orElseThrow();
        finish("the image", recordCount, reached);
        jobWatcher.watchFromNow(jobs.revision());
    }

    /** The revision up to which all records are in, or null before that. */
    public Revision recoveredRevision() {
        return recoveredRevision;
    }

    /** Whether all that earlier leaders wrote is known. */
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
                    finish("pages", pageReader.recordCount(), watchFrom);
                    jobWatcher.watchFromNow(watchFrom);
                });
    }

    /**
     * @param source what the records were taken from, for the log
     * @param reached the revision up to which all is in
     */
    private void finish(String source, int recordCount, Revision reached) {
        int placementCount = restorer.finish();
        complete = true;
        recoveredRevision = reached;
        failoverTimeline.onRecordsLoaded(source, recordCount, context.loop().now());
        LOG.info(
                "term {} has loaded {} jobs with {} tasks that may be running",
                fencingToken,
                restorer.jobCount(),
                placementCount);
    }
}
