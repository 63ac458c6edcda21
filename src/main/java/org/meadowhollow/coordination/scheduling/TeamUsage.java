package org.meadowhollow.coordination.scheduling;

import org.meadowhollow.model.Resources;

/**
 * The resources that a team's tasks use, and the limit of the team's quota. Belongs to one round,
 * which adds the tasks that it places; not thread-safe.
 */
public final class TeamUsage {
    private final Resources limit;
    private Resources used;

    /**
     * Creates the usage of a team at the start of a round.
     *
     * @param limit the most that the team may use; an amount of 0 means no limit
     */
    public TeamUsage(Resources used, Resources limit) {
        this.used = used;
        this.limit = limit;
    }

    /** Whether the team may use additional resources; memory is not limited. */
    boolean allows(Resources additional) {
        Resources sum = used.plus(additional);
        return (limit.cpu() == 0 || sum.cpu() <= limit.cpu())
                && (limit.gpu() == 0 || sum.gpu() <= limit.gpu());
    }

    void add(Resources additional) {
        used = used.plus(additional);
    }
}
