/**
 * One controller node, and one leadership on it. {@code ControllerNode} follows the leader, is
 * elected and answers while nobody leads; {@code LeaderService} wires the parts of one leadership
 * and runs its timers. The packages below decide; {@code LayersTest} checks which of them may use
 * which.
 *
 * <p>Two locks belong here: the node's monitor guards which leadership it has and what its own
 * parts keep; the leader's monitor guards all that one leadership knows.
 */
package org.meadowhollow.coordination;
