package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.HeartbeatResponse;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats;
import org.meadowhollow.coordination.heartbeat.DeferredHeartbeats.DeferredHeartbeat;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.RepeatingStep;

/**
 * Defers the responses to heartbeats that a node receives while no leader is known. Guarded by the
 * node's lock, which it takes itself; responses are completed outside it.
 */
final class LeaderlessHeartbeats {
    /**
     * How long a heartbeat waits for a leader to be known; well below the 4 s that a worker waits
     * for a response. If heartbeats were redirected immediately, hundreds of workers would try all
     * nodes every second, each time on a new connection, while the nodes have to elect a leader;
     * and the new leader would receive most of their heartbeats late.
     */
    private static final Duration MAX_LEADER_WAIT = Duration.ofMillis(2500);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private final Object lock;
    private final EventLoop loop;
    private final DeferredHeartbeats waiting = new DeferredHeartbeats();
    private boolean sweepScheduled;
    private boolean closed;

    LeaderlessHeartbeats(Object lock, EventLoop loop) {
        this.lock = lock;
        this.loop = loop;
    }

    /** Defers the response until a leader is known, or at most for {@link #MAX_LEADER_WAIT}. */
    CompletableFuture<HeartbeatResponse> defer(Heartbeat heartbeat) {
        synchronized (lock) {
            scheduleSweep();
            return waiting.defer(heartbeat, loop.now().plus(MAX_LEADER_WAIT));
        }
    }

    /** Schedules the next sweep unless one is scheduled. Called with the node's lock held. */
    private void scheduleSweep() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            loop.schedule(SWEEP_INTERVAL, this::sweep);
        }
    }

    private void sweep() {
        synchronized (lock) {
            sweepScheduled = false;
        }
        loop.runRepeating(RepeatingStep.LEADERLESS_HEARTBEAT_SWEEP, this::redirectExpired);
        synchronized (lock) {
            if (!closed && !waiting.isEmpty()) {
                scheduleSweep();
            }
        }
    }

    private void redirectExpired() {
        List<DeferredHeartbeat> due;
        synchronized (lock) {
            due = waiting.takeDue(loop.now());
        }
        DeferredHeartbeats.redirectAll(due, null);
    }

    /** Removes and returns all deferred heartbeats, for the caller to answer. */
    List<DeferredHeartbeat> takeAll() {
        synchronized (lock) {
            return waiting.takeAll();
        }
    }

    /** Stops the sweeps. Called with the node's lock held. */
    void close() {
        closed = true;
    }
}
