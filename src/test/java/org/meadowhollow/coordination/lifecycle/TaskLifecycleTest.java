package org.meadowhollow.coordination.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.TaskState;
import org.meadowhollow.model.WorkerIncarnation;

class TaskLifecycleTest {
    private final LifecycleFixture fixture = new LifecycleFixture();
    private final TaskLifecycle lifecycle = fixture.taskLifecycle;

    private void failFirstTask(Job job, Machine machine) {
        Placement placement = fixture.placeTask(job, 0, machine);
        lifecycle.onTaskExited(machine, placement, ExitReason.ERROR, fixture.now());
    }

    @Test
    void removesCompletedTaskAndRecordsItsRuntime() {
        Machine machine = fixture.registerMachine("vm-1");
        Job job = fixture.admitJob("req-1", JobKind.ARRAY, 2);
        Placement placement = fixture.placeTask(job, 0, machine);
        placement.reportedState(TaskState.RUNNING, fixture.now());
        fixture.advance(Duration.ofSeconds(7));
        lifecycle.onTaskExited(machine, placement, ExitReason.DONE, fixture.now());
        assertTrue(job.isTaskComplete(0));
        assertEquals(1, job.pendingTaskCount());
        assertTrue(machine.placements().isEmpty());
        assertTrue(machine.unpersistedExits().containsKey(placement.taskId()));
        assertEquals(List.of(7.0), fixture.recordedRuntimes);
        assertEquals(1, fixture.recordWriter.dirtyShardCount());
    }

    @Test
    void doublesBackoffFromThirdConsecutiveFailure() {
        Job job = fixture.admitJob("req-1", JobKind.ARRAY, 1);
        failFirstTask(job, fixture.registerMachine("vm-1"));
        failFirstTask(job, fixture.registerMachine("vm-2"));
        assertNull(job.backoffUntil());
        failFirstTask(job, fixture.registerMachine("vm-3"));
        assertEquals(fixture.now().plus(Duration.ofSeconds(1)), job.backoffUntil());
        failFirstTask(job, fixture.registerMachine("vm-4"));
        assertEquals(fixture.now().plus(Duration.ofSeconds(2)), job.backoffUntil());
    }

    @Test
    void limitsBackoffToOneMinute() {
        Job job = fixture.admitJob("req-1", JobKind.ARRAY, 1);
        for (int failure = 0; failure < 50; failure++) {
            failFirstTask(job, fixture.registerMachine("vm-" + failure));
        }
        assertEquals(fixture.now().plus(Duration.ofSeconds(60)), job.backoffUntil());
    }

    @Test
    void stopsRestOfRunningGangWhenTaskIsLost() {
        Machine first = fixture.registerMachine("vm-1");
        Machine second = fixture.registerMachine("vm-2");
        Job gang = fixture.admitJob("req-1", JobKind.GANG, 2);
        Placement lost = fixture.placeTask(gang, 0, first);
        fixture.placeTask(gang, 1, second);
        lost.reportedState(TaskState.RUNNING, fixture.now());
        lifecycle.markTaskLost(first, lost, "test", fixture.now());
        // The start of the second task was never persisted, so there is no exit to wait for.
        assertTrue(gang.placements().isEmpty());
        assertTrue(second.placements().isEmpty());
        assertEquals(List.of(), fixture.sentCommands);
    }

    @Test
    void keepsRestOfUnstartedGangUntilTimeoutWhenTaskIsLost() {
        Machine first = fixture.registerMachine("vm-1");
        Machine second = fixture.registerMachine("vm-2");
        Job gang = fixture.admitJob("req-1", JobKind.GANG, 2);
        Placement lost = fixture.placeTask(gang, 0, first);
        Placement kept = fixture.placeTask(gang, 1, second);
        lifecycle.markTaskLost(first, lost, "test", fixture.now());
        assertEquals(List.of(kept), List.copyOf(gang.placements()));
        lifecycle.abandonIncompleteGang(gang, Duration.ofSeconds(30), fixture.now());
        assertEquals(1, gang.placements().size());
        fixture.advance(Duration.ofSeconds(31));
        lifecycle.abandonIncompleteGang(gang, Duration.ofSeconds(30), fixture.now());
        assertTrue(gang.placements().isEmpty());
    }

    /**
     * Guards against a stack overflow: the loss of one task of an uncommitted gang stopped the next
     * one, whose removal stopped the next, and so on through all tasks of the gang.
     */
    @Test
    void lossOfTaskOfLargeUncommittedGangIsHandledInParts() {
        Machine machine = fixture.registerMachine("vm-1");
        int tasks = 20_000;
        Job gang = fixture.admitJob("req-1", JobKind.GANG, tasks);
        for (int task = 0; task < tasks; task++) {
            gang.addPlacement(
                    task,
                    new AttemptNumber(1),
                    machine.id(),
                    new WorkerIncarnation(1),
                    fixture.now());
        }

        lifecycle.removePlacement(machine, gang.placement(0), fixture.now(), true);

        assertEquals(tasks - 1 - TaskStopQueue.MAX_STOPS_PER_CALLBACK, gang.placements().size());
        assertEquals(gang.placements().size(), gang.stoppingTaskCount());
        fixture.runTimers();
        assertTrue(gang.placements().isEmpty());
        assertEquals(0, gang.stoppingTaskCount());
        assertEquals(List.of(), fixture.sentCommands, "no task was started");
    }

    /** Guards against status answers and starts that visit all tasks of a job. */
    @Test
    void countsOfJobFollowItsPlacements() {
        Machine machine = fixture.registerMachine("vm-1");
        Job gang = fixture.admitJob("req-1", JobKind.GANG, 2);
        Placement first = fixture.placeTask(gang, 0, machine);
        assertFalse(gang.isWhollyCommitted(), "one task is not placed");
        Placement second = fixture.placeTask(gang, 1, machine);
        assertFalse(gang.isWhollyCommitted(), "the placements are not persisted");
        gang.shard(0).markPersisted(gang.shard(0).latestChange(), new Revision(7));
        assertTrue(gang.isWhollyCommitted());

        first.reportedState(TaskState.RUNNING, fixture.now());
        first.reportedState(TaskState.RUNNING, fixture.now());
        second.reportedState(TaskState.RUNNING, fixture.now());
        assertEquals(2, gang.runningTaskCount());
        second.reportedState(TaskState.CHECKPOINTING, fixture.now());
        assertEquals(1, gang.runningTaskCount());
        assertTrue(gang.hasAttemptStarted());

        first.requestStop(5);
        first.requestStop(0);
        assertEquals(1, gang.stoppingTaskCount());
        gang.removePlacement(first);
        first.reportedState(TaskState.EXITED, fixture.now());
        gang.removePlacement(second);
        assertEquals(0, gang.runningTaskCount() + gang.stoppingTaskCount());
        assertFalse(gang.hasAttemptStarted());
    }
}
