package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.model.JobEventLog;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.TaskId;

/**
 * Checks an event log against the protocol's rules: no task is placed twice at the same time,
 * before its job's acceptance or after its job's end, and the limit on placed tasks holds.
 */
final class JobEventLogChecker {
    private JobEventLogChecker() {}

    /**
     * @param events the events, ordered by their revision in the store
     * @param maxPlaced the largest number of tasks that may be placed at the same time
     */
    static void check(List<JobEventLog.Event> events, int maxPlaced) {
        Set<JobId> accepted = new HashSet<>();
        Set<JobId> closed = new HashSet<>();
        Map<TaskId, String> placed = new HashMap<>();
        for (JobEventLog.Event event : events) {
            TaskId task = new TaskId(event.jobId(), event.taskIndex());
            switch (event.type()) {
                case ACCEPTED ->
                        assertTrue(accepted.add(event.jobId()), "accepted twice: " + event);
                case CANCELLED ->
                        assertTrue(
                                accepted.contains(event.jobId()) && closed.add(event.jobId()),
                                () -> "" + event);
                case PLACED -> {
                    assertTrue(
                            accepted.contains(event.jobId()) && !closed.contains(event.jobId()),
                            () -> "" + event);
                    assertEquals(
                            null, placed.put(task, event.machineName()), "placed twice: " + event);
                    assertTrue(placed.size() <= maxPlaced, "over the limit: " + event);
                }
                case GONE ->
                        assertEquals(
                                event.machineName(),
                                placed.remove(task),
                                "gone from another machine: " + event);
                case ENDED -> {
                    closed.add(event.jobId());
                    assertTrue(
                            placed.keySet().stream()
                                    .noneMatch(
                                            placedTask -> placedTask.jobId().equals(event.jobId())),
                            () -> "ended while tasks are placed: " + event);
                }
            }
        }
        assertEquals(Map.of(), placed);
    }
}
