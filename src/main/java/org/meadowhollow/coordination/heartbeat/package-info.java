/**
 * Heartbeat bookkeeping of one controller node, and what missing heartbeats say about the node
 * itself.
 *
 * <p>Decides whether a leader still receives enough heartbeats to act on missing ones, and whether
 * an isolated leader resigns its leadership. Owns the times of the heartbeats that this node
 * received, whether or not it leads ({@link
 * org.meadowhollow.coordination.heartbeat.HeartbeatTracker}, guarded by its own monitor).
 * Everything else here is a pure function of the counts and times passed in: no I/O, no timers, no
 * clock of its own. Depends on {@code coordination.api} and {@code model} only.
 */
package org.meadowhollow.coordination.heartbeat;
