package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.meadowhollow.coordination.reservation.MachineReservationLimit;
import org.meadowhollow.model.ImageCache;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Resources;

/**
 * One round of placement, a pure function of a snapshot: each waiting task goes to the machine with
 * least risk, then most room, among those whose risk the policy allows.
 */
public final class PlacementRound {
    /** The paper's EfficiencyFirst: no violation with at least this chance. */
    private static final double MIN_NO_VIOLATION_PROBABILITY = 0.8;

    /** A task that takes more than this share of a machine has it to itself. */
    private static final double LARGE_TASK_SHARE = 0.5;

    /**
     * Fetches that differ by less than this end at about the same time, for rates vary by a third.
     */
    private static final double PULL_STEP_SECONDS = 5;

    /** A machine that can take tasks now. */
    public static final class MachineCandidate {
        private final MachineId machineId;
        private final String machineTypeName;
        private final String zone;
        private final boolean spot;
        private final Resources capacity;
        private final ImageCache cachedImages;
        private final Object2DoubleMap<String> remainingPullSeconds;
        private final RiskTable riskTable;
        private final boolean wantedForLargeTasks;
        private final double imagePullGbPerSecond;
        private final int tieBreakRank;
        private MachineReservationLimit reservationLimit;
        private JobId heldForGang;
        private Resources freeCapacity;
        private int taskCount;
        private int serviceReplicaCount;

        /** How the seat rates for the job being placed; see {@link #score}. */
        private double noViolationProbability;

        private double pullSteps;
        private boolean spotPreferred;
        private boolean imagePullInProgress;
        private boolean keptForLargeTasks;
        private boolean jobFailedHere;
        private double freeShare;

        /**
         * @param order decides between equals
         * @param tasks all tasks on the machine
         * @param replicas those of services among them
         * @param cached what is probably cached here
         * @param fetches the images on their way here, each with the seconds that it will still
         *     take
         * @param forLarge whether tasks that need most of such a machine are about
         */
        public MachineCandidate(
                int order,
                MachineId id,
                String type,
                String zone,
                boolean spot,
                Resources whole,
                Resources free,
                int tasks,
                int replicas,
                ImageCache cached,
                Object2DoubleMap<String> fetches,
                double fetchGbPerS,
                RiskTable risk,
                boolean forLarge) {
            this.tieBreakRank = order;
            this.machineId = id;
            this.machineTypeName = type;
            this.zone = zone;
            this.spot = spot;
            this.capacity = whole;
            this.freeCapacity = free;
            this.taskCount = tasks;
            this.serviceReplicaCount = replicas;
            this.cachedImages = cached;
            this.remainingPullSeconds = fetches;
            this.imagePullGbPerSecond = fetchGbPerS;
            this.riskTable = risk;
            this.wantedForLargeTasks = forLarge;
        }

        /**
         * @param now what the calendar says of the machine, or null if nothing
         */
        MachineCandidate withReservationLimit(MachineReservationLimit now) {
            reservationLimit = now;
            return this;
        }

        /**
         * @param gang the only job that may take what is free here, or null
         */
        MachineCandidate heldForGang(JobId gang) {
            heldForGang = gang;
            return this;
        }

        MachineId machineId() {
            return machineId;
        }

        String zone() {
            return zone;
        }

        /** Works out all that the order of the seats depends on, for one more task of this kind. */
        private void score(JobSpec spec, Set<MachineId> failedOn) {
            jobFailedHere = failedOn.contains(machineId);
            noViolationProbability =
                    riskTable.noViolationProbability(
                            taskCount + 1,
                            capacity.minus(freeCapacity)
                                    .plus(spec.resourcesPerTask())
                                    .dominantShareOf(capacity));
            pullSteps = estimatePullSteps(spec);
            // Somebody waits for every replica, so its fetch comes before the price.
            spotPreferred = spot && spec.kind() != JobKind.SERVICE;
            imagePullInProgress =
                    spec.kind() == JobKind.SERVICE
                            && pullSteps > 0
                            && remainingPullSeconds.containsKey(spec.image());
            keptForLargeTasks = isKeptForLargeTasks(spec);
            freeShare = freeCapacity.dominantShareOf(capacity);
        }

        /**
         * Whether the machine is better kept whole, since large tasks are about: an empty one is
         * not for short tasks, and one without a replica is not for replicas, which would block it
         * for as long as they run.
         */
        private boolean isKeptForLargeTasks(JobSpec spec) {
            return wantedForLargeTasks
                    && !isLargeTask(spec, capacity)
                    && (spec.kind() == JobKind.SERVICE ? serviceReplicaCount : taskCount) == 0;
        }

        /** Takes a task in; true if its image has to be fetched for it. */
        private boolean assign(JobSpec spec) {
            freeCapacity = freeCapacity.minus(spec.resourcesPerTask());
            taskCount++;
            serviceReplicaCount += spec.kind() == JobKind.SERVICE ? 1 : 0;
            if (reservationLimit != null) {
                reservationLimit.onTaskAssigned(spec);
            }
            if (cachedImages.contains(spec.image())
                    || remainingPullSeconds.containsKey(spec.image())) {
                return false;
            }
            remainingPullSeconds.put(spec.image(), spec.imageSizeGb() / imagePullGbPerSecond);
            return true;
        }

        /**
         * About how many steps it takes until an image is here, on a line that fetches have to
         * share.
         */
        private double estimatePullSteps(JobSpec spec) {
            if (cachedImages.contains(spec.image())) {
                return 0;
            }
            double aloneS =
                    remainingPullSeconds.containsKey(spec.image())
                            ? remainingPullSeconds.getDouble(spec.image())
                                    * remainingPullSeconds.size()
                            : spec.imageSizeGb()
                                    / imagePullGbPerSecond
                                    * (remainingPullSeconds.size() + 1);
            return 1 + Math.floor(aloneS / PULL_STEP_SECONDS);
        }

        private void unassign(JobSpec spec, boolean fetched) {
            freeCapacity = freeCapacity.plus(spec.resourcesPerTask());
            taskCount--;
            if (reservationLimit != null) {
                reservationLimit.onTaskUnassigned(spec);
            }
            if (fetched) {
                remainingPullSeconds.removeDouble(spec.image());
            }
        }
    }

    /**
     * A job with waiting tasks.
     *
     * @param tasks the waiting tasks that may be placed now; all of them for a gang
     * @param tasksByZone how many tasks of the job may be in each zone already
     * @param ignoresRisk whether it has waited so long that the risk does not count any more
     * @param failedMachines machines on which its tasks failed, which come behind others of equal
     *     risk
     */
    public record PendingJob(
            JobSpec spec,
            int[] tasks,
            Object2IntMap<String> tasksByZone,
            boolean ignoresRisk,
            Set<MachineId> failedMachines) {
        public PendingJob(
                JobSpec spec, int[] tasks, Object2IntMap<String> zones, boolean desperate) {
            this(spec, tasks, zones, desperate, Set.of());
        }
    }

    /** A team's use and its limit; a limit of 0 means none. */
    public static final class TeamUsage {
        private final Resources limit;
        private Resources used;

        public TeamUsage(Resources used, Resources most) {
            this.used = used;
            this.limit = most;
        }

        private boolean allows(Resources more) {
            Resources sum = used.plus(more);
            return (limit.cpu() == 0 || sum.cpu() <= limit.cpu())
                    && (limit.gpu() == 0 || sum.gpu() <= limit.gpu());
        }
    }

    /** A task and the machine it goes to; whether the table decided or room alone. */
    public record Decision(JobSpec spec, int task, MachineId machine, boolean byRiskTable) {}

    private final List<MachineCandidate> machineCandidates;
    private final Map<String, TeamUsage> usageByTeam;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<JobId, Integer> unplacedTasksByJob = new HashMap<>();

    private PlacementRound(List<MachineCandidate> seats, Map<String, TeamUsage> teams) {
        this.machineCandidates = seats;
        this.usageByTeam = teams;
    }

    /** What a round decided, and how many tasks of each job found no machine for lack of room. */
    public record Outcome(List<Decision> decisions, Map<JobId, Integer> unplacedTasksByJob) {}

    /**
     * Places jobs in the order given, and decides for the first {@code mostJobs} that find room.
     * The others are placed only to see who finds none. The seats and shares are used up.
     */
    public static Outcome run(
            List<MachineCandidate> seats,
            Map<String, TeamUsage> teams,
            List<PendingJob> jobs,
            int mostJobs) {
        PlacementRound round = new PlacementRound(seats, teams);
        int decided = 0;
        int placed = 0;
        for (PendingJob job : jobs) {
            int before = round.decisions.size();
            if (job.spec().kind() == JobKind.GANG) {
                round.placeGang(job);
            } else {
                round.placeIndependentTasks(job);
            }
            if (round.decisions.size() > before && placed++ < mostJobs) {
                decided = round.decisions.size();
            }
        }
        return new Outcome(
                List.copyOf(round.decisions.subList(0, decided)), round.unplacedTasksByJob);
    }

    private void placeIndependentTasks(PendingJob job) {
        TeamUsage team = usageByTeam.get(job.spec().team());
        if (!team.allows(job.spec().resourcesPerTask())) {
            return;
        }
        CandidateQueue candidateQueue =
                new CandidateQueue(machineCandidates, job, job.ignoresRisk(), false, null);
        for (int at = 0; at < job.tasks().length; at++) {
            if (!team.allows(job.spec().resourcesPerTask())) {
                return;
            }
            Selection selection = candidateQueue.selectBest();
            if (selection == null) {
                unplacedTasksByJob.put(job.spec().id(), job.tasks().length - at);
                return;
            }
            candidateQueue.assign(selection);
            team.used = team.used.plus(job.spec().resourcesPerTask());
            decisions.add(
                    new Decision(
                            job.spec(),
                            job.tasks()[at],
                            selection.candidate.machineId,
                            selection.byRiskTable));
        }
    }

    private void placeGang(PendingJob job) {
        JobSpec spec = job.spec();
        TeamUsage team = usageByTeam.get(spec.team());
        Resources all = spec.resourcesPerTask().times(job.tasks().length);
        if (!team.allows(all)) {
            return;
        }
        // All by the table, or all by room alone.
        if (placeAllOrNothing(job, false) || placeAllOrNothing(job, true)) {
            team.used = team.used.plus(all);
        } else {
            unplacedTasksByJob.put(spec.id(), job.tasks().length);
        }
    }

    private boolean placeAllOrNothing(PendingJob job, boolean roomOnly) {
        List<String> starts = new ArrayList<>();
        if (job.spec().requiresSingleZone()) {
            for (MachineCandidate machineCandidate : machineCandidates) {
                if (!starts.contains(machineCandidate.zone)) {
                    starts.add(machineCandidate.zone);
                }
            }
        } else {
            starts.add(null);
        }
        List<Selection> best = List.of();
        double bestSteps = Double.MAX_VALUE;
        for (String zone : starts) {
            CandidateQueue candidateQueue =
                    new CandidateQueue(
                            machineCandidates, job, job.ignoresRisk() || roomOnly, !roomOnly, zone);
            List<Selection> taken = new ArrayList<>();
            List<Boolean> fetched = new ArrayList<>();
            double steps = 0;
            while (taken.size() < job.tasks().length) {
                Selection selection = candidateQueue.selectBest();
                if (selection == null) {
                    break;
                }
                steps = Math.max(steps, selection.candidate.pullSteps);
                fetched.add(candidateQueue.assign(selection));
                taken.add(selection);
            }
            for (int at = 0; at < taken.size(); at++) {
                taken.get(at).candidate.unassign(job.spec(), fetched.get(at));
            }
            // A gang starts when the last of its images has come.
            if (taken.size() == job.tasks().length && steps < bestSteps) {
                best = taken;
                bestSteps = steps;
            }
        }
        for (int at = 0; at < best.size(); at++) {
            best.get(at).candidate.assign(job.spec());
            decisions.add(
                    new Decision(
                            job.spec(),
                            job.tasks()[at],
                            best.get(at).candidate.machineId,
                            !roomOnly));
        }
        return !best.isEmpty();
    }

    private record Selection(MachineCandidate candidate, boolean byRiskTable) {}

    /**
     * The seats that one job's tasks may go to, best first. A task changes only the seat that takes
     * it, so each seat is rated once for the job and once more for each of its tasks that it takes.
     */
    private static final class CandidateQueue {
        private final JobSpec spec;
        private final boolean ignoresRisk;
        private final boolean riskTableOnly;
        private final Set<MachineId> failedMachines;
        private final Object2IntOpenHashMap<String> tasksByZone;

        /** Seats whose risk the policy allows. */
        private final PriorityQueue<MachineCandidate> acceptedByRisk =
                new PriorityQueue<>(PlacementRound::compareByRisk);

        /** Seats that are judged by room alone. */
        private final PriorityQueue<MachineCandidate> rankedByFreeResources =
                new PriorityQueue<>(PlacementRound::compareByPreference);

        CandidateQueue(
                List<MachineCandidate> seats,
                PendingJob job,
                boolean anyRisk,
                boolean tableOnly,
                String onlyZone) {
            this.spec = job.spec();
            this.ignoresRisk = anyRisk;
            this.riskTableOnly = tableOnly;
            this.failedMachines = job.failedMachines();
            this.tasksByZone = new Object2IntOpenHashMap<>(job.tasksByZone());
            for (MachineCandidate machineCandidate : seats) {
                if (onlyZone == null || onlyZone.equals(machineCandidate.zone)) {
                    addIfAllowed(machineCandidate);
                }
            }
        }

        private void addIfAllowed(MachineCandidate machineCandidate) {
            if (!isAllowed(spec, tasksByZone, machineCandidate)) {
                return;
            }
            machineCandidate.score(spec, failedMachines);
            if (machineCandidate.noViolationProbability >= MIN_NO_VIOLATION_PROBABILITY) {
                acceptedByRisk.add(machineCandidate);
            } else if (!riskTableOnly
                    && (Double.isNaN(machineCandidate.noViolationProbability) || ignoresRisk)) {
                rankedByFreeResources.add(machineCandidate);
            }
        }

        /** The best seat, or null if there is none. */
        Selection selectBest() {
            MachineCandidate best = peekAllowed(acceptedByRisk);
            MachineCandidate roomiest = peekAllowed(rankedByFreeResources);
            // An empty bucket is no reason to wait longer for an image.
            if (best != null && (roomiest == null || best.pullSteps <= roomiest.pullSteps)) {
                return new Selection(best, true);
            }
            return roomiest == null ? null : new Selection(roomiest, false);
        }

        /** The tasks placed since may have filled a seat's zone; for this job it stays filled. */
        private MachineCandidate peekAllowed(PriorityQueue<MachineCandidate> queue) {
            MachineCandidate machineCandidate;
            while ((machineCandidate = queue.peek()) != null
                    && !isAllowed(spec, tasksByZone, machineCandidate)) {
                queue.poll();
            }
            return machineCandidate;
        }

        /** Takes the seat that came next; true if the image has to be fetched for it. */
        boolean assign(Selection selection) {
            (selection.byRiskTable ? acceptedByRisk : rankedByFreeResources).poll();
            boolean fetched = selection.candidate.assign(spec);
            tasksByZone.addTo(selection.candidate.zone, 1);
            addIfAllowed(selection.candidate);
            return fetched;
        }
    }

    /**
     * At equal risk: where no task of the job failed, so that a faulty machine is told from a
     * faulty job; where the image is; a spot machine for a task that may use one; where the image
     * comes soonest; for a replica, one more machine that will have its image; no machine that a
     * large task could take whole; then most room.
     */
    private static int compareByPreference(MachineCandidate one, MachineCandidate other) {
        int order = Boolean.compare(one.jobFailedHere, other.jobFailedHere);
        if (order == 0) {
            order = Boolean.compare(one.pullSteps > 0, other.pullSteps > 0);
        }
        if (order == 0) {
            order = Boolean.compare(other.spotPreferred, one.spotPreferred);
        }
        if (order == 0) {
            order = Double.compare(one.pullSteps, other.pullSteps);
        }
        if (order == 0) {
            order = Boolean.compare(one.imagePullInProgress, other.imagePullInProgress);
        }
        if (order == 0) {
            order = Boolean.compare(one.keptForLargeTasks, other.keptForLargeTasks);
        }
        if (order == 0) {
            order = Double.compare(other.freeShare, one.freeShare);
        }
        return order != 0 ? order : Integer.compare(one.tieBreakRank, other.tieBreakRank);
    }

    /** The paper's order: least risk, then what is better at equal risk. */
    private static int compareByRisk(MachineCandidate one, MachineCandidate other) {
        int order = Double.compare(other.noViolationProbability, one.noViolationProbability);
        return order != 0 ? order : compareByPreference(one, other);
    }

    /** Whether a task needs so much of a machine that no second one fits beside it. */
    static boolean isLargeTask(JobSpec spec, Resources whole) {
        return spec.resourcesPerTask().dominantShareOf(whole) > LARGE_TASK_SHARE;
    }

    private static boolean isAllowed(
            JobSpec spec, Object2IntMap<String> zones, MachineCandidate machineCandidate) {
        if (!spec.resourcesPerTask().fitsIn(machineCandidate.freeCapacity)
                || !spec.allowsMachineType(machineCandidate.machineTypeName)
                || !spec.allowsZone(machineCandidate.zone)
                || machineCandidate.spot && !spec.allowsSpot()) {
            return false;
        }
        if (machineCandidate.heldForGang != null
                && !machineCandidate.heldForGang.equals(spec.id())) {
            return false;
        }
        if (machineCandidate.reservationLimit != null
                && !machineCandidate.reservationLimit.allows(
                        spec,
                        machineCandidate.cachedImages.contains(spec.image())
                                ? 0
                                : spec.imageSizeGb() / machineCandidate.imagePullGbPerSecond,
                        machineCandidate.freeCapacity)) {
            return false;
        }
        if (spec.spreadsAcrossZones()
                && zones.getInt(machineCandidate.zone) >= spec.maxTasksPerZone()) {
            return false;
        }
        if (spec.requiresSingleZone()) {
            for (Object2IntMap.Entry<String> entry : zones.object2IntEntrySet()) {
                if (entry.getIntValue() > 0 && !entry.getKey().equals(machineCandidate.zone)) {
                    return false;
                }
            }
        }
        return true;
    }
}
