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
 * The standbys as a leader knows them by their questions. It serves the hand-over and decides
 * nothing that the lease decides. Guarded by the leader's lock.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    /**
     * Two questions that a standby did not get through; of one that has been silent for longer
     * nothing is known.
     */
    static final Duration MAX_STATUS_AGE = WarmStandby.PULL_INTERVAL.multipliedBy(5).dividedBy(2);

    private record ReceivedStatus(ControllerStatus status, MonotonicTime receivedAt) {}

    private final Map<String, ReceivedStatus> statusByMember = new TreeMap<>();

    /** A standby has asked. */
    public void recordStatus(ControllerStatus status, MonotonicTime now) {
        ReceivedStatus before =
                statusByMember.put(status.member(), new ReceivedStatus(status, now));
        if (before == null || before.status().processIncarnation() != status.processIncarnation()) {
            LOG.info(
                    "{} in {} follows, program {}, records of schema {}",
                    status.member(),
                    status.zone(),
                    status.softwareVersion(),
                    status.schemaVersion());
        }
    }

    /**
     * Who could take over best: of those heard of lately that read records of our schema, the one
     * that stands at the latest revision; of equal ones the first by name, so that one of them is
     * meant.
     */
    public Optional<String> preferredSuccessor(int schema, MonotonicTime now) {
        return statusByMember.values().stream()
                .filter(each -> now.elapsedSince(each.receivedAt()).compareTo(MAX_STATUS_AGE) <= 0)
                .map(ReceivedStatus::status)
                .filter(status -> status.schemaVersion() == schema)
                .max(
                        Comparator.<ControllerStatus>comparingLong(
                                        status -> status.replicaRevision().value())
                                .thenComparing(ControllerStatus::member, Comparator.reverseOrder()))
                .map(ControllerStatus::member);
    }
}
