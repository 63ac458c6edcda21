/**
 * The scheduling rounds of one leadership: when the first round may decide, what each round places,
 * preempts and demands from the autoscaler, and how reservations bind it. It owns the state of the
 * first round's gate, the round's counters, and who was warned of an eviction. Everything runs
 * under the leader's lock. It may call all other packages of {@code coordination}, and is called by
 * the leader's service alone.
 */
package org.meadowhollow.coordination.rounds;
