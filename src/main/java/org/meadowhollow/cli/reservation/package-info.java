/**
 * The operators' command line for reservations and maintenance windows: flags, requests to a node,
 * and the rendering of plans. Runs in a process of its own on one thread; it calls {@code protocol}
 * only and keeps no state.
 */
package org.meadowhollow.cli.reservation;
