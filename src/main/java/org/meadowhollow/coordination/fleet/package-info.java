/**
 * Management of the leader's fleet of machines: renting and returning them, and the handling of
 * missing heartbeats.
 *
 * <p>Decides when to scale out and in ({@link org.meadowhollow.coordination.fleet.Autoscaler}), how
 * well heartbeats reach the leader and whether it resigns ({@link
 * org.meadowhollow.coordination.fleet.FailureDetector}), when tasks on a silent machine count as
 * ended ({@link org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor}) and which silent
 * machines are returned ({@link
 * org.meadowhollow.coordination.fleet.UnreachableMachineReturnPolicy}). Owns the pending rentals,
 * the returned machines, the backoff of rental requests and the responses of the other controllers,
 * each for the time of one leadership; none of it is persisted.
 *
 * <p>Calls the cloud and the other controllers through {@code coordination.api}, probes workers
 * through the leader, and reports to the leader which tasks and machines have provably ended
 * ({@link org.meadowhollow.coordination.fleet.LeadershipContext}). The detector and the monitor are
 * guarded by the leader's lock, the autoscaler by a lock of its own; I/O is started without holding
 * either, except for the probes.
 */
package org.meadowhollow.coordination.fleet;
