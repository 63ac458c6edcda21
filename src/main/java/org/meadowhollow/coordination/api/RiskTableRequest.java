package org.meadowhollow.coordination.api;

import org.meadowhollow.model.FencingToken;

/**
 * What a standby asks the leader: the samples since those it has, or a page of whole tables.
 *
 * @param requester whom, and how far that node is, which tells the leader who could take over
 * @param token whose samples it has, or {@link FencingToken#NONE}
 * @param afterSample the last sample that it has; -1 to ask for whole tables
 * @param afterMachine with whole tables: the machine to begin after, empty for the first page
 */
public record RiskTableRequest(
        ControllerStatus requester, FencingToken token, long afterSample, String afterMachine) {
    public boolean isForFullTables() {
        return afterSample < 0;
    }
}
