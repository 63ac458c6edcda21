package org.meadowhollow.coordination.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
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
 * Selects the silent machines to return to the cloud. The return of a machine proves that its tasks
 * have ended, which other work may be waiting for, but it is irreversible and therefore the last
 * resort. No machine is returned while many machines are silent at the same time, while most of its
 * zone is silent, or while another controller receives its heartbeats; and only a limited number is
 * returned in a short time.
 *
 * <p>Keeping a failed machine costs little: the cloud lists it as failed within a minute, and does
 * not charge for it from then on; a preempted machine disappears from the list; only a machine that
 * hangs is still charged for. A machine that may not be returned for its silence alone is therefore
 * kept until the cloud's list shows its end, or until it has been silent for {@link
 * #COMMON_CAUSE_RETURN_AFTER_LEASES}.
 *
 * <p>Not thread-safe: {@link #onHeartbeat} is called with the leader's lock held, all other methods
 * from the leader's round without it, on the same event loop.
 */
public final class UnreachableMachineReturnPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(UnreachableMachineReturnPolicy.class);

    /**
     * Silence, in worker leases, after which a machine is returned. Its tasks have ended by then,
     * but the machine may still resume.
     */
    private static final double RETURN_AFTER_LEASES = 1.5;

    /**
     * Silence, in heartbeat intervals, after which a machine that blocks other work is returned:
     * two heartbeats in a row at their latest (a quarter of the interval late each), and time for a
     * probe. The return proves the end of its tasks before its lease expires.
     */
    private static final double URGENT_RETURN_AFTER_HEARTBEATS = 2.7;

    /**
     * Silence, in worker leases, after which a machine is returned even if many machines are silent
     * for a common cause. All partitions observed so far ended sooner.
     */
    private static final double COMMON_CAUSE_RETURN_AFTER_LEASES = 10;

    /**
     * Share of silent machines above which a zone is considered partitioned, rather than its
     * machines failed.
     */
    private static final double PARTITIONED_ZONE_SHARE = 0.5;

    /** Minimum number of machines in a zone; with fewer, the share carries no information. */
    private static final int MIN_MACHINES_IN_ZONE = 4;

    /**
     * Number of machines considered failed whose heartbeats, arriving within one lease, suspend
     * returns. A single one is a machine that hung; several point to a fault of this node, which
     * may itself have been paused.
     */
    private static final int LATE_HEARTBEATS_TO_SUSPEND = 2;

    private final FailureDetector detector;
    private final DeploymentSettings deploymentSettings;

    /**
     * Times at which machines were returned for silence within the last lease, one entry for each
     * machine.
     */
    private final ArrayDeque<MonotonicTime> returnedAt = new ArrayDeque<>();

    /**
     * Times within the last lease at which heartbeats arrived from machines about to be returned.
     */
    private final ArrayDeque<MonotonicTime> lateHeartbeatsAt = new ArrayDeque<>();

    /** End of the latest suspension of returns for silence alone, or null if there was none. */
    private MonotonicTime suspendedUntil;

    /** Creates the policy of one leadership, with nothing returned so far. */
    public UnreachableMachineReturnPolicy(
            FailureDetector detector, DeploymentSettings deploymentSettings) {
        this.detector = detector;
        this.deploymentSettings = deploymentSettings;
    }

    private static double toSeconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }

    private double urgentSilenceLimitSeconds() {
        return toSeconds(deploymentSettings.heartbeatInterval()) * URGENT_RETURN_AFTER_HEARTBEATS;
    }

    private double ordinarySilenceLimitSeconds() {
        return toSeconds(deploymentSettings.workerLease()) * RETURN_AFTER_LEASES;
    }

    /**
     * Suspends returns for one lease when heartbeats arrive from several machines that were about
     * to be returned, since other silent machines may become reachable again as well. Must be
     * called before the machine's last contact is updated.
     */
    public void onHeartbeat(Machine machine, MonotonicTime now) {
        if (machine.lastContactAt() == null
                || detector.silentSeconds(machine, now) <= urgentSilenceLimitSeconds()) {
            return;
        }
        dropOlderThanLease(lateHeartbeatsAt, now);
        lateHeartbeatsAt.add(now);
        if (lateHeartbeatsAt.size() >= LATE_HEARTBEATS_TO_SUSPEND) {
            suspend(now);
        }
    }

    private void suspend(MonotonicTime now) {
        if (suspendedUntil == null || suspendedUntil.isBefore(now)) {
            LOG.info(
                    "silent machine returns suspended silence_limit_s={} duration_s={}"
                            + " reason=heartbeats received from machines silent for longer",
                    urgentSilenceLimitSeconds(),
                    deploymentSettings.workerLease().toSeconds());
        }
        suspendedUntil = now.plus(deploymentSettings.workerLease());
    }

    private boolean isSuspended(MonotonicTime now) {
        return suspendedUntil != null && now.isBefore(suspendedUntil);
    }

    private void dropOlderThanLease(ArrayDeque<MonotonicTime> times, MonotonicTime now) {
        while (!times.isEmpty()
                && now.elapsedSince(times.peek()).compareTo(deploymentSettings.workerLease()) > 0) {
            times.poll();
        }
    }

    /** Returns the silent machines to return now, the longest silent first. */
    List<MachineId> selectForReturn(List<Machine> machines, MonotonicTime now) {
        List<Machine> inService =
                machines.stream().filter(machine -> !machine.isReleasing()).toList();
        List<Machine> candidates =
                inService.stream().filter(machine -> isSilentTooLong(machine, now)).toList();
        if (candidates.isEmpty()) {
            return List.of();
        }
        boolean hasCommonCause =
                detector.reachability() != LeaderReachability.Reachability.HEALTHY
                        || isSuspended(now);
        Set<String> partitionedZones = partitionedZones(inService, now);
        double commonCauseLimitSeconds =
                toSeconds(deploymentSettings.workerLease()) * COMMON_CAUSE_RETURN_AFTER_LEASES;
        return candidates.stream()
                .filter(
                        machine ->
                                (!hasCommonCause && !partitionedZones.contains(machine.zone()))
                                        || detector.silentSeconds(machine, now)
                                                > commonCauseLimitSeconds)
                .filter(
                        machine ->
                                detector.isUnseenByAllPeers(machine, now)
                                        && !isSeenByPeer(machine, now))
                .sorted(
                        Comparator.comparingDouble(
                                        (Machine machine) -> -detector.silentSeconds(machine, now))
                                .thenComparing(Machine::id))
                .limit(remainingReturns(inService.size(), now))
                .map(Machine::id)
                .toList();
    }

    private boolean isSilentTooLong(Machine machine, MonotonicTime now) {
        return detector.silentSeconds(machine, now) > silenceLimitSeconds(machine);
    }

    /**
     * Returns the zones in which most machines are silent although the cloud still lists them; none
     * if there is only one zone.
     */
    private Set<String> partitionedZones(List<Machine> inService, MonotonicTime now) {
        Map<String, Integer> knownByZone = new HashMap<>();
        Map<String, Integer> silentByZone = new HashMap<>();
        for (Machine machine : inService) {
            knownByZone.merge(machine.zone(), 1, Integer::sum);
            if (detector.silentSeconds(machine, now) > urgentSilenceLimitSeconds()
                    && !detector.isMissingFromMachineList(machine)) {
                silentByZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        Set<String> partitioned = new HashSet<>();
        if (knownByZone.size() <= 1) {
            return partitioned;
        }
        knownByZone.forEach(
                (zone, known) -> {
                    int silent = silentByZone.getOrDefault(zone, 0);
                    if (known >= MIN_MACHINES_IN_ZONE && silent > PARTITIONED_ZONE_SHARE * known) {
                        partitioned.add(zone);
                    }
                });
        return partitioned;
    }

    /** Returns the number of machines that may still be returned within the current lease. */
    private int remainingReturns(int machinesInService, MonotonicTime now) {
        dropOlderThanLease(returnedAt, now);
        int limit =
                Math.max(1, (int) (machinesInService * LeaderReachability.DEGRADED_OVERDUE_SHARE));
        return Math.max(0, limit - returnedAt.size());
    }

    /** Records that machines were returned, which counts against the limit for one lease. */
    void recordReturned(int machines, MonotonicTime now) {
        for (int recorded = 0; recorded < machines; recorded++) {
            returnedAt.add(now);
        }
    }

    private boolean isSeenByPeer(Machine machine, MonotonicTime now) {
        MonotonicTime seenAt = detector.seenByPeerAt(machine);
        return seenAt != null && now.secondsSince(seenAt) <= urgentSilenceLimitSeconds();
    }

    /** Returns the seconds of silence after which a machine is returned. */
    private double silenceLimitSeconds(Machine machine) {
        if (machine.lastContactAt() == null) {
            // No contact since this leadership began or the cloud listed it as running: treated as
            // a machine that never finishes booting.
            return Math.max(
                    machine.type().bootSeconds() * PendingRentals.ABANDON_BOOT_FACTOR,
                    ordinarySilenceLimitSeconds());
        }
        return blocksServiceOrGang(machine)
                ? urgentSilenceLimitSeconds()
                : ordinarySilenceLimitSeconds();
    }

    /**
     * Whether a service or a gang stays blocked until it is known that the machine's tasks have
     * ended.
     */
    private static boolean blocksServiceOrGang(Machine machine) {
        return machine.placements().stream()
                .anyMatch(placement -> placement.job().spec().kind() != JobKind.ARRAY);
    }
}
