package org.meadowhollow.coordination.fleet;

/**
 * The machines that one rental request can draw from: those of one type, in one zone, at one price.
 *
 * @param type the name of the machine type
 * @param spot whether the machines are spot instances, which the cloud may preempt
 */
record CapacityPool(String type, String zone, boolean spot) {}
