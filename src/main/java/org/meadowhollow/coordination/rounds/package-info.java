/**
 * The scheduling rounds of one leadership: when the first round may run, what each round places,
 * preempts and demands from the autoscaler, and how reservations constrain it. It owns the state of
 * the first round's gate, the counts of placements, and the record of eviction warnings. Everything
 * runs under the leader's lock. It may call all other packages of {@code coordination}, and is
 * called by the leader's service alone.
 */
package org.meadowhollow.coordination.rounds;
