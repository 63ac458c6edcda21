package org.meadowhollow.coordination.api;

import org.meadowhollow.model.FencingToken;

/**
 * The request of a standby to the leader for the samples after those it has, or for a page of full
 * tables. A leader that does not have those samples, because it no longer keeps them or because its
 * token is another, answers with the first page of full tables.
 *
 * @param requester the status of the standby, by which the leader chooses the preferred successor
 * @param token the token of the leader whose samples it has, or {@link FencingToken#NONE}
 * @param afterSample the number of the last sample that it has; -1 to request full tables
 * @param afterMachine for full tables: the last machine of the page before, empty for the first
 *     page
 */
public record RiskTableRequest(
        ControllerStatus requester, FencingToken token, long afterSample, String afterMachine) {
    /** Whether full tables are requested. */
    public boolean isForFullTables() {
        return afterSample < 0;
    }
}
