package org.meadowhollow.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.ImageCache;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

class PlacementRoundTest {
    private static final Resources MACHINE_CAPACITY = Resources.of(8, 8, 8);
    private final List<MachineCandidate> candidates = new ArrayList<>();
    private final List<Object2DoubleMap<String>> pullsByCandidate = new ArrayList<>();

    /**
     * Returns a table with 40 samples at the load of one task.
     *
     * @param violations the number of samples with a lost task
     */
    private static RiskTable riskTable(int violations) {
        RiskTable table = new RiskTable();
        for (int index = 0; index < 40; index++) {
            table.recordSample(
                    1, 0.13, index < violations ? 1 : 0, new MonotonicTime(index * 1_000_000_000L));
        }
        return table;
    }

    private void addCandidate(String name, double used, RiskTable risk, String... images) {
        Object2DoubleMap<String> pulls = new Object2DoubleOpenHashMap<>();
        pullsByCandidate.add(pulls);
        MachineType type = new MachineType("type", MACHINE_CAPACITY, 50, 1, 1, 1, 1, List.of());
        ImageCache cache =
                new Machine(new MachineId(name), type, name.substring(0, 1), false).imageCache();
        for (String image : images) {
            cache.recordUse(image, 1);
        }
        candidates.add(
                new MachineCandidate(
                        candidates.size(),
                        new MachineCandidate.Profile(
                                new MachineId(name),
                                "type",
                                name.substring(0, 1),
                                false,
                                MACHINE_CAPACITY,
                                1),
                        new MachineCandidate.Load(
                                MACHINE_CAPACITY.minus(Resources.of(used, used, used)),
                                0,
                                0,
                                cache,
                                pulls),
                        risk,
                        false));
    }

    private static JobSpec spec(JobKind kind, int tasks, boolean oneZone) {
        return new JobSpec(
                new JobId("req-1"),
                "class",
                "team",
                kind,
                Priority.NORMAL,
                tasks,
                Resources.of(1, 1, 1),
                null,
                null,
                oneZone,
                false,
                false,
                "image",
                1,
                1,
                0,
                0,
                Double.NaN);
    }

    /** A job whose image takes 30 s to pull. */
    private static JobSpec specWithLargeImage(JobKind kind, int tasks) {
        return new JobSpec(
                new JobId("req-1"),
                "class",
                "team",
                kind,
                Priority.NORMAL,
                tasks,
                Resources.of(1, 1, 1),
                null,
                null,
                false,
                false,
                false,
                "image",
                30,
                1,
                0,
                0,
                Double.NaN);
    }

    private void startPull(int candidate, String image, double remainingSeconds) {
        pullsByCandidate.get(candidate).put(image, remainingSeconds);
    }

    private List<String> runRound(JobSpec spec, boolean ignoresRisk) {
        int[] tasks = new int[spec.taskCount()];
        for (int index = 0; index < tasks.length; index++) {
            tasks[index] = index;
        }
        Map<String, TeamUsage> teams =
                Map.of("team", new TeamUsage(Resources.NONE, Resources.NONE));
        return PlacementRound.run(
                        candidates,
                        teams,
                        List.of(
                                RoundInputs.pendingJob(
                                        spec, tasks, new Object2IntOpenHashMap<>(), ignoresRisk)),
                        RoundInputs.limits(100))
                .decisions()
                .stream()
                .map(
                        decision ->
                                decision.machine()
                                        + (decision.byRiskTable() ? " by risk" : " by preference"))
                .toList();
    }

    @Test
    void leastRiskComesBeforeMostRoom() {
        addCandidate("a1", 0, riskTable(4));
        addCandidate("a2", 0.1, riskTable(0));
        assertEquals(List.of("a2 by risk"), runRound(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void mostRoomWinsAtEqualRisk() {
        addCandidate("a1", 0.1, riskTable(2));
        addCandidate("a2", 0, riskTable(2));
        assertEquals(List.of("a2 by risk"), runRound(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void machineAboveRiskThresholdIsUsedOnlyWhenRiskIsIgnored() {
        addCandidate("a1", 0, riskTable(20));
        assertEquals(List.of(), runRound(spec(JobKind.ARRAY, 1, false), false));
        assertEquals(List.of("a1 by preference"), runRound(spec(JobKind.ARRAY, 1, false), true));
    }

    @Test
    void unknownRiskIsComparedByRoomAlone() {
        addCandidate("a1", 2, new RiskTable());
        addCandidate("a2", 0, new RiskTable());
        assertEquals(List.of("a2 by preference"), runRound(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void cachedImageComesBeforeMostRoom() {
        addCandidate("a1", 3, new RiskTable(), "image");
        addCandidate("a2", 0, new RiskTable());
        assertEquals(List.of("a1 by preference"), runRound(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void concurrentPullsShareBandwidth() {
        addCandidate("a1", 0, new RiskTable());
        addCandidate("a2", 2, new RiskTable());
        startPull(0, "other", 30);
        JobSpec spec = specWithLargeImage(JobKind.ARRAY, 1);
        assertEquals(
                List.of("a2 by preference"),
                runRound(spec, false),
                "two pulls would share a1's bandwidth");
    }

    @Test
    void serviceReplicaPrefersMachineWithoutPullInProgress() {
        addCandidate("a1", 0, new RiskTable());
        addCandidate("a2", 1, new RiskTable());
        assertEquals(
                List.of("a1 by preference", "a2 by preference"),
                runRound(specWithLargeImage(JobKind.SERVICE, 2), false));
    }

    @Test
    void gangGoesToZoneWhereSlowestPullEndsFirst() {
        addCandidate("a1", 0, new RiskTable());
        addCandidate("a2", 0, new RiskTable(), "image");
        addCandidate("b1", 6, new RiskTable(), "image");
        JobSpec gang =
                new JobSpec(
                        new JobId("req-1"),
                        "class",
                        "team",
                        JobKind.GANG,
                        Priority.NORMAL,
                        2,
                        Resources.of(1, 1, 1),
                        null,
                        null,
                        true,
                        false,
                        false,
                        "image",
                        30,
                        1,
                        0,
                        0,
                        Double.NaN);
        assertEquals(List.of("a2 by preference", "a2 by preference"), runRound(gang, false));
        candidates.remove(1);
        assertEquals(List.of("b1 by preference", "b1 by preference"), runRound(gang, false));
    }

    @Test
    void singleZoneGangGoesToZoneWithRoomForAllTasks() {
        addCandidate("a1", 7, new RiskTable());
        addCandidate("b1", 6, new RiskTable());
        addCandidate("b2", 7, new RiskTable());
        List<String> placed = runRound(spec(JobKind.GANG, 3, true), false);
        assertEquals(3, placed.size());
        assertTrue(placed.stream().allMatch(placement -> placement.startsWith("b")));
        assertEquals(
                List.of(),
                runRound(spec(JobKind.GANG, 3, true), false),
                "a1 alone has no capacity for three tasks");
    }
}
