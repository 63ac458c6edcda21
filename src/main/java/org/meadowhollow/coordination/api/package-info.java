/**
 * What a node runs on and talks to: settings, cloud, workers and the other controllers, as ports
 * that the protocol layer fills. Decides nothing.
 */
package org.meadowhollow.coordination.api;
