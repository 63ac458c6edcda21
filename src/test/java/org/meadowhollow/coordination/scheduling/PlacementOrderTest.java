package org.meadowhollow.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Compares the incremental scores of a round with a full evaluation. A round scores each machine
 * once for a job and updates only the machine that takes a task; it must decide the same as rounds
 * of a single task each, which score all machines anew.
 */
class PlacementOrderTest {
    private static final int MACHINES = 40;
    private static final Resources MACHINE_CAPACITY = Resources.of(8, 8, 8);
    private static final List<String> ZONES = List.of("a", "b", "c");

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, 200);
    }

    private static List<MachineCandidate> candidates(long seed) {
        Random random = new Random(seed);
        List<MachineCandidate> candidates = new ArrayList<>();
        boolean wantedForLargeTasks = random.nextBoolean();
        for (int index = 0; index < MACHINES; index++) {
            MachineId id = new MachineId("vm-" + index);
            String zone = ZONES.get(random.nextInt(ZONES.size()));
            boolean spot = random.nextInt(3) == 0;
            MachineType type = new MachineType("type", MACHINE_CAPACITY, 50, 1, 1, 1, 1, ZONES);
            Machine machine = new Machine(id, type, zone, spot);
            Object2DoubleMap<String> remainingPullSeconds = new Object2DoubleOpenHashMap<>();
            for (int image = 0; image < 3; image++) {
                if (random.nextInt(3) == 0) {
                    machine.imageCache().recordUse("image-" + image, 12);
                } else if (random.nextInt(3) == 0) {
                    remainingPullSeconds.put("image-" + image, random.nextInt(12));
                }
            }
            RiskTable riskTable = new RiskTable();
            for (int sample = 0, samples = random.nextInt(60); sample < samples; sample++) {
                riskTable.recordSample(
                        random.nextInt(8),
                        random.nextDouble(),
                        random.nextInt(6) == 0 ? 1 : 0,
                        new MonotonicTime(sample * 1_000_000_000L));
            }
            int used = random.nextInt(8);
            candidates.add(
                    new MachineCandidate(
                            index,
                            new MachineCandidate.Profile(
                                    id, "type", zone, spot, MACHINE_CAPACITY, 1),
                            new MachineCandidate.Load(
                                    MACHINE_CAPACITY.minus(Resources.of(used, used, used)),
                                    used,
                                    random.nextInt(used + 1),
                                    machine.imageCache(),
                                    remainingPullSeconds),
                            riskTable,
                            wantedForLargeTasks));
        }
        return candidates;
    }

    private static JobSpec spec(long seed, JobKind kind) {
        Random random = new Random(seed);
        boolean oneZone = kind == JobKind.ARRAY && random.nextInt(4) == 0;
        return new JobSpec(
                new JobId("req-1"),
                "class",
                "team",
                kind,
                Priority.NORMAL,
                1 + random.nextInt(30),
                Resources.of(1 + random.nextInt(2), 1, 1),
                null,
                null,
                oneZone,
                random.nextInt(3) == 0 && !oneZone,
                random.nextBoolean(),
                "image-" + random.nextInt(3),
                12,
                1,
                0,
                0,
                Double.NaN);
    }

    private static Map<String, TeamUsage> unlimitedTeam() {
        return Map.of("team", new TeamUsage(Resources.NONE, Resources.NONE));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void placesTasksTogetherAsInSingleTaskRounds(long seed) {
        JobSpec spec = spec(seed, seed % 2 == 0 ? JobKind.ARRAY : JobKind.SERVICE);
        boolean ignoresRisk = seed % 3 == 0;
        int[] tasks = new int[spec.taskCount()];
        for (int task = 0; task < tasks.length; task++) {
            tasks[task] = task;
        }
        List<PlacementRound.Decision> together =
                PlacementRound.run(
                                candidates(seed),
                                unlimitedTeam(),
                                List.of(
                                        RoundInputs.pendingJob(
                                                spec,
                                                tasks,
                                                new Object2IntOpenHashMap<>(),
                                                ignoresRisk)),
                                RoundInputs.limits(1))
                        .decisions();

        List<MachineCandidate> candidates = candidates(seed);
        List<PlacementRound.Decision> oneByOne = new ArrayList<>();
        Object2IntOpenHashMap<String> tasksByZone = new Object2IntOpenHashMap<>();
        for (int task : tasks) {
            List<PlacementRound.Decision> next =
                    PlacementRound.run(
                                    candidates,
                                    unlimitedTeam(),
                                    List.of(
                                            RoundInputs.pendingJob(
                                                    spec,
                                                    new int[] {task},
                                                    tasksByZone,
                                                    ignoresRisk)),
                                    RoundInputs.limits(1))
                            .decisions();
            for (PlacementRound.Decision decision : next) {
                candidates.stream()
                        .filter(
                                machineCandidate ->
                                        machineCandidate.machineId().equals(decision.machine()))
                        .forEach(machineCandidate -> tasksByZone.addTo(machineCandidate.zone(), 1));
            }
            oneByOne.addAll(next);
        }
        assertEquals(oneByOne, together);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void gangWithoutRoomLeavesCandidatesUnchanged(long seed) {
        JobSpec gang = spec(seed, JobKind.GANG);
        JobSpec array = spec(seed + 1, JobKind.ARRAY);
        int[] tasksBeyondCapacity = new int[MACHINES * 8 + 1];
        int[] tasks = new int[array.taskCount()];
        var pendingJob = RoundInputs.pendingJob(array, tasks, new Object2IntOpenHashMap<>(), false);
        List<PlacementRound.Decision> decisionsWithoutGang =
                PlacementRound.run(
                                candidates(seed),
                                unlimitedTeam(),
                                List.of(pendingJob),
                                RoundInputs.limits(1))
                        .decisions();
        var outcome =
                PlacementRound.run(
                        candidates(seed),
                        unlimitedTeam(),
                        List.of(
                                RoundInputs.pendingJob(
                                        gang,
                                        tasksBeyondCapacity,
                                        new Object2IntOpenHashMap<>(),
                                        false),
                                pendingJob),
                        RoundInputs.limits(1));
        assertEquals(decisionsWithoutGang, outcome.decisions());
        assertTrue(outcome.unplacedTasksByJob().containsKey(gang.id()));
    }

    /** Without the count of free capacity, which keeps such gangs from being planned at all. */
    @ParameterizedTest
    @MethodSource("seeds")
    void planOfGangWithoutRoomIsUndone(long seed) {
        JobSpec gang = spec(seed, JobKind.GANG);
        JobSpec array = spec(seed + 1, JobKind.ARRAY);
        var pendingGang =
                RoundInputs.pendingJob(
                        gang, new int[MACHINES * 8 + 1], new Object2IntOpenHashMap<>(), false);
        var pendingArray =
                RoundInputs.pendingJob(
                        array, new int[array.taskCount()], new Object2IntOpenHashMap<>(), false);
        List<MachineCandidate> candidates = candidates(seed);

        GangPlanner planner =
                new GangPlanner(candidates, pendingGang, RoundInputs.limits(1).budget());

        assertTrue(planner.plan(CandidateQueue.RiskPolicy.IGNORED).isEmpty());
        assertEquals(
                decisions(candidates(seed), pendingArray), decisions(candidates, pendingArray));
    }

    private static List<PlacementRound.Decision> decisions(
            List<MachineCandidate> candidates, PlacementRound.PendingJob job) {
        return PlacementRound.run(candidates, unlimitedTeam(), List.of(job), RoundInputs.limits(1))
                .decisions();
    }

    private static PlacementRound.PendingJob hugeGang() {
        JobSpec gang = spec(1, JobKind.GANG);
        return new PlacementRound.PendingJob(
                gang,
                100_000,
                count -> {
                    throw new AssertionError("no task of the gang is placed");
                },
                new Object2IntOpenHashMap<>(),
                true);
    }

    /** Guards against a round that visits the tasks of gangs which cannot be placed. */
    @Test
    void gangWithoutRoomCostsStepsForMachinesButNotForTasks() {
        StepBudget budget = new StepBudget(Long.MAX_VALUE);

        PlacementRound.run(
                candidates(1),
                unlimitedTeam(),
                List.of(hugeGang()),
                new PlacementRound.Limits(1, Integer.MAX_VALUE, budget));

        assertEquals(MACHINES, budget.spent());
    }

    @Test
    void roundBeginsNoFurtherJobOnceItsBudgetIsUsedUp() {
        PlacementRound.Outcome outcome =
                PlacementRound.run(
                        candidates(1),
                        unlimitedTeam(),
                        Collections.nCopies(100, hugeGang()),
                        new PlacementRound.Limits(
                                1, Integer.MAX_VALUE, new StepBudget(10L * MACHINES)));

        assertEquals(10, outcome.examinedJobs());
    }
}
