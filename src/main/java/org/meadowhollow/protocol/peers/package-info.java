/**
 * The protocol between controllers: announcements of the leader, probes, what each node knows of
 * the workers' heartbeats, and what a leader gives its standbys. All of it saves time and decides
 * nothing that the key-value store does not confirm.
 *
 * <p>{@link org.meadowhollow.protocol.peers.PeerClient} sends, {@link
 * org.meadowhollow.protocol.peers.PeerServer} answers, and {@link
 * org.meadowhollow.protocol.peers.PeerMessageCodec} alone knows the form of the messages. The only
 * state is the codec's Kryo instance, guarded by the codec's lock. May call the ports of {@code
 * coordination.api} and the types of {@code model} and {@code storage}.
 */
package org.meadowhollow.protocol.peers;
