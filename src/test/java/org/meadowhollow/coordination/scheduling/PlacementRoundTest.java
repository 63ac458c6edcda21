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
    private static final Resources WHOLE = Resources.of(8, 8, 8);
    private final List<PlacementRound.MachineCandidate> seats = new ArrayList<>();
    private final List<Object2DoubleMap<String>> fetches = new ArrayList<>();

    /**
     * A table that has seen 40 reports at the load that one task makes, with so many losses among
     * them.
     */
    private static RiskTable learned(int losses) {
        RiskTable table = new RiskTable();
        for (int at = 0; at < 40; at++) {
            table.recordSample(
                    1, 0.13, at < losses ? 1 : 0, new MonotonicTime(at * 1_000_000_000L));
        }
        return table;
    }

    private void seat(String name, double used, RiskTable risk, String... images) {
        Object2DoubleMap<String> coming = new Object2DoubleOpenHashMap<>();
        fetches.add(coming);
        MachineType type = new MachineType("type", WHOLE, 50, 1, 1, 1, 1, List.of());
        ImageCache cache =
                new Machine(new MachineId(name), type, name.substring(0, 1), false).imageCache();
        for (String image : images) {
            cache.recordUse(image, 1);
        }
        seats.add(
                new PlacementRound.MachineCandidate(
                        seats.size(),
                        new MachineId(name),
                        "type",
                        name.substring(0, 1),
                        false,
                        WHOLE,
                        WHOLE.minus(Resources.of(used, used, used)),
                        0,
                        0,
                        cache,
                        coming,
                        1,
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

    /** A job whose image takes 30 s to fetch. */
    private static JobSpec large(JobKind kind, int tasks) {
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

    private void fetching(int seat, String image, double leftS) {
        fetches.get(seat).put(image, leftS);
    }

    private List<String> run(JobSpec spec, boolean desperate) {
        int[] tasks = new int[spec.taskCount()];
        for (int at = 0; at < tasks.length; at++) {
            tasks[at] = at;
        }
        Map<String, PlacementRound.TeamUsage> teams =
                Map.of("team", new PlacementRound.TeamUsage(Resources.NONE, Resources.NONE));
        return PlacementRound.run(
                        seats,
                        teams,
                        List.of(
                                new PlacementRound.PendingJob(
                                        spec, tasks, new Object2IntOpenHashMap<>(), desperate)),
                        100)
                .decisions()
                .stream()
                .map(
                        decision ->
                                decision.machine()
                                        + (decision.byRiskTable() ? " by risk" : " by room"))
                .toList();
    }

    @Test
    void theLeastRiskComesBeforeTheMostRoom() {
        seat("a1", 0, learned(4));
        seat("a2", 0.1, learned(0));
        assertEquals(List.of("a2 by risk"), run(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void atEqualRiskTheMostRoomWins() {
        seat("a1", 0.1, learned(2));
        seat("a2", 0, learned(2));
        assertEquals(List.of("a2 by risk"), run(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void aMachineThatBreaksThePolicyIsUsedOnlyInDespair() {
        seat("a1", 0, learned(20));
        assertEquals(List.of(), run(spec(JobKind.ARRAY, 1, false), false));
        assertEquals(List.of("a1 by room"), run(spec(JobKind.ARRAY, 1, false), true));
    }

    @Test
    void whatTheTableHasNotSeenIsJudgedByRoomAlone() {
        seat("a1", 2, new RiskTable());
        seat("a2", 0, new RiskTable());
        assertEquals(List.of("a2 by room"), run(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void aCachedImageSavesItsFetch() {
        seat("a1", 3, new RiskTable(), "image");
        seat("a2", 0, new RiskTable());
        assertEquals(List.of("a1 by room"), run(spec(JobKind.ARRAY, 1, false), false));
    }

    @Test
    void anImageComesSoonerOnALineThatNothingElseUses() {
        seat("a1", 0, new RiskTable());
        seat("a2", 2, new RiskTable());
        fetching(0, "other", 30);
        JobSpec large = large(JobKind.ARRAY, 1);
        assertEquals(List.of("a2 by room"), run(large, false), "two fetches would share a1's line");
    }

    @Test
    void aReplicaBringsItsImageToOneMoreMachine() {
        seat("a1", 0, new RiskTable());
        seat("a2", 1, new RiskTable());
        assertEquals(List.of("a1 by room", "a2 by room"), run(large(JobKind.SERVICE, 2), false));
    }

    @Test
    void aGangGoesToTheZoneWhereItsLastImageComesSoonest() {
        seat("a1", 0, new RiskTable());
        seat("a2", 0, new RiskTable(), "image");
        seat("b1", 6, new RiskTable(), "image");
        JobSpec one =
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
        assertEquals(List.of("a2 by room", "a2 by room"), run(one, false));
        seats.remove(1);
        assertEquals(List.of("b1 by room", "b1 by room"), run(one, false));
    }

    @Test
    void aGangGoesWholeIntoOneZoneThatHasRoom() {
        seat("a1", 7, new RiskTable());
        seat("b1", 6, new RiskTable());
        seat("b2", 7, new RiskTable());
        List<String> placed = run(spec(JobKind.GANG, 3, true), false);
        assertEquals(3, placed.size());
        assertTrue(placed.stream().allMatch(each -> each.startsWith("b")));
        assertEquals(
                List.of(), run(spec(JobKind.GANG, 3, true), false), "a1 alone cannot hold three");
    }
}
