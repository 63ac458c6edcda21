/**
 * The controller node and the leaderships that it holds. {@code ControllerNode} follows the leader,
 * takes part in elections, and answers heartbeats while there is no leader; {@code LeaderService}
 * runs the timers of one leadership, whose parts {@code LeaderParts} creates and connects. The
 * decisions are made in the subpackages; {@code LayersTest} checks the dependencies between them.
 *
 * <p>There are two locks: the node's monitor guards its current leadership and the state of its own
 * parts; the leader's monitor guards all state of one leadership.
 */
package org.meadowhollow.coordination;
