package org.meadowhollow.coordination.recovery;

import org.meadowhollow.model.EventLoop;
import org.meadowhollow.storage.KeyValueStore;

/**
 * Dependencies that the classes of a recovery share.
 *
 * @param lock the leader's lock, under which responses of the store are applied
 */
public record RecoveryContext(
        Object lock, RecoveryListener listener, KeyValueStore store, EventLoop loop) {}
