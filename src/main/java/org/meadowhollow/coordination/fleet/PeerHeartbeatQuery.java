package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;

/**
 * Which overdue machines the other controllers are asked about, and what they answered. Sends
 * nothing itself: {@link FailureDetector} takes a prepared query, sends it outside the lock and
 * brings the answers back. At most one query is in flight. Guarded by the leader's lock, which
 * every caller holds.
 */
final class PeerHeartbeatQuery {
    /**
     * Machines named in one query: a few kilobytes, and more than the degraded share at a thousand
     * machines.
     */
    private static final int MAX_MACHINES_PER_QUERY = 300;

    /** How often the peers are asked about the same machine. */
    private static final Duration QUERY_INTERVAL = Duration.ofSeconds(3);

    /** How long the answer that no peer received heartbeats from a machine remains valid. */
    private static final Duration UNSEEN_VALIDITY = QUERY_INTERVAL.multipliedBy(2);

    private final Map<MachineId, MonotonicTime> queriedAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> unseenByPeersAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> seenByPeerAt = new HashMap<>();

    /** The machines of the next query; empty if there is nothing to ask. */
    private List<MachineId> pendingMachines = List.of();

    private boolean inFlight;
    private int answeredQuerySize;
    private List<PeerReachabilityReport> reports = List.of();

    /** When the last answers arrived, or null before the first ones. */
    private MonotonicTime reportsAt;

    /**
     * Forgets the answers about machines that are no longer overdue, and prepares the next query.
     *
     * @param overdue all machines whose heartbeat is overdue
     * @param silentSeconds how long nothing was received from a machine
     */
    void prepare(
            List<Machine> overdue, ToDoubleFunction<Machine> silentSeconds, MonotonicTime now) {
        Set<MachineId> overdueIds = new HashSet<>();
        overdue.forEach(machine -> overdueIds.add(machine.id()));
        queriedAt.keySet().retainAll(overdueIds);
        unseenByPeersAt.keySet().retainAll(overdueIds);
        seenByPeerAt.keySet().retainAll(overdueIds);
        pendingMachines = inFlight ? List.of() : selectMachines(overdue, silentSeconds, now);
        if (!pendingMachines.isEmpty()) {
            pendingMachines.forEach(machine -> queriedAt.put(machine, now));
            inFlight = true;
        }
    }

    /**
     * The machines silent for longest go first: those may be returned next, and the peers' answers
     * decide about it.
     */
    private List<MachineId> selectMachines(
            List<Machine> overdue, ToDoubleFunction<Machine> silentSeconds, MonotonicTime now) {
        return overdue.stream()
                .filter(machine -> isQueryDue(machine, now))
                .sorted(
                        Comparator.comparingDouble(
                                        (Machine machine) -> -silentSeconds.applyAsDouble(machine))
                                .thenComparing(Machine::id))
                .limit(MAX_MACHINES_PER_QUERY)
                .map(Machine::id)
                .toList();
    }

    private boolean isQueryDue(Machine machine, MonotonicTime now) {
        MonotonicTime lastQueryAt = queriedAt.get(machine.id());
        return lastQueryAt == null || now.elapsedSince(lastQueryAt).compareTo(QUERY_INTERVAL) >= 0;
    }

    /** Takes the machines of the prepared query, to be sent; empty if there is none. */
    List<MachineId> takePending() {
        List<MachineId> machines = pendingMachines;
        pendingMachines = List.of();
        return machines;
    }

    /** Records the peers' answers to a query. */
    void recordReports(
            List<MachineId> queried, List<PeerReachabilityReport> received, MonotonicTime now) {
        inFlight = false;
        reports = received;
        reportsAt = now;
        answeredQuerySize = queried.size();
        Set<MachineId> seen = new HashSet<>();
        received.forEach(report -> seen.addAll(report.recentlyHeard()));
        for (MachineId machine : queried) {
            if (!queriedAt.containsKey(machine)) {
                // Its heartbeat arrived here in the meantime.
                continue;
            }
            if (seen.contains(machine)) {
                seenByPeerAt.put(machine, now);
                unseenByPeersAt.remove(machine);
            } else {
                unseenByPeersAt.put(machine, now);
            }
        }
    }

    /** Whether answers have arrived at a time or after it. */
    boolean hasReportsSince(MonotonicTime earliest) {
        return reportsAt != null && !reportsAt.isBefore(earliest);
    }

    /** The last answers, one for each peer; empty before the first ones. */
    List<PeerReachabilityReport> reports() {
        return reports;
    }

    /** How many machines the last answers are about. */
    int answeredQuerySize() {
        return answeredQuerySize;
    }

    /** Whether a recent query found that no peer receives heartbeats from a machine. */
    boolean isUnseenByAllPeers(Machine machine, MonotonicTime now) {
        MonotonicTime unseenAt = unseenByPeersAt.get(machine.id());
        return unseenAt != null && now.elapsedSince(unseenAt).compareTo(UNSEEN_VALIDITY) <= 0;
    }

    /** When a peer last confirmed heartbeats from an overdue machine, or null if none did. */
    MonotonicTime seenByPeerAt(Machine machine) {
        return seenByPeerAt.get(machine.id());
    }
}
