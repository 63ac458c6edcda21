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
 * Selects the silent machines that are returned to the cloud. A return proves that the tasks on a
 * machine have ended, which can be worth much, but it is irreversible, so it is the last resort:
 * not while many machines are silent at once, not in a zone that is mostly silent, not for a
 * machine whose heartbeats another controller receives, and not for many machines in a short time.
 *
 * <p>Keeping a failed machine costs little: the cloud lists it as failed within a minute, and from
 * then on it is free of charge; a preempted one is left out of the list; only one that hangs is
 * paid for. So a machine that is not returned for silence alone waits for the cloud's list, or for
 * {@link #LAST_RESORT_LEASES}.
 *
 * <p>Not thread-safe: {@link #onHeartbeat} is called with the leader's lock held, the rest from the
 * leader's round outside it, on the same event loop.
 */
public final class UnreachableMachineReturnPolicy {
    private static final Logger LOG = LoggerFactory.getLogger(UnreachableMachineReturnPolicy.class);

    /**
     * A silent machine is returned after this many leases: its tasks have ended, but it may yet
     * resume.
     */
    private static final double RETURN_AFTER_LEASES = 1.5;

    /**
     * A machine that blocks other work is returned after this many heartbeat intervals: two
     * heartbeats in a row at their latest (a quarter late each), and time for a probe. Its return
     * proves its tasks ended before its lease expires.
     */
    private static final double RETURN_AFTER_HEARTBEATS = 2.7;

    /**
     * Where silence has a common cause, a machine is returned after this many leases; any partition
     * observed was over by then.
     */
    private static final double LAST_RESORT_LEASES = 10;

    /**
     * Above this share of silent machines a zone is partitioned, rather than its machines failed.
     */
    private static final double PARTITIONED_ZONE_SHARE = 0.5;

    /** In a zone with fewer machines than this, the share carries no information. */
    private static final int MIN_MACHINES_IN_ZONE = 4;

    /**
     * Machines that send heartbeats after they seemed failed: one is a machine that hung; more
     * point to this node, which may itself have been paused.
     */
    private static final int LATE_HEARTBEATS_TO_SUSPEND = 2;

    private final FailureDetector detector;
    private final DeploymentSettings deploymentSettings;

    /** When machines were returned for silence, one entry each, within the last lease. */
    private final ArrayDeque<MonotonicTime> returnedAt = new ArrayDeque<>();

    /** When heartbeats arrived from machines about to be returned, within the last lease. */
    private final ArrayDeque<MonotonicTime> lateHeartbeatsAt = new ArrayDeque<>();

    /** Until when nothing is returned for silence alone, or null if that never was suspended. */
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
        return toSeconds(deploymentSettings.heartbeatInterval()) * RETURN_AFTER_HEARTBEATS;
    }

    private double ordinarySilenceLimitSeconds() {
        return toSeconds(deploymentSettings.workerLease()) * RETURN_AFTER_LEASES;
    }

    /**
     * Suspends returns for one lease when heartbeats arrive from several machines that were about
     * to be returned, since others may become reachable again as well. Call it before the machine's
     * last contact is updated.
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
                    "returns for silence alone suspended silenceLimitSeconds={} durationSeconds={}:"
                            + " machines silent for longer send heartbeats again",
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

    /** The silent machines to return now, the longest silent first. */
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
        double lastResortSeconds = toSeconds(deploymentSettings.workerLease()) * LAST_RESORT_LEASES;
        return candidates.stream()
                .filter(
                        machine ->
                                (!hasCommonCause && !partitionedZones.contains(machine.zone()))
                                        || detector.silentSeconds(machine, now) > lastResortSeconds)
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
     * The zones where most machines are silent although the cloud still lists them, unless there is
     * only one zone at all.
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

    /** How many more machines may be returned within the current lease. */
    private int remainingReturns(int machinesInService, MonotonicTime now) {
        dropOlderThanLease(returnedAt, now);
        int limit =
                Math.max(1, (int) (machinesInService * LeaderReachability.DEGRADED_OVERDUE_SHARE));
        return Math.max(0, limit - returnedAt.size());
    }

    /** Records that machines were returned, which counts against how many more may be. */
    void recordReturned(int machines, MonotonicTime now) {
        for (int recorded = 0; recorded < machines; recorded++) {
            returnedAt.add(now);
        }
    }

    private boolean isSeenByPeer(Machine machine, MonotonicTime now) {
        MonotonicTime seenAt = detector.seenByPeerAt(machine);
        return seenAt != null && now.secondsSince(seenAt) <= urgentSilenceLimitSeconds();
    }

    /** How long a machine may be silent before it is returned. */
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
     * Whether a service or a gang is blocked while it is unknown whether the machine's tasks still
     * run.
     */
    private static boolean blocksServiceOrGang(Machine machine) {
        return machine.placements().stream()
                .anyMatch(placement -> placement.job().spec().kind() != JobKind.ARRAY);
    }
}
