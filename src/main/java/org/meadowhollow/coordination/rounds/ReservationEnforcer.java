package org.meadowhollow.coordination.rounds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.meadowhollow.coordination.fleet.Autoscaler;
import org.meadowhollow.coordination.lifecycle.TaskStopper;
import org.meadowhollow.coordination.reservation.ReservableCapacity;
import org.meadowhollow.coordination.reservation.ReservationCalendarReplica;
import org.meadowhollow.coordination.reservation.ReservationPlan;
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
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the reservation calendar to a leader's scheduling rounds: determines which machines a
 * round may use, which tasks are warned of an eviction and then stopped, and what capacity is
 * demanded in advance. Owns the warnings given and the time of each service's last replica move.
 * Guarded by the leader's lock; does nothing while reservations are disabled.
 */
public final class ReservationEnforcer {
    private static final Logger LOG = LoggerFactory.getLogger(ReservationEnforcer.class);

    /**
     * Minimum time between a task's warning and its stop. Usually the warning comes two minutes
     * ahead; if an outage window begins at once, or after a failover, which loses the warnings,
     * this minimum is left.
     */
    private static final Duration MIN_WARNING = Duration.ofSeconds(30);

    /**
     * The minimum time between the stops of two replicas of a service, so that the service stays
     * up.
     */
    private static final Duration REPLICA_MOVE_INTERVAL = Duration.ofSeconds(20);

    /** Maximum number of warnings, and of logged notices, that are kept in memory. */
    private static final int MAX_REMEMBERED = 10_000;

    private record WarnedAttempt(TaskId task, AttemptNumber attempt) {
        static WarnedAttempt of(Placement placement) {
            return new WarnedAttempt(placement.taskId(), placement.attemptNumber());
        }
    }

    private final TaskStopper taskStopper;
    private final ClusterState clusterState;
    private final ServiceLevelObjectives objectives;
    private final EventLoop loop;
    private final ReservationSettings reservationSettings;
    private final ReservationCalendarReplica reservationCalendar;
    private final Supplier<ReservableCapacity> reservableCapacity;
    private final RuntimeEstimator runtimeEstimator = new RuntimeEstimator();
    private final Map<WarnedAttempt, MonotonicTime> warnedAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> lastMoveByService = new HashMap<>();
    private final Set<String> loggedNotices = new HashSet<>();

    /**
     * Creates the enforcer of one leadership.
     *
     * @param reservableCapacity supplies the total capacity that can be reserved, computed anew for
     *     each round
     */
    public ReservationEnforcer(
            TaskStopper taskStopper,
            ClusterState clusterState,
            ServiceLevelObjectives objectives,
            EventLoop loop,
            ReservationSettings reservationSettings,
            ReservationCalendarReplica reservationCalendar,
            Supplier<ReservableCapacity> reservableCapacity) {
        this.taskStopper = taskStopper;
        this.clusterState = clusterState;
        this.objectives = objectives;
        this.loop = loop;
        this.reservationSettings = reservationSettings;
        this.reservationCalendar = reservationCalendar;
        this.reservableCapacity = reservableCapacity;
    }

    /** Starts to replicate the calendar's records. */
    public void start() {
        if (reservationSettings.enabled()) {
            reservationCalendar.start();
        }
    }

    /**
     * Whether rounds may begin. Before the calendar is loaded, they would place tasks on reserved
     * machines.
     */
    public boolean isReady() {
        return !reservationSettings.enabled() || reservationCalendar.isLoaded();
    }

    /** Records how long a completed task was running. */
    public void recordRuntime(JobSpec spec, double seconds) {
        if (reservationSettings.enabled()) {
            runtimeEstimator.recordRuntime(spec, seconds);
        }
    }

    /** Recomputes the reservation view of the calendar for the round that begins. */
    public void refreshView(MonotonicTime now) {
        if (!reservationSettings.enabled()) {
            return;
        }
        ReservableCapacity capacity = reservableCapacity.get();
        ReservationPlan plan = reservationCalendar.plan(capacity, loop.wallClockMillis());
        if (plan == null) {
            clusterState.reservationView(ReservationView.EMPTY);
            warnedAt.clear();
            return;
        }
        List<Machine> contacted =
                clusterState.machines().values().stream()
                        .filter(machine -> machine.lastContactAt() != null)
                        .toList();
        clusterState.reservationView(
                ReservationView.of(
                        plan,
                        contacted,
                        machine -> clusterState.isSchedulable(machine, now),
                        pendingTasksBySpec(),
                        runtimeEstimator,
                        capacity,
                        objectives::startupDelaySeconds,
                        new ReservationView.RoundClocks(
                                now,
                                loop.wallClockMillis(),
                                reservationSettings.maxClockSkew().toMillis())));
    }

    private Map<JobSpec, Integer> pendingTasksBySpec() {
        Map<JobSpec, Integer> pending = new HashMap<>();
        for (Job job : clusterState.jobs().values()) {
            if (job.pendingTaskCount() > 0) {
                pending.put(job.spec(), job.pendingTaskCount());
            }
        }
        return pending;
    }

    /** Returns the capacity to rent for reservations that begin soon. */
    public List<Autoscaler.CapacityDemand> capacityDemand() {
        List<Autoscaler.CapacityDemand> demands = new ArrayList<>();
        for (ReservationView.CapacityShortfall shortfall :
                clusterState.reservationView().shortfalls()) {
            demands.add(
                    new Autoscaler.CapacityDemand(
                            shortfall.reservation().toPlaceholderJobSpec(),
                            shortfall.tasks(),
                            shortfall.zone(),
                            0));
            logOnce(
                    "reservation lacks machines reservation="
                            + shortfall.reservation().name()
                            + " tasks="
                            + shortfall.tasks());
        }
        return demands;
    }

    /**
     * Warns tasks that would run into an outage window or a reservation, and stops those whose stop
     * is due.
     */
    public void enforce(MonotonicTime now) {
        ReservationView view = clusterState.reservationView();
        view.plannedEvictions().forEach(eviction -> warnOrStop(eviction, now));
        view.unusedReservations()
                .forEach(name -> logOnce("unused reservation released reservation=" + name));
        Set<WarnedAttempt> stillPlanned = new HashSet<>();
        view.plannedEvictions()
                .forEach(eviction -> stillPlanned.add(WarnedAttempt.of(eviction.placement())));
        warnedAt.keySet().retainAll(stillPlanned);
        lastMoveByService
                .values()
                .removeIf(at -> now.elapsedSince(at).compareTo(REPLICA_MOVE_INTERVAL) > 0);
    }

    private void warnOrStop(ReservationView.PlannedEviction eviction, MonotonicTime now) {
        Placement placement = eviction.placement();
        WarnedAttempt attempt = WarnedAttempt.of(placement);
        MonotonicTime warnedSince = warnedAt.get(attempt);
        if (warnedSince == null) {
            if (warnedAt.size() < MAX_REMEMBERED) {
                warnedAt.put(attempt, now);
                logWarning(eviction);
            }
        } else if (eviction.stopInSeconds() <= 0
                && now.elapsedSince(warnedSince).compareTo(MIN_WARNING) >= 0
                && (eviction.latestStopInSeconds() <= 0 || mayStopReplica(placement.job(), now))) {
            taskStopper.stopWithCheckpoint(placement, eviction.reason());
            lastMoveByService.put(placement.job().id(), now);
        }
    }

    private static void logWarning(ReservationView.PlannedEviction eviction) {
        Placement placement = eviction.placement();
        LOG.info(
                "task stop scheduled task={} attempt={} machine={} within_s={} reason={}",
                placement.taskId(),
                placement.attemptNumber(),
                placement.machineId(),
                Math.max(MIN_WARNING.toSeconds(), Math.round(eviction.latestStopInSeconds())),
                eviction.reason());
    }

    /**
     * Whether a task can be stopped without harm to its service: all of the service's replicas run,
     * and none was moved recently. A task of another kind of job can always be stopped.
     */
    private boolean mayStopReplica(Job job, MonotonicTime now) {
        MonotonicTime lastMoveAt = lastMoveByService.get(job.id());
        return job.spec().kind() != JobKind.SERVICE
                || (job.pendingTaskCount() == 0
                        && (lastMoveAt == null
                                || now.elapsedSince(lastMoveAt).compareTo(REPLICA_MOVE_INTERVAL)
                                        >= 0)
                        && job.placements().stream()
                                .allMatch(
                                        replica ->
                                                replica.runningSince() != null
                                                        && !replica.isStopping()));
    }

    /** Logs a notice for operators once, rather than in every round. */
    private void logOnce(String notice) {
        if (loggedNotices.size() < MAX_REMEMBERED && loggedNotices.add(notice)) {
            LOG.info("{}", notice);
        }
    }
}
