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
     * @param taskCount the number of waiting tasks that may be placed now; all of them for a gang
     * @param tasks selects which of them are placed
     * @param tasksByZone the number of tasks of the job that may be running in each zone already
     * @param ignoresRisk whether the job has waited so long that the predicted risk is ignored
     * @param failedMachines machines on which tasks of the job failed, which rank after others of
     *     equal risk
     */
    public record PendingJob(
            JobSpec spec,
            int taskCount,
            TaskSelector tasks,
            Object2IntMap<String> tasksByZone,
            boolean ignoresRisk,
            Set<MachineId> failedMachines) {
        /** Creates a pending job without failed machines. */
        public PendingJob(
                JobSpec spec,
                int taskCount,
                TaskSelector tasks,
                Object2IntMap<String> tasksByZone,
                boolean ignoresRisk) {
            this(spec, taskCount, tasks, tasksByZone, ignoresRisk, Set.of());
        }
    }

    /**
     * Selects the waiting tasks of a job that are placed. The round counts tasks, and asks only for
     * as many as it has found machines for.
     */
    @FunctionalInterface
    public interface TaskSelector {
        /** The indices of the first {@code count} waiting tasks. */
        int[] first(int count);
    }

    /**
     * The limits of a round.
     *
     * @param decidedJobs the maximum number of jobs with decisions
     * @param placements the maximum number of tasks to place
     * @param budget bounds the number of jobs that are examined
     */
    public record Limits(int decidedJobs, int placements, StepBudget budget) {}

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
     *     of capacity; omits jobs that wait because of a limit
     * @param examinedJobs the number of jobs that were examined; later ones are not in the outcome
     */
    public record Outcome(
            List<Decision> decisions, Map<JobId, Integer> unplacedTasksByJob, int examinedJobs) {}

    private final List<MachineCandidate> candidates;
    private final Map<String, TeamUsage> usageByTeam;
    private final Limits limits;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<JobId, Integer> unplacedTasksByJob = new HashMap<>();

    private PlacementRound(
            List<MachineCandidate> candidates, Map<String, TeamUsage> usageByTeam, Limits limits) {
        this.candidates = candidates;
        this.usageByTeam = usageByTeam;
        this.limits = limits;
    }

    /**
     * Places jobs in the order given and returns the decisions for the first {@link
     * Limits#decidedJobs} of which a task could be placed. Later jobs are placed only to find out
     * which of them lack capacity. All examined jobs change the candidates and the usage, including
     * those without decisions in the outcome.
     */
    public static Outcome run(
            List<MachineCandidate> candidates,
            Map<String, TeamUsage> usageByTeam,
            List<PendingJob> jobs,
            Limits limits) {
        PlacementRound round = new PlacementRound(candidates, usageByTeam, limits);
        int decidedTasks = 0;
        int placedJobs = 0;
        int examinedJobs = 0;
        for (PendingJob job : jobs) {
            if (limits.budget().isExhausted()) {
                break;
            }
            examinedJobs++;
            int tasksBefore = round.decisions.size();
            round.place(job);
            boolean placedAnyTask = round.decisions.size() > tasksBefore;
            if (placedAnyTask && placedJobs++ < limits.decidedJobs()) {
                decidedTasks = round.decisions.size();
            }
        }
        return new Outcome(
                List.copyOf(round.decisions.subList(0, decidedTasks)),
                round.unplacedTasksByJob,
                examinedJobs);
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
        CandidateQueue queue =
                new CandidateQueue(candidates, job, riskPolicy, Optional.empty(), limits.budget());
        List<Selection> selections = new ArrayList<>();
        while (selections.size() < job.taskCount()
                && team.allows(perTask)
                && allowsPlacements(selections.size() + 1)) {
            Optional<Selection> selection = queue.selectBest();
            if (selection.isEmpty()) {
                int unplaced = job.taskCount() - selections.size();
                unplacedTasksByJob.put(job.spec().id(), unplaced);
                break;
            }
            queue.assign(selection.get());
            team.add(perTask);
            selections.add(selection.get());
        }
        addDecisions(job, selections);
    }

    /** Whether the round may place further tasks. */
    private boolean allowsPlacements(int count) {
        return decisions.size() + count <= limits.placements();
    }

    private void placeGang(PendingJob gang) {
        JobSpec spec = gang.spec();
        TeamUsage team = usageByTeam.get(spec.team());
        Resources total = spec.resourcesPerTask().times(gang.taskCount());
        if (!team.allows(total) || !allowsPlacements(gang.taskCount())) {
            return;
        }
        // Either the risk is accepted for all tasks, or it is ignored for all of them.
        if (mayFit(gang)
                && (placeWholeGang(gang, RiskPolicy.ACCEPTED_ONLY)
                        || placeWholeGang(gang, RiskPolicy.IGNORED))) {
            team.add(total);
        } else {
            unplacedTasksByJob.put(spec.id(), gang.taskCount());
        }
    }

    /**
     * Whether the free capacity may suffice for all tasks of a gang. Counts the tasks that fit on
     * each machine, so that a gang for which there are too few machines is not placed task by task.
     */
    private boolean mayFit(PendingJob gang) {
        limits.budget().spend(candidates.size());
        Map<String, Long> capacityByZone = new HashMap<>();
        for (MachineCandidate candidate : candidates) {
            if (PlacementConstraints.areSatisfied(gang.spec(), gang.tasksByZone(), candidate)) {
                long tasks = candidate.maxMoreTasks(gang.spec());
                capacityByZone.merge(candidate.zone(), tasks, Long::sum);
            }
        }
        return gang.spec().isCoveredBy(capacityByZone.values(), gang.taskCount());
    }

    private boolean placeWholeGang(PendingJob gang, RiskPolicy riskPolicy) {
        GangPlanner planner = new GangPlanner(candidates, gang, limits.budget());
        boolean byRiskTable = riskPolicy == RiskPolicy.ACCEPTED_ONLY;
        List<Selection> selections = new ArrayList<>();
        for (MachineCandidate candidate : planner.plan(riskPolicy)) {
            candidate.assign(gang.spec());
            selections.add(new Selection(candidate, byRiskTable));
        }
        addDecisions(gang, selections);
        return !selections.isEmpty();
    }

    private void addDecisions(PendingJob job, List<Selection> selections) {
        if (selections.isEmpty()) {
            return;
        }
        int[] tasks = job.tasks().first(selections.size());
        for (int index = 0; index < tasks.length; index++) {
            Selection selection = selections.get(index);
            decisions.add(
                    new Decision(
                            job.spec(),
                            tasks[index],
                            selection.candidate().machineId(),
                            selection.byRiskTable()));
        }
    }
}
