/**
 * Decides which task goes to which machine, and which tasks are preempted for others.
 *
 * <ul>
 *   <li>{@link org.meadowhollow.coordination.scheduling.PlacementOrder} is the placement policy:
 *       least predicted risk below the threshold, then most room. It stands there and nowhere else.
 *   <li>{@link org.meadowhollow.coordination.scheduling.PlacementRound} places the pending jobs of
 *       a {@link org.meadowhollow.coordination.scheduling.SchedulingSnapshot} one after the other;
 *       {@code GangPlanner} does so for gangs, all or nothing.
 *   <li>{@link org.meadowhollow.coordination.scheduling.RiskTable} learns from heartbeats how
 *       likely a load is to end in lost tasks.
 *   <li>{@link org.meadowhollow.coordination.scheduling.PreemptionPlanner} selects the tasks to
 *       preempt, with {@code VictimSelector}.
 *   <li>{@link org.meadowhollow.coordination.scheduling.ArrivalForecast} and {@link
 *       org.meadowhollow.coordination.scheduling.ReleaseForecast} predict demand and capacity for
 *       the autoscaler.
 * </ul>
 *
 * <p>State: {@link org.meadowhollow.coordination.scheduling.ClusterState} holds the jobs and
 * machines of one leadership. It and all else here is guarded by the leader's lock; a round runs on
 * a snapshot under the same lock. The clock is passed in, and nothing here sends, writes or starts
 * threads. It may call {@code coordination.api}, {@code coordination.admission}, {@code
 * coordination.reservation} and {@code model}.
 */
package org.meadowhollow.coordination.scheduling;
