/**
 * The ports of a controller: its settings, and the interfaces to the cloud, the workers and the
 * peers, which the protocol layer implements, with the messages that cross them. This package makes
 * no decisions and owns no state; it may use {@code model} and {@code storage} only.
 * Implementations are also called with the leader's lock held, so they must not block.
 */
package org.meadowhollow.coordination.api;
