package org.meadowhollow.coordination.reconciliation;

import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;

/**
 * The leadership on whose behalf heartbeats are answered and commands are sent.
 *
 * @param lock the leader's lock
 * @param isClosed whether the leadership has ended; evaluated with the lock held
 * @param fencingToken the token that is sent to workers
 */
public record HeartbeatContext(
        Object lock,
        BooleanSupplier isClosed,
        EventLoop loop,
        Leadership leadership,
        FencingToken fencingToken) {}
