/**
 * Heartbeat bookkeeping of one controller node, and the evaluation of missing heartbeats as a sign
 * that the node itself is isolated.
 *
 * <p>Decides whether a leader still receives enough heartbeats to act on missing ones, and whether
 * an isolated leader resigns its leadership. {@link
 * org.meadowhollow.coordination.heartbeat.HeartbeatTracker} records when this node received
 * heartbeats, whether or not it leads, and is guarded by its own monitor. {@link
 * org.meadowhollow.coordination.heartbeat.DeferredHeartbeats} holds heartbeats whose responses are
 * deferred, and is guarded by the lock of its owner. Everything else here is a pure function of the
 * counts and times passed in. Nothing here does I/O or has a timer or a clock of its own. Depends
 * on {@code coordination.api} and {@code model} only.
 */
package org.meadowhollow.coordination.heartbeat;
