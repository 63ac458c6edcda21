/**
 * The operators' HTTP interface to reservations and maintenance windows: paths, status codes and
 * JSON fields. The package owns no state, calls {@code coordination.reservation} and is called on
 * the threads of the transport. {@code ReservationCodec} is the only class that knows the field
 * names.
 */
package org.meadowhollow.protocol.reservation;
