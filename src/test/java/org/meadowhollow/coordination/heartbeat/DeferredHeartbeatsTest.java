package org.meadowhollow.coordination.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.WorkerIncarnation;

/** Tests when deferred heartbeats are taken, and when they are redirected. */
class DeferredHeartbeatsTest {
    private static final MonotonicTime START = new MonotonicTime(0);

    private final DeferredHeartbeats deferred = new DeferredHeartbeats();

    private static Heartbeat heartbeat(String machine, long sequenceNumber) {
        return new Heartbeat(
                Heartbeat.Origin.REQUEST,
                new MachineId(machine),
                machine + ":1",
                "type",
                "a",
                false,
                new WorkerIncarnation(1),
                sequenceNumber,
                new FencingToken(1),
                Double.NaN,
                List.of());
    }

    private static MonotonicTime second(int seconds) {
        return START.plus(Duration.ofSeconds(seconds));
    }

    @Test
    void redirectsEarlierHeartbeatWhenMachineSendsAnother() {
        CompletableFuture<HeartbeatResponse> first =
                deferred.defer(heartbeat("vm-1", 1), second(2));
        CompletableFuture<HeartbeatResponse> next = deferred.defer(heartbeat("vm-1", 2), second(3));
        assertEquals(new HeartbeatResponse.Redirect(null), first.join());
        assertFalse(next.isDone());
        assertEquals(2, deferred.take(new MachineId("vm-1")).heartbeat().sequenceNumber());
        assertNull(deferred.take(new MachineId("vm-1")));
    }

    @Test
    void takesOnlyHeartbeatsThatAreDue() {
        CompletableFuture<HeartbeatResponse> first =
                deferred.defer(heartbeat("vm-1", 1), second(2));
        CompletableFuture<HeartbeatResponse> next = deferred.defer(heartbeat("vm-2", 1), second(3));
        assertEquals(List.of(), deferred.takeDue(second(1)));
        List<DeferredHeartbeats.DeferredHeartbeat> due = deferred.takeDue(second(2));
        assertEquals(1, due.size());
        DeferredHeartbeats.redirectAll(due, "n1");
        assertEquals(new HeartbeatResponse.Redirect("n1"), first.join());
        assertFalse(next.isDone());
        assertEquals(1, deferred.takeAll().size());
        assertTrue(deferred.isEmpty());
    }
}
