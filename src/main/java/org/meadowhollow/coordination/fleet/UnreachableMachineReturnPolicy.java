package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.heartbeat.LeaderReachability;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which silent machines are returned to the cloud. A return proves what was on a machine gone,
 * which may be worth much, but it cannot be taken back, so it is the last resort: not while many
 * are silent at once, not in a zone that is mostly silent, not what another controller hears, and
 * not many in a short time.
 *
 * <p>Keeping a dead machine costs little, since the cloud lists it as failed within a minute, from
 * when on it is free; and one that it took away is left out; only one that hangs is paid for. So
 * what is not returned for silence alone waits for the cloud's word, or for {@link
 * #LAST_RESORT_LEASES}.
 */
public final class UnreachableMachineReturnPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(UnreachableMachineReturnPolicy.class);

    /**
     * A silent machine is given up after this many leases: its tasks are gone, but it may yet go
     * on.
     */
    private static final double RETURN_AFTER_LEASES = 1.5;

    /**
     * A machine that others wait for is given up after this many reports: two in a row at their
     * latest (a quarter late each), and time for a direct question. Its return proves its tasks
     * gone before its lease does.
     */
    private static final double RETURN_AFTER_HEARTBEATS = 2.7;

    /**
     * Where silence has a common cause, a machine is given up after this many leases, by which any
     * cut seen was over.
     */
    private static final double LAST_RESORT_LEASES = 10;

    /** Above this share of silent machines a zone is cut off, rather than its machines dead. */
    private static final double PARTITIONED_ZONE_SHARE = 0.5;

    /** In a zone with fewer machines than this, the share tells nothing. */
    private static final int MIN_MACHINES_IN_ZONE = 4;

    /**
     * Machines that report after they seemed dead; one is a machine that hung, more speak against
     * the listener, which may have stood still itself.
     */
    private static final int LATE_HEARTBEATS_TO_SUSPEND = 2;

    private final FailureDetector detector;
    private final DeploymentSettings deploymentSettings;
    private final ArrayDeque<MonotonicTime> returned = new ArrayDeque<>();
    private final ArrayDeque<MonotonicTime> lateHeartbeats = new ArrayDeque<>();
    private MonotonicTime suspendedUntil;

    public UnreachableMachineReturnPolicy(
            FailureDetector detector, DeploymentSettings deploymentSettings) {
        this.detector = detector;
        this.deploymentSettings = deploymentSettings;
    }

    private static double toSeconds(Duration span) {
        return span.toNanos() / 1e9;
    }

    private double urgentSilenceLimitSeconds() {
        return toSeconds(deploymentSettings.heartbeatInterval()) * RETURN_AFTER_HEARTBEATS;
    }

    /**
     * A report has come: if it is from a machine that was about to be given up, others may be heard
     * again as well.
     */
    public void onHeartbeat(Machine machine, MonotonicTime now) {
        if (machine.lastContactAt() == null
                || detector.silentSeconds(machine, now) <= urgentSilenceLimitSeconds()) {
            return;
        }
        dropOlderThanLease(lateHeartbeats, now);
        lateHeartbeats.add(now);
        if (lateHeartbeats.size() >= LATE_HEARTBEATS_TO_SUSPEND) {
            if (suspendedUntil == null || suspendedUntil.isBefore(now)) {
                LOG.info(
                        "machines that were silent for more than {} s report again: none is returned for silence alone"
                                + " for {} s",
                        urgentSilenceLimitSeconds(),
                        deploymentSettings.workerLease().toSeconds());
            }
            suspendedUntil = now.plus(deploymentSettings.workerLease());
        }
    }

    private void dropOlderThanLease(ArrayDeque<MonotonicTime> times, MonotonicTime now) {
        while (!times.isEmpty()
                && now.elapsedSince(times.peek()).compareTo(deploymentSettings.workerLease()) > 0) {
            times.poll();
        }
    }

    /** The silent machines to return now, the longest silent first. */
    List<MachineId> selectForReturn(List<Machine> machines, MonotonicTime now) {
        List<Machine> candidates = new ArrayList<>();
        Map<String, Integer> known = new HashMap<>();
        Map<String, Integer> silent = new HashMap<>();
        int count = 0;
        for (Machine machine : machines) {
            if (machine.releasing()) {
                continue;
            }
            count++;
            known.merge(machine.zone(), 1, Integer::sum);
            double silentS = detector.silentSeconds(machine, now);
            if (silentS > urgentSilenceLimitSeconds()
                    && !detector.isMissingFromMachineList(machine)) {
                silent.merge(machine.zone(), 1, Integer::sum);
            }
            if (silentS > silenceLimitSeconds(machine)) {
                candidates.add(machine);
            }
        }
        if (candidates.isEmpty()) {
            return List.of();
        }
        boolean common =
                detector.reachability() != LeaderReachability.Reachability.HEALTHY
                        || suspendedUntil != null && now.isBefore(suspendedUntil);
        Set<String> cutOff = new HashSet<>();
        known.forEach(
                (zone, all) -> {
                    if (known.size() > 1
                            && all >= MIN_MACHINES_IN_ZONE
                            && silent.getOrDefault(zone, 0) > PARTITIONED_ZONE_SHARE * all) {
                        cutOff.add(zone);
                    }
                });
        dropOlderThanLease(returned, now);
        int mostNow =
                Math.max(1, (int) (count * LeaderReachability.DEGRADED_OVERDUE_SHARE))
                        - returned.size();
        double lastResortS = toSeconds(deploymentSettings.workerLease()) * LAST_RESORT_LEASES;
        return candidates.stream()
                .filter(
                        machine ->
                                !common && !cutOff.contains(machine.zone())
                                        || detector.silentSeconds(machine, now) > lastResortS)
                .filter(
                        machine ->
                                detector.isUnseenByAllPeers(machine, now)
                                        && !isSeenByPeer(machine, now))
                .sorted(
                        Comparator.comparingDouble(
                                        (Machine machine) -> -detector.silentSeconds(machine, now))
                                .thenComparing(Machine::id))
                .limit(Math.max(0, mostNow))
                .map(Machine::id)
                .toList();
    }

    /** Notes that machines were returned, which counts against how many more may be. */
    void returned(int machines, MonotonicTime now) {
        for (int at = 0; at < machines; at++) {
            returned.add(now);
        }
    }

    private boolean isSeenByPeer(Machine machine, MonotonicTime now) {
        MonotonicTime at = detector.seenByPeerAt(machine);
        return at != null && now.secondsSince(at) <= urgentSilenceLimitSeconds();
    }

    /** How long a machine may be silent before it is given up. */
    private double silenceLimitSeconds(Machine machine) {
        if (machine.lastContactAt() == null) {
            // Not one word since this leader began or the cloud listed it as running: as for one
            // that never comes up.
            return Math.max(
                    machine.type().bootSeconds() * PendingRentals.ABANDON_BOOT_FACTOR,
                    toSeconds(deploymentSettings.workerLease()) * RETURN_AFTER_LEASES);
        }
        return blocksServiceOrGang(machine)
                ? urgentSilenceLimitSeconds()
                : toSeconds(deploymentSettings.workerLease()) * RETURN_AFTER_LEASES;
    }

    /**
     * Whether a service or a gang is held up while nobody knows if the machine's tasks still run.
     */
    private static boolean blocksServiceOrGang(Machine machine) {
        return machine.placements().stream()
                .anyMatch(placement -> placement.job().spec().kind() != JobKind.ARRAY);
    }
}
