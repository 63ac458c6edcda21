/**
 * One node, and one leadership on it: {@code Node} follows and is elected, {@code Leader} brings
 * records, reports, rounds and the fleet of one term together. The rooms below decide; {@code
 * LayersTest} checks who may know whom.
 */
package org.meadowhollow.coordination;
