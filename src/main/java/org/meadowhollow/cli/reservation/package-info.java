/**
 * The operators' command line for reservations and maintenance windows: flags, requests to a node
 * and the rendering of plans. It runs in its own process on one thread, calls only {@code protocol}
 * and keeps no state.
 */
package org.meadowhollow.cli.reservation;
