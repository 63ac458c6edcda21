/**
 * The ports of a controller: settings, cloud, workers and peers, as interfaces that the protocol
 * layer implements, and the messages that cross them. It decides nothing and owns no state; it may
 * use {@code model} and {@code storage} only. Implementations are called also with the leader's
 * lock held, so they must not block.
 */
package org.meadowhollow.coordination.api;
