/**
 * Decides which task goes to which machine, and which tasks are preempted for others.
 *
 * <ul>
 *   <li>{@link org.meadowhollow.coordination.scheduling.PlacementOrder} is the placement policy:
 *       lowest predicted risk below the threshold, then most free capacity. No other class contains
 *       placement preferences.
 *   <li>{@link org.meadowhollow.coordination.scheduling.PlacementRound} places the pending jobs of
 *       a {@link org.meadowhollow.coordination.scheduling.SchedulingSnapshot} one after the other;
 *       {@code GangPlanner} finds machines for all tasks of a gang or for none.
 *   <li>{@link org.meadowhollow.coordination.scheduling.RiskTable} estimates from heartbeats how
 *       likely tasks are lost at a given load.
 *   <li>{@link org.meadowhollow.coordination.scheduling.PreemptionPlanner} selects the tasks to
 *       preempt, with {@code VictimSelector}.
 *   <li>{@link org.meadowhollow.coordination.scheduling.ArrivalForecast} and {@link
 *       org.meadowhollow.coordination.scheduling.ReleaseForecast} predict demand and capacity for
 *       the autoscaler.
 * </ul>
 *
 * <p>State: {@link org.meadowhollow.coordination.scheduling.ClusterState} holds the jobs and
 * machines of one leadership. All state of this package is guarded by the leader's lock; a round
 * runs on a snapshot under the same lock. Callers pass in the current time, and no class here sends
 * messages, writes records or starts threads. The package may call {@code coordination.api}, {@code
 * coordination.admission}, {@code coordination.reservation} and {@code model}.
 */
package org.meadowhollow.coordination.scheduling;
