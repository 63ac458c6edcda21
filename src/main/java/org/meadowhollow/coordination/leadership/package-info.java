/**
 * Who leads: the key under a lease in the state service, its term, and who may stand for it when.
 * Touches the records of the term and of the leader, and nothing else.
 */
package org.meadowhollow.coordination.leadership;
