package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.scheduling.CandidateQueue.RiskPolicy;
import org.meadowhollow.coordination.scheduling.CandidateQueue.Selection;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Resources;

/**
 * One scheduling round, whose result depends only on a snapshot: takes the waiting jobs in their
 * order, checks the quota of their team, and gives each task the best machine in {@link
 * PlacementOrder}.
 */
public final class PlacementRound {
    /**
     * A job with waiting tasks.
     *
     * @param tasks the indices of the waiting tasks that may be placed now; all of them for a gang;
     *     must not be modified
     * @param tasksByZone the number of tasks of the job that may be running in each zone already
     * @param ignoresRisk whether the job has waited so long that the predicted risk is ignored
     * @param failedMachines machines on which tasks of the job failed, which rank after others of
     *     equal risk
     */
    // The indices are only read; no pending job is compared with another.
    @SuppressWarnings("ArrayRecordComponent")
    public record PendingJob(
            JobSpec spec,
            int[] tasks,
            Object2IntMap<String> tasksByZone,
            boolean ignoresRisk,
            Set<MachineId> failedMachines) {
        /** Creates a pending job without failed machines. */
        public PendingJob(
                JobSpec spec, int[] tasks, Object2IntMap<String> tasksByZone, boolean ignoresRisk) {
            this(spec, tasks, tasksByZone, ignoresRisk, Set.of());
        }
    }

    /**
     * The choice of a machine for a task.
     *
     * @param task the index of the task in its job
     * @param byRiskTable whether the machine was chosen by its predicted risk, which was accepted;
     *     otherwise by preference alone. The same for all tasks of a gang
     */
    public record Decision(JobSpec spec, int task, MachineId machine, boolean byRiskTable) {}

    /**
     * The result of a round.
     *
     * @param unplacedTasksByJob the number of tasks of each job that could not be placed for lack
     *     of capacity; omits jobs that wait because of their team's quota
     */
    public record Outcome(List<Decision> decisions, Map<JobId, Integer> unplacedTasksByJob) {}

    private final List<MachineCandidate> candidates;
    private final Map<String, TeamUsage> usageByTeam;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<JobId, Integer> unplacedTasksByJob = new HashMap<>();

    private PlacementRound(List<MachineCandidate> candidates, Map<String, TeamUsage> usageByTeam) {
        this.candidates = candidates;
        this.usageByTeam = usageByTeam;
    }

    /**
     * Places jobs in the order given and returns the decisions for the first {@code maxDecidedJobs}
     * of which a task could be placed. Later jobs are placed only to find out which of them lack
     * capacity. All jobs change the candidates and the usage, including those without decisions in
     * the outcome.
     */
    public static Outcome run(
            List<MachineCandidate> candidates,
            Map<String, TeamUsage> usageByTeam,
            List<PendingJob> jobs,
            int maxDecidedJobs) {
        PlacementRound round = new PlacementRound(candidates, usageByTeam);
        int decidedTasks = 0;
        int placedJobs = 0;
        for (PendingJob job : jobs) {
            int tasksBefore = round.decisions.size();
            round.place(job);
            boolean placedAnyTask = round.decisions.size() > tasksBefore;
            if (placedAnyTask && placedJobs++ < maxDecidedJobs) {
                decidedTasks = round.decisions.size();
            }
        }
        return new Outcome(
                List.copyOf(round.decisions.subList(0, decidedTasks)), round.unplacedTasksByJob);
    }

    private void place(PendingJob job) {
        if (job.spec().kind() == JobKind.GANG) {
            placeGang(job);
        } else {
            placeIndependentTasks(job);
        }
    }

    private void placeIndependentTasks(PendingJob job) {
        Resources perTask = job.spec().resourcesPerTask();
        TeamUsage team = usageByTeam.get(job.spec().team());
        if (!team.allows(perTask)) {
            return;
        }
        RiskPolicy riskPolicy =
                job.ignoresRisk() ? RiskPolicy.IGNORED : RiskPolicy.ACCEPTED_OR_UNKNOWN;
        CandidateQueue queue = new CandidateQueue(candidates, job, riskPolicy, Optional.empty());
        for (int index = 0; index < job.tasks().length; index++) {
            if (!team.allows(perTask)) {
                return;
            }
            Optional<Selection> selection = queue.selectBest();
            if (selection.isEmpty()) {
                unplacedTasksByJob.put(job.spec().id(), job.tasks().length - index);
                return;
            }
            queue.assign(selection.get());
            team.add(perTask);
            addDecision(job, index, selection.get().candidate(), selection.get().byRiskTable());
        }
    }

    private void placeGang(PendingJob gang) {
        JobSpec spec = gang.spec();
        TeamUsage team = usageByTeam.get(spec.team());
        Resources total = spec.resourcesPerTask().times(gang.tasks().length);
        if (!team.allows(total)) {
            return;
        }
        // Either the risk is accepted for all tasks, or it is ignored for all of them.
        if (placeWholeGang(gang, RiskPolicy.ACCEPTED_ONLY)
                || placeWholeGang(gang, RiskPolicy.IGNORED)) {
            team.add(total);
        } else {
            unplacedTasksByJob.put(spec.id(), gang.tasks().length);
        }
    }

    private boolean placeWholeGang(PendingJob gang, RiskPolicy riskPolicy) {
        List<MachineCandidate> plan = new GangPlanner(candidates, gang).plan(riskPolicy);
        boolean byRiskTable = riskPolicy == RiskPolicy.ACCEPTED_ONLY;
        for (int index = 0; index < plan.size(); index++) {
            plan.get(index).assign(gang.spec());
            addDecision(gang, index, plan.get(index), byRiskTable);
        }
        return !plan.isEmpty();
    }

    private void addDecision(
            PendingJob job, int index, MachineCandidate candidate, boolean byRiskTable) {
        decisions.add(
                new Decision(job.spec(), job.tasks()[index], candidate.machineId(), byRiskTable));
    }
}
