package org.meadowhollow.coordination.succession;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.meadowhollow.coordination.platform.NodeStatus;
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
    static final Duration FRESH = Standby.PULL.multipliedBy(5).dividedBy(2);

    private record Seen(NodeStatus status, MonotonicTime at) {}

    private final Map<String, Seen> members = new TreeMap<>();

    /** A standby has asked. */
    public void seen(NodeStatus status, MonotonicTime now) {
        Seen before = members.put(status.member(), new Seen(status, now));
        if (before == null || before.status().incarnation() != status.incarnation()) {
            LOG.info(
                    "{} in {} follows, program {}, records of schema {}",
                    status.member(),
                    status.zone(),
                    status.program(),
                    status.schema());
        }
    }

    /**
     * Who could take over best: of those heard of lately that read records of our schema, the one
     * that stands at the latest revision; of equal ones the first by name, so that one of them is
     * meant.
     */
    public Optional<String> heir(int schema, MonotonicTime now) {
        return members.values().stream()
                .filter(each -> now.elapsedSince(each.at()).compareTo(FRESH) <= 0)
                .map(Seen::status)
                .filter(status -> status.schema() == schema)
                .max(
                        Comparator.<NodeStatus>comparingLong(status -> status.revision().value())
                                .thenComparing(NodeStatus::member, Comparator.reverseOrder()))
                .map(NodeStatus::member);
    }
}
