package org.meadowhollow.coordination.rounds;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.coordination.scheduling.PlacementRound;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies a round's placement decisions to the jobs and machines, and marks the changed records to
 * be written; starts are sent once these are persisted. Owns the counts of placements so far.
 * Guarded by the leader's lock.
 */
final class PlacementApplier {
    private static final Logger LOG = LoggerFactory.getLogger(PlacementApplier.class);

    private final RoundContext context;
    private long placedByRisk;
    private long placedByCapacity;

    PlacementApplier(RoundContext context) {
        this.context = context;
    }

    /** Applies a round's decisions, in their order. */
    void apply(List<PlacementRound.Decision> decisions, MonotonicTime now) {
        Map<JobId, AttemptNumber> gangAttempts = new HashMap<>();
        for (PlacementRound.Decision decision : decisions) {
            applyOne(decision, gangAttempts, now);
        }
        if (!decisions.isEmpty()) {
            // Operators' tools match this line, so its text must not change.
            LOG.info(
                    "placed {} tasks; so far {} by risk, {} by room alone",
                    decisions.size(),
                    placedByRisk,
                    placedByCapacity);
        }
    }

    private void applyOne(
            PlacementRound.Decision decision,
            Map<JobId, AttemptNumber> gangAttempts,
            MonotonicTime now) {
        Job job = context.clusterState().jobs().get(decision.spec().id());
        Machine machine = context.clusterState().machines().get(decision.machine());
        // All tasks of a gang share one attempt number.
        AttemptNumber attemptNumber =
                job.spec().kind() == JobKind.GANG
                        ? gangAttempts.computeIfAbsent(job.id(), unused -> job.gangAttemptNumber())
                        : job.nextAttemptNumber(decision.task());
        Placement placement =
                job.addPlacement(
                        decision.task(), attemptNumber, machine.id(), machine.incarnation(), now);
        if (job.secondaryRecord() != null) {
            job.secondaryRecord()
                    .recordPlacement(attemptNumber, machine.id(), context.loop().wallClockMillis());
        }
        machine.placements().add(placement);
        machine.idleSince(null);
        context.recordWriter().markDirty(job.shardOfTask(decision.task()));
        if (decision.byRiskTable()) {
            placedByRisk++;
        } else {
            placedByCapacity++;
        }
        LOG.debug(
                "task placed task={} attempt={} machine={} criterion={}",
                placement.taskId(),
                attemptNumber,
                machine.id(),
                decision.byRiskTable() ? "risk" : "preference");
    }
}
