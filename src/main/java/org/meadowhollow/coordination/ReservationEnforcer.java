package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.reservation.ReservableCapacity;
import org.meadowhollow.coordination.reservation.ReservationCalendarReplica;
import org.meadowhollow.coordination.reservation.ReservationPlan;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.coordination.reservation.ReservationView;
import org.meadowhollow.coordination.reservation.RuntimeEstimator;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.coordination.scheduling.ServiceLevelObjectives;
import org.meadowhollow.model.AttemptNumber;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskId;
import org.meadowhollow.storage.KeyValueStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a leader's rounds in step with the calendar: what the round may use, who is warned, who is
 * stopped, and what is rented ahead. Guarded by the leader's lock; does nothing while it is off.
 */
final class ReservationEnforcer {
    private static final Logger LOG = LoggerFactory.getLogger(ReservationEnforcer.class);

    /**
     * Nobody is stopped sooner than this after having been warned. Mostly the warning comes two
     * minutes ahead; a window that begins at once, or a takeover, which forgets who was warned,
     * leaves this much.
     */
    private static final Duration MIN_WARNING = Duration.ofSeconds(30);

    /**
     * One replica of a service at a time leaves, and the next one only after this, so that the
     * service stays up.
     */
    private static final Duration REPLICA_MOVE_INTERVAL = Duration.ofSeconds(20);

    private static final int MAX_REMEMBERED = 10_000;

    private record WarnedAttempt(TaskId task, AttemptNumber attempt) {}

    private final LeaderService leaderService;
    private final ClusterState clusterState;
    private final ServiceLevelObjectives objectives;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final EventLoop loop;
    private final ReservationSettings reservationSettings;
    private final ReservationCalendarReplica reservationCalendar;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final Map<WarnedAttempt, MonotonicTime> warnedAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> lastMoveByService = new HashMap<>();
    private final Set<String> loggedNotices = new HashSet<>();

    ReservationEnforcer(
            LeaderService leaderService,
            ClusterState clusterState,
            ServiceLevelObjectives serviceLevelObjectives,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            KeyValueStore store,
            EventLoop loop,
            ReservationSettings settings) {
        this.leaderService = leaderService;
        this.clusterState = clusterState;
        this.objectives = serviceLevelObjectives;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.loop = loop;
        this.reservationSettings = settings;
        this.reservationCalendar =
                new ReservationCalendarReplica(store, loop, leaderService::isClosed);
    }

    void start() {
        if (reservationSettings.enabled()) {
            reservationCalendar.start();
        }
    }

    /**
     * Whether rounds may begin: not before the calendar is known, or they would place into what is
     * promised.
     */
    boolean isReady() {
        return !reservationSettings.enabled() || reservationCalendar.isLoaded();
    }

    /** A task was done that ran for some seconds. */
    void recordRuntime(JobSpec spec, double ranS) {
        if (reservationSettings.enabled()) {
            runtimeEstimator.recordRuntime(spec, ranS);
        }
    }

    /** Finds out what the calendar means for the round that begins. */
    void refreshView(MonotonicTime now) {
        if (!reservationSettings.enabled()) {
            return;
        }
        ReservableCapacity reservableCapacity =
                ReservationService.reservableCapacity(
                        machineTypeCatalog,
                        deploymentSettings,
                        reservationSettings.machineLimits());
        ReservationPlan reservationPlan =
                reservationCalendar.plan(reservableCapacity, loop.wallClockMillis());
        if (reservationPlan == null) {
            clusterState.reservationView(ReservationView.EMPTY);
            warnedAt.clear();
            return;
        }
        List<Machine> heard =
                clusterState.machines().values().stream()
                        .filter(machine -> machine.lastContactAt() != null)
                        .toList();
        Map<JobSpec, Integer> waiting = new HashMap<>();
        for (Job job : clusterState.jobs().values()) {
            if (job.pendingTaskCount() > 0) {
                waiting.put(job.spec(), job.pendingTaskCount());
            }
        }
        clusterState.reservationView(
                ReservationView.of(
                        reservationPlan,
                        heard,
                        machine -> clusterState.isSchedulable(machine, now),
                        waiting,
                        runtimeEstimator,
                        reservableCapacity,
                        objectives::startupDelaySeconds,
                        new ReservationView.RoundClocks(
                                now,
                                loop.wallClockMillis(),
                                reservationSettings.maxClockSkew().toMillis())));
    }

    /** What to rent for slots that begin before long. */
    List<Autoscaler.CapacityDemand> capacityDemand() {
        List<Autoscaler.CapacityDemand> needs = new ArrayList<>();
        for (ReservationView.CapacityShortfall capacityShortfall :
                clusterState.reservationView().shortfalls()) {
            needs.add(
                    new Autoscaler.CapacityDemand(
                            capacityShortfall.reservation().toPlaceholderJobSpec(),
                            capacityShortfall.tasks(),
                            capacityShortfall.zone(),
                            0));
            logOnce(
                    "reservation "
                            + capacityShortfall.reservation().name()
                            + " has no machines yet for "
                            + capacityShortfall.tasks()
                            + " of its tasks");
        }
        return needs;
    }

    /** Warns those who would run into a window or a slot, and stops who has to go now. */
    void enforce(MonotonicTime now) {
        ReservationView reservationView = clusterState.reservationView();
        for (ReservationView.PlannedEviction plannedEviction : reservationView.plannedEvictions()) {
            Placement placement = plannedEviction.placement();
            WarnedAttempt key = new WarnedAttempt(placement.taskId(), placement.attemptNumber());
            MonotonicTime since = warnedAt.get(key);
            if (since == null) {
                if (warnedAt.size() < MAX_REMEMBERED) {
                    warnedAt.put(key, now);
                    LOG.info(
                            "task {} attempt {} on {} will be stopped in {} s unless it is done: {}",
                            placement.taskId(),
                            placement.attemptNumber(),
                            placement.machineId(),
                            Math.max(
                                    MIN_WARNING.toSeconds(),
                                    Math.round(plannedEviction.latestStopInSeconds())),
                            plannedEviction.reason());
                }
            } else if (plannedEviction.stopInSeconds() <= 0
                    && now.elapsedSince(since).compareTo(MIN_WARNING) >= 0
                    && (plannedEviction.latestStopInSeconds() <= 0
                            || mayStopReplica(placement.job(), now))) {
                leaderService.stopWithCheckpoint(placement, plannedEviction.reason());
                lastMoveByService.put(placement.job().id(), now);
            }
        }
        reservationView
                .unusedReservations()
                .forEach(name -> logOnce("reservation " + name + " is not used and given back"));
        warnedAt.keySet()
                .removeIf(
                        key ->
                                reservationView.plannedEvictions().stream()
                                        .noneMatch(
                                                plannedEviction ->
                                                        plannedEviction
                                                                        .placement()
                                                                        .taskId()
                                                                        .equals(key.task())
                                                                && plannedEviction
                                                                        .placement()
                                                                        .attemptNumber()
                                                                        .equals(key.attempt())));
        lastMoveByService
                .values()
                .removeIf(at -> now.elapsedSince(at).compareTo(REPLICA_MOVE_INTERVAL) > 0);
    }

    /** Whether a replica can leave while all others of its service run. */
    private boolean mayStopReplica(Job job, MonotonicTime now) {
        MonotonicTime last = lastMoveByService.get(job.id());
        return job.spec().kind() != JobKind.SERVICE
                || job.pendingTaskCount() == 0
                        && (last == null
                                || now.elapsedSince(last).compareTo(REPLICA_MOVE_INTERVAL) >= 0)
                        && job.placements().stream()
                                .allMatch(one -> one.runningSince() != null && !one.isStopping());
    }

    /** Says what operators should know once, and not in every round. */
    private void logOnce(String what) {
        if (loggedNotices.size() < MAX_REMEMBERED && loggedNotices.add(what)) {
            LOG.info("{}", what);
        }
    }
}
