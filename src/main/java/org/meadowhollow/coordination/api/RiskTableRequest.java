package org.meadowhollow.coordination.api;

import org.meadowhollow.model.FencingToken;

/**
 * The request of a standby to the leader: for the samples after those it has, or for a page of
 * whole tables.
 *
 * @param requester the status of the standby, from which the leader knows who could take over
 * @param token the token of the leader whose samples it has, or {@link FencingToken#NONE}
 * @param afterSample the last sample that it has; -1 to ask for whole tables
 * @param afterMachine with whole tables: the machine to begin after, empty for the first page
 */
public record RiskTableRequest(
        ControllerStatus requester, FencingToken token, long afterSample, String afterMachine) {
    /** Whether whole tables are asked for. */
    public boolean isForFullTables() {
        return afterSample < 0;
    }
}
