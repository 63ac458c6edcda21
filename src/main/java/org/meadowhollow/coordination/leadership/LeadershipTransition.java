package org.meadowhollow.coordination.leadership;

import java.util.ArrayList;
import java.util.List;

/**
 * What follows from an event.
 *
 * @param next the state from now on
 * @param effects what is to be done, in this order, once the state is {@code next}
 */
record LeadershipTransition(LeadershipState next, List<LeadershipEffect> effects) {
    /** A transition with effects in their order. */
    static LeadershipTransition to(LeadershipState next, LeadershipEffect... effects) {
        return new LeadershipTransition(next, List.of(effects));
    }

    /** The event changes nothing. */
    static LeadershipTransition unchanged(LeadershipState state) {
        return to(state);
    }

    /** The same with one more effect, after the others. */
    LeadershipTransition andThen(LeadershipEffect effect) {
        List<LeadershipEffect> all = new ArrayList<>(effects);
        all.add(effect);
        return new LeadershipTransition(next, all);
    }
}
