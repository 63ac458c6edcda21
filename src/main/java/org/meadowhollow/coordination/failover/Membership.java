package org.meadowhollow.coordination.failover;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The standbys of a leader, as their requests describe them, for the choice of a preferred
 * successor. A hint: who leads next is decided by the lease alone. Guarded by the leader's lock.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    /**
     * A status older than this is ignored, since the standby may have failed; long enough for two
     * lost requests.
     */
    static final Duration MAX_STATUS_AGE = WarmStandby.PULL_INTERVAL.multipliedBy(5).dividedBy(2);

    private record ReceivedStatus(ControllerStatus status, MonotonicTime receivedAt) {}

    private final Map<String, ReceivedStatus> statusByMember = new TreeMap<>();

    /** Records the status that a standby sent with a request. */
    public void recordStatus(ControllerStatus status, MonotonicTime now) {
        ReceivedStatus previous =
                statusByMember.put(status.member(), new ReceivedStatus(status, now));
        if (previous == null
                || previous.status().processIncarnation() != status.processIncarnation()) {
            LOG.info(
                    "standby joined node={} zone={} version={} schema={}",
                    status.member(),
                    status.zone(),
                    status.softwareVersion(),
                    status.schemaVersion());
        }
    }

    /**
     * Returns the standby that should be elected next: of those with a recent status that read
     * records of this schema, the one whose replica is at the latest revision, and of equal ones
     * the first by name.
     *
     * @param schema the version of the record schema that this leader writes
     * @return empty if no standby qualifies
     */
    public Optional<String> preferredSuccessor(int schema, MonotonicTime now) {
        return statusByMember.values().stream()
                .filter(each -> now.elapsedSince(each.receivedAt()).compareTo(MAX_STATUS_AGE) <= 0)
                .map(ReceivedStatus::status)
                .filter(status -> status.schemaVersion() == schema)
                .max(
                        Comparator.comparing(ControllerStatus::replicaRevision)
                                .thenComparing(ControllerStatus::member, Comparator.reverseOrder()))
                .map(ControllerStatus::member);
    }
}
