/**
 * Reservations and maintenance windows: when they recur, whether a reservation can be admitted, and
 * what both mean for a scheduling round.
 *
 * <ul>
 *   <li>{@link org.meadowhollow.coordination.reservation.Recurrence} expands a schedule into
 *       occurrences.
 *   <li>{@link org.meadowhollow.coordination.reservation.ReservationPlan} assigns machines to the
 *       occurrences of reservations, a pure function of the calendar; {@link
 *       org.meadowhollow.coordination.reservation.ReservationAdmission} decides by it whether a new
 *       reservation can be met.
 *   <li>{@link org.meadowhollow.coordination.reservation.ReservationService} carries out the
 *       operators' requests, at any node.
 *   <li>{@link org.meadowhollow.coordination.reservation.ReservationCalendarReplica} keeps a
 *       leader's copy of the calendar, and {@link
 *       org.meadowhollow.coordination.reservation.ReservationView} says what the plan means for one
 *       round: holds on machines, evictions and missing capacity.
 * </ul>
 *
 * <p>State: the calendar is owned by the key-value store and changed by compare-and-swap only. The
 * replica has a lock of its own; the view and {@link
 * org.meadowhollow.coordination.reservation.RuntimeEstimator} are guarded by the leader's lock; all
 * else is immutable or local to one call. It may call {@code coordination.api}, {@code
 * coordination.admission}, {@code storage} and {@code model}; it evicts and rents nothing itself.
 */
package org.meadowhollow.coordination.reservation;
