package org.meadowhollow.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.OrderLog;
import org.meadowhollow.bookkeeping.TaskId;

/**
 * What the ordering log shows of the rules: nothing twice at a time, nothing before or after its
 * time, the limit.
 */
final class OrderRules {
    private OrderRules() {}

    /**
     * @param events in the order of the state service
     * @param most tasks that may be placed at a time
     */
    static void check(List<OrderLog.Event> events, int most) {
        Set<JobId> accepted = new HashSet<>();
        Set<JobId> closed = new HashSet<>();
        Map<TaskId, String> placed = new HashMap<>();
        for (OrderLog.Event event : events) {
            TaskId task = new TaskId(event.job(), event.task());
            switch (event.what()) {
                case ACCEPTED -> assertTrue(accepted.add(event.job()), "accepted twice: " + event);
                case CANCELLED ->
                        assertTrue(
                                accepted.contains(event.job()) && closed.add(event.job()),
                                () -> "" + event);
                case PLACED -> {
                    assertTrue(
                            accepted.contains(event.job()) && !closed.contains(event.job()),
                            () -> "" + event);
                    assertEquals(
                            null, placed.put(task, event.machine()), "twice at a time: " + event);
                    assertTrue(placed.size() <= most, "over the limit: " + event);
                }
                case GONE ->
                        assertEquals(
                                event.machine(),
                                placed.remove(task),
                                "gone from elsewhere: " + event);
                case ENDED -> {
                    closed.add(event.job());
                    assertTrue(
                            placed.keySet().stream()
                                    .noneMatch(left -> left.job().equals(event.job())),
                            () -> "ended too soon: " + event);
                }
            }
        }
        assertEquals(Map.of(), placed);
    }
}
