/**
 * Reservations and maintenance windows: when they recur, whether they can be promised, and what
 * they mean for a round.
 */
package org.meadowhollow.coordination.reservation;
