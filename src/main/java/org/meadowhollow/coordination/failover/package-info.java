/**
 * The state that one leadership hands over to the next. A standby replicates the records in the
 * key-value store and the risk tables of the leader, so that a new leader on its node need not load
 * them first.
 *
 * <p><b>Decides</b> which standby is the preferred successor, and whether a new leader may make its
 * first decision ({@link org.meadowhollow.coordination.failover.FailoverPreconditions}). Who leads
 * is decided by the lease alone; all handed-over state but the records is a hint.
 *
 * <p><b>Owns</b> replicas of the records by prefix, replicas of the risk tables, the status of each
 * standby as the leader last received it, and the stored snapshot of the risk tables, the only
 * records that it writes.
 *
 * <p><b>May call</b> the key-value store, the peers and the event loop.
 *
 * <p><b>Locks.</b> The classes that a leader uses ({@link
 * org.meadowhollow.coordination.failover.HandoverState}, {@link
 * org.meadowhollow.coordination.failover.Membership}, the publisher, the timeline) are guarded by
 * the leader's lock; those that a standby uses have locks of their own. No I/O happens under
 * either.
 */
package org.meadowhollow.coordination.failover;
