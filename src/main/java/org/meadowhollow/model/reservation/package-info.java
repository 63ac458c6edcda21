/**
 * The domain types of the reservation calendar: reservations of capacity, maintenance windows, and
 * the schedules on which both recur. All types are immutable. The time and machines at which a
 * reservation takes effect are decided in {@code coordination}.
 */
package org.meadowhollow.model.reservation;
