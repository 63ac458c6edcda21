/**
 * Which machines there are: renting, returning, and what silence means. Reaches the cloud, asks
 * silent workers and the other controllers, and tells the leader ({@code TermHolder}) what is
 * proven gone.
 */
package org.meadowhollow.coordination.fleet;
