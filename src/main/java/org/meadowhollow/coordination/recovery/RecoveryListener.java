package org.meadowhollow.coordination.recovery;

import org.meadowhollow.model.MonotonicTime;

/** The leadership whose state is recovered. Called with the leader's lock held. */
public interface RecoveryListener {
    /** Whether the leadership has ended, so that nothing is to be taken in any more. */
    boolean isClosed();

    /** Renews the leader's lease if it is due; called between long steps of the recovery. */
    void renewLeadershipIfDue();

    /**
     * All cancellations up to a time are known.
     *
     * @param upTo when the request was sent whose answer showed the last of them
     */
    void onCancellationsKnownUpTo(MonotonicTime upTo);
}
