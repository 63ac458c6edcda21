package org.meadowhollow.coordination.leadership;

import java.util.ArrayList;
import java.util.List;

/**
 * The result of an event: the next state and the effects to perform.
 *
 * @param next the state after the event
 * @param effects the effects, to be performed in this order once the state is {@code next}
 */
record LeadershipTransition(LeadershipState next, List<LeadershipEffect> effects) {
    /** Creates a transition with effects in the order in which they are performed. */
    static LeadershipTransition to(LeadershipState next, LeadershipEffect... effects) {
        return new LeadershipTransition(next, List.of(effects));
    }

    /** Creates the transition for an event that changes nothing. */
    static LeadershipTransition unchanged(LeadershipState state) {
        return to(state);
    }

    /** Returns a copy with one more effect after the others. */
    LeadershipTransition andThen(LeadershipEffect effect) {
        List<LeadershipEffect> all = new ArrayList<>(effects);
        all.add(effect);
        return new LeadershipTransition(next, all);
    }
}
