package org.meadowhollow.coordination.leadership;

/** Why a leader releases its lease. */
enum ReleaseReason {
    /** Hardly any worker reaches its node. */
    ISOLATED("isolated", "isolated from workers"),
    /** Its process is about to end. */
    SHUTDOWN("shutdown", "handed over"),
    /** It renews its lease, but learns nothing of the jobs, or none of its rounds succeeds. */
    STALLED("stalled", "stalled");

    private final String requestText;
    private final String endText;

    ReleaseReason(String requestText, String endText) {
        this.requestText = requestText;
        this.endText = endText;
    }

    /** The reason as the log names it when the release is requested. */
    String requestText() {
        return requestText;
    }

    /** The reason as the log names it when the leadership has ended. */
    String endText() {
        return endText;
    }
}
