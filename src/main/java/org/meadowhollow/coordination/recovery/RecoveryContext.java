package org.meadowhollow.coordination.recovery;

import org.meadowhollow.model.EventLoop;
import org.meadowhollow.storage.KeyValueStore;

/**
 * What each part of a recovery uses.
 *
 * @param lock the leader's lock, under which answers of the store are taken in
 */
public record RecoveryContext(
        Object lock, RecoveryListener listener, KeyValueStore store, EventLoop loop) {}
