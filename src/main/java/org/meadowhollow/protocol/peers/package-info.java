/**
 * The protocol between controllers: announcements of the leader, probes, queries for recent
 * heartbeats of workers, and the risk tables and record digests that a leader sends to its
 * standbys. The messages are hints that save time; the key-value store confirms every decision.
 *
 * <p>{@link org.meadowhollow.protocol.peers.PeerClient} sends requests, {@link
 * org.meadowhollow.protocol.peers.PeerServer} responds to them, and only {@link
 * org.meadowhollow.protocol.peers.PeerMessageCodec} knows the format of the messages. The only
 * state is the codec's Kryo instance, guarded by the codec's lock. May call the ports of {@code
 * coordination.api} and the types of {@code model} and {@code storage}.
 */
package org.meadowhollow.protocol.peers;
