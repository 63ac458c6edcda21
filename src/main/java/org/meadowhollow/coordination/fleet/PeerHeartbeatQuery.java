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
 * Tracks which overdue machines the other controllers are asked about, and what they answered.
 * Sends nothing itself: {@link FailureDetector} takes a prepared query, sends it without holding
 * the lock, and records the responses. At most one query is in flight. Guarded by the leader's
 * lock, which every caller holds.
 */
final class PeerHeartbeatQuery {
    /**
     * Maximum number of machines in one query: a few kilobytes, and more than the overdue machines
     * that make reachability degraded in a fleet of a thousand.
     */
    private static final int MAX_MACHINES_PER_QUERY = 300;

    /** Minimum time between two queries about the same machine. */
    private static final Duration QUERY_INTERVAL = Duration.ofSeconds(3);

    /** Time for which the finding that no peer received heartbeats from a machine remains valid. */
    private static final Duration UNSEEN_VALIDITY = QUERY_INTERVAL.multipliedBy(2);

    private final Map<MachineId, MonotonicTime> queriedAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> unseenByPeersAt = new HashMap<>();
    private final Map<MachineId, MonotonicTime> seenByPeerAt = new HashMap<>();

    /** The machines of the next query; empty if there is nothing to ask. */
    private List<MachineId> pendingMachines = List.of();

    private boolean inFlight;
    private int answeredQuerySize;
    private List<PeerReachabilityReport> reports = List.of();

    /** Time at which the last responses arrived, or null before the first ones. */
    private MonotonicTime reportsAt;

    /**
     * Discards the results about machines that are no longer overdue, and prepares the next query.
     *
     * @param overdue all machines whose heartbeat is overdue
     * @param silentSeconds returns the seconds since anything was last received from a machine
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
        }
    }

    /**
     * Selects the machines that are due for a query, those silent for longest first: they may be
     * the next to be returned, and the responses of the peers decide about that.
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

    /** Removes and returns the machines of the prepared query; empty if there is none. */
    List<MachineId> takePending() {
        List<MachineId> machines = pendingMachines;
        pendingMachines = List.of();
        inFlight |= !machines.isEmpty();
        return machines;
    }

    /** Records the peers' responses to a query. */
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
                // No longer overdue: its heartbeat arrived here in the meantime.
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

    /** Whether the last responses arrived at or after a given time. */
    boolean hasReportsSince(MonotonicTime earliest) {
        return reportsAt != null && !reportsAt.isBefore(earliest);
    }

    /** Returns the last responses, one for each peer; empty before the first ones. */
    List<PeerReachabilityReport> reports() {
        return reports;
    }

    /** Returns the number of machines that the last responses are about. */
    int answeredQuerySize() {
        return answeredQuerySize;
    }

    /** Whether a recent query found that no peer receives heartbeats from a machine. */
    boolean isUnseenByAllPeers(Machine machine, MonotonicTime now) {
        MonotonicTime unseenAt = unseenByPeersAt.get(machine.id());
        return unseenAt != null && now.elapsedSince(unseenAt).compareTo(UNSEEN_VALIDITY) <= 0;
    }

    /**
     * Returns the time at which a peer last confirmed heartbeats from an overdue machine, or null
     * if none did.
     */
    MonotonicTime seenByPeerAt(Machine machine) {
        return seenByPeerAt.get(machine.id());
    }
}
