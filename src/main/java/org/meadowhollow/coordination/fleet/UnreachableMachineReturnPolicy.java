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
 * hangs is still charged for. A machine that may not be returned is therefore kept until the
 * cloud's list shows its end. Once it has been silent for {@link
 * #COMMON_CAUSE_RETURN_AFTER_LEASES}, neither the silence of many machines nor that of its zone
 * protects it any longer; heartbeats at another controller and the limit on the number of returns
 * still do.
 *
 * <p>Not thread-safe; all methods run on the same event loop. {@link #onHeartbeat} is called with
 * the leader's lock held. {@link Autoscaler} calls the other methods without it: {@link
 * #selectForReturn} in each round, and {@link #recordReturned} when the cloud has confirmed a
 * return.
 */
public final class UnreachableMachineReturnPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(UnreachableMachineReturnPolicy.class);

    /**
     * Silence, in worker leases, after which a machine may be returned. Its tasks have ended by
     * then, but the machine may still resume.
     */
    private static final double RETURN_AFTER_LEASES = 1.5;

    /**
     * Silence, in heartbeat intervals, after which a machine that blocks other work may be
     * returned: 2 x 1.25 for two heartbeats in a row that are each a quarter of the interval late,
     * and 0.2 for a probe. The return proves the end of its tasks before its lease expires.
     */
    private static final double URGENT_RETURN_AFTER_HEARTBEATS = 2.7;

    /**
     * Silence, in worker leases, after which a machine may be returned even if many machines, or
     * most of its zone, are silent for a common cause. All partitions observed so far ended sooner.
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
     * Number of late heartbeats within one lease that suspends returns. A heartbeat is late if its
     * machine had been silent for longer than {@link #URGENT_RETURN_AFTER_HEARTBEATS}. A single one
     * comes from a machine that hung; several point to a fault of this node, which may itself have
     * been paused.
     */
    private static final int LATE_HEARTBEATS_TO_SUSPEND = 2;

    private final FailureDetector detector;
    private final DeploymentSettings deploymentSettings;

    /**
     * Times within the last lease at which returns of silent machines were confirmed, one entry for
     * each machine.
     */
    private final ArrayDeque<MonotonicTime> returnedAt = new ArrayDeque<>();

    /**
     * Times within the last lease at which late heartbeats arrived; see {@link
     * #LATE_HEARTBEATS_TO_SUSPEND}.
     */
    private final ArrayDeque<MonotonicTime> lateHeartbeatsAt = new ArrayDeque<>();

    /**
     * End of the latest suspension of returns, or null if there was none. A suspension does not
     * apply to machines that have been silent for longer than {@link
     * #COMMON_CAUSE_RETURN_AFTER_LEASES}.
     */
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
     * Records a heartbeat. If it is at least the second late one within a lease, returns are
     * suspended for one lease from now, since other silent machines may become reachable again as
     * well. Must be called before the machine's last contact is updated.
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

    /**
     * Returns the silent machines to return now, the longest silent first. They count against the
     * limit only after {@link #recordReturned}.
     */
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
                // Two conditions: a recent query found that no peer receives the machine's
                // heartbeats, and no earlier query within the urgent limit found that one does.
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

    /**
     * Returns the number of machines that may be returned now: the limit, less the machines whose
     * return was confirmed within the last lease, a sliding window.
     */
    private int remainingReturns(int machinesInService, MonotonicTime now) {
        dropOlderThanLease(returnedAt, now);
        int limit =
                Math.max(1, (int) (machinesInService * LeaderReachability.DEGRADED_OVERDUE_SHARE));
        return Math.max(0, limit - returnedAt.size());
    }

    /** Records that the cloud confirmed returns, which count against the limit for one lease. */
    void recordReturned(int machines, MonotonicTime now) {
        for (int recorded = 0; recorded < machines; recorded++) {
            returnedAt.add(now);
        }
    }

    private boolean isSeenByPeer(Machine machine, MonotonicTime now) {
        MonotonicTime seenAt = detector.seenByPeerAt(machine);
        return seenAt != null && now.secondsSince(seenAt) <= urgentSilenceLimitSeconds();
    }

    /** Returns the seconds of silence after which a machine may be returned. */
    private double silenceLimitSeconds(Machine machine) {
        if (machine.lastContactAt() == null) {
            // This leader has never heard from the machine, which may still be booting. Its silence
            // counts from Machine#knownSince, and the limit covers a slow boot.
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
