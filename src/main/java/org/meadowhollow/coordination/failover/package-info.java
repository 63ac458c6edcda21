/**
 * What a leadership leaves to the next: the records as a standby follows them, copies of the risk
 * tables, who could take over best, and what a new leader checks before its first decision. All but
 * the records are hints. Reads the state service and asks the leader; writes nothing and decides
 * nothing that the lease decides.
 */
package org.meadowhollow.coordination.failover;
