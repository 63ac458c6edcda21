/**
 * What one leadership leaves to the next. A standby follows the records in the key-value store and
 * the risk tables of the leader, so that a new leader on its node need not begin from nothing.
 *
 * <p><b>Decides</b> which standby is the preferred successor, and whether a new leader may make its
 * first decision ({@link org.meadowhollow.coordination.failover.FailoverPreconditions}). It decides
 * nothing that the leader's lease decides: all but the records are hints.
 *
 * <p><b>Owns</b> replicas of the records by prefix, replicas of the risk tables, the status of each
 * standby as the leader last received it, and the stored snapshot of the risk tables, which is all
 * that it writes.
 *
 * <p><b>May call</b> the key-value store, the peers and the event loop.
 *
 * <p><b>Locks.</b> What a leader uses ({@link
 * org.meadowhollow.coordination.failover.HandoverState}, {@link
 * org.meadowhollow.coordination.failover.Membership}, the publisher, the timeline) is guarded by
 * the leader's lock; what a standby uses has locks of its own. No I/O happens under either.
 */
package org.meadowhollow.coordination.failover;
