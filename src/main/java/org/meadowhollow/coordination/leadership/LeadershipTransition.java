package org.meadowhollow.coordination.leadership;

import java.util.ArrayList;
import java.util.List;

/**
 * The decision of {@link LeadershipStateMachine} about one event: the next state and the effects to
 * perform. {@link Leadership} sets the state under its lock, and performs the effects after it has
 * released the lock, when another event may have changed the state again.
 *
 * @param next the state after the event
 * @param effects the effects, to be performed in this order after the state was set to {@code next}
 */
record LeadershipTransition(LeadershipState next, List<LeadershipEffect> effects) {
    /**
     * Creates a transition with effects in the order in which they are performed. Without effects
     * it equals {@code unchanged(next)}.
     */
    static LeadershipTransition to(LeadershipState next, LeadershipEffect... effects) {
        return new LeadershipTransition(next, List.of(effects));
    }

    /**
     * Creates a transition without effects to the given state, usually the state before the event.
     * The caller may pass a state that it has changed already.
     */
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
