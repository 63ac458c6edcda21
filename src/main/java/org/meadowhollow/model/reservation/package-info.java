/**
 * The domain types of the reservation calendar: reservations of capacity, maintenance windows, and
 * the schedules by which both recur. All types are immutable. When and where a reservation takes
 * effect is decided in {@code coordination}.
 */
package org.meadowhollow.model.reservation;
