package org.meadowhollow.coordination.platform;

import org.meadowhollow.model.FencingToken;

/**
 * What a standby asks the leader: the samples since those it has, or a page of whole tables.
 *
 * @param from whom, and how far that node is, which tells the leader who could take over
 * @param term whose samples it has, or {@link FencingToken#NONE}
 * @param after the last sample that it has; -1 to ask for whole tables
 * @param afterMachine with whole tables: the machine to begin after, empty for the first page
 */
public record TableQuestion(NodeStatus from, FencingToken term, long after, String afterMachine) {
    public boolean isForWhole() {
        return after < 0;
    }
}
