/**
 * Reservations and maintenance windows: their recurrence, the admission of reservations, and the
 * effects of both on a scheduling round.
 *
 * <ul>
 *   <li>{@link org.meadowhollow.coordination.reservation.Recurrence} expands a schedule into
 *       occurrences.
 *   <li>{@link org.meadowhollow.coordination.reservation.ReservationPlan} assigns machines to the
 *       occurrences of reservations and is a pure function of the calendar; {@link
 *       org.meadowhollow.coordination.reservation.ReservationAdmission} uses it to decide whether a
 *       new reservation can be admitted.
 *   <li>{@link org.meadowhollow.coordination.reservation.ReservationService} serves operators'
 *       requests on every node.
 *   <li>{@link org.meadowhollow.coordination.reservation.ReservationCalendarReplica} keeps the
 *       leader's replica of the calendar, and {@link
 *       org.meadowhollow.coordination.reservation.ReservationView} holds the effects of the plan on
 *       one round: capacity held on machines, evictions and missing capacity.
 * </ul>
 *
 * <p>State: the calendar is owned by the key-value store and changed by compare-and-swap only. The
 * replica has a lock of its own; the view and {@link
 * org.meadowhollow.coordination.reservation.RuntimeEstimator} are guarded by the leader's lock; all
 * other objects are immutable or local to one call. The package may call {@code coordination.api},
 * {@code coordination.admission}, {@code storage} and {@code model}; it does not evict tasks or
 * rent machines itself.
 */
package org.meadowhollow.coordination.reservation;
