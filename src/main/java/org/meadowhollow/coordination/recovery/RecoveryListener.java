package org.meadowhollow.coordination.recovery;

import org.meadowhollow.model.MonotonicTime;

/**
 * Receives the progress of a recovery; implemented by the leadership whose state is recovered.
 * Called with the leader's lock held.
 */
public interface RecoveryListener {
    /**
     * Whether the leadership has ended, so that no further responses of the store are to be
     * applied.
     */
    boolean isClosed();

    /** Renews the leader's lease if it is due; called between long steps. */
    void renewLeadershipIfDue();

    /** Reports that more records have been loaded, and renews the leader's lease if it is due. */
    void onRecoveryProgress();

    /**
     * Reports that all cancellations up to a time are known.
     *
     * @param upTo when the request was sent whose response contained the last of them
     */
    void onCancellationsKnownUpTo(MonotonicTime upTo);
}
