package org.meadowhollow.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

class VictimSelectorTest {
    private static final Resources ONE = Resources.of(1, 1, 1);

    private static JobSpec spec(Priority priority, double gpus) {
        return new JobSpec(
                new JobId("req-1"),
                "class",
                "team",
                JobKind.ARRAY,
                priority,
                1,
                Resources.of(1, gpus, 1),
                null,
                null,
                false,
                false,
                false,
                "image",
                1,
                1,
                0,
                0,
                Double.NaN);
    }

    private static VictimSelector.RunningTask<String> runningTask(
            String task, Priority priority, double lostWorkSeconds, boolean overQuota) {
        return new VictimSelector.RunningTask<>(
                task, priority, "other", ONE, lostWorkSeconds, overQuota);
    }

    private static VictimSelector.PreemptionCandidate<String> fullMachine(
            List<VictimSelector.RunningTask<String>> running) {
        return new VictimSelector.PreemptionCandidate<>(Resources.NONE, true, running);
    }

    @Test
    void onlyLowerPriorityIsPreempted() {
        var candidate =
                fullMachine(
                        List.of(
                                runningTask("same", Priority.HIGH, 1, true),
                                runningTask("low", Priority.LOW, 9, true)));
        assertEquals(
                List.of("low"),
                VictimSelector.selectVictims(spec(Priority.HIGH, 1), false, List.of(candidate)));
        assertEquals(
                List.of(),
                VictimSelector.selectVictims(spec(Priority.LOW, 1), false, List.of(candidate)));
    }

    @Test
    void usageOverGuaranteeIsPreemptedForAnotherTeamsGuarantee() {
        var own = fullMachine(List.of(runningTask("own", Priority.HIGH, 1, false)));
        var overQuota = fullMachine(List.of(runningTask("over-quota", Priority.HIGH, 5, true)));
        assertEquals(
                List.of("over-quota"),
                VictimSelector.selectVictims(spec(Priority.LOW, 1), true, List.of(own, overQuota)));
    }

    @Test
    void selectsLeastLostWorkAndNothingIfTaskFitsNowhere() {
        var expensive = fullMachine(List.of(runningTask("long", Priority.LOW, 60, true)));
        var cheap =
                fullMachine(
                        List.of(
                                runningTask("new", Priority.LOW, 2, true),
                                runningTask("newer", Priority.LOW, 1, true)));
        assertEquals(
                List.of("newer"),
                VictimSelector.selectVictims(
                        spec(Priority.HIGH, 1), false, List.of(expensive, cheap)));
        assertEquals(
                List.of("newer", "new"),
                VictimSelector.selectVictims(
                        spec(Priority.HIGH, 2), false, List.of(expensive, cheap)));
        assertEquals(
                List.of(),
                VictimSelector.selectVictims(
                        spec(Priority.HIGH, 3), false, List.of(expensive, cheap)));
    }

    @Test
    void bestEffortTasksArePreemptedForWholeGangOrNotAtAll() {
        var first =
                fullMachine(
                        List.of(
                                runningTask("a", Priority.LOW, 3, true),
                                runningTask("normal", Priority.NORMAL, 0, true)));
        var second =
                fullMachine(
                        List.of(
                                runningTask("b", Priority.LOW, 2, true),
                                runningTask("c", Priority.LOW, 1, true)));
        assertEquals(
                List.of("c", "b"), bestEffortVictims(Priority.NORMAL, 2, List.of(first, second)));
        assertEquals(3, bestEffortVictims(Priority.NORMAL, 3, List.of(first, second)).size());
        assertEquals(List.of(), bestEffortVictims(Priority.NORMAL, 4, List.of(first, second)));
        assertEquals(List.of(), bestEffortVictims(Priority.LOW, 1, List.of(first, second)));
    }

    private static List<String> bestEffortVictims(
            Priority priority,
            int tasks,
            List<VictimSelector.PreemptionCandidate<String>> candidates) {
        return VictimSelector.selectBestEffortVictims(spec(priority, 1), tasks, true, candidates)
                .stream()
                .flatMap(freedSlot -> freedSlot.victims().stream())
                .toList();
    }
}
