package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.calendar.CalendarDesk;
import org.meadowhollow.coordination.calendar.Diary;
import org.meadowhollow.coordination.calendar.Estimates;
import org.meadowhollow.coordination.calendar.Outlook;
import org.meadowhollow.coordination.calendar.Plan;
import org.meadowhollow.coordination.calendar.Supply;
import org.meadowhollow.coordination.fleet.Fleet;
import org.meadowhollow.coordination.placement.Aims;
import org.meadowhollow.coordination.placement.Cluster;
import org.meadowhollow.coordination.reservation.ReservationSettings;
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
    private final Cluster cluster;
    private final Aims objectives;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final EventLoop loop;
    private final ReservationSettings reservationSettings;
    private final Diary reservationCalendar;
    private final Estimates runtimeEstimator = new Estimates();
    private final Map<WarnedAttempt, MonotonicTime> warnedAt = new HashMap<>();
    private final Map<JobId, MonotonicTime> lastMoveByService = new HashMap<>();
    private final Set<String> loggedNotices = new HashSet<>();

    ReservationEnforcer(
            LeaderService leaderService,
            Cluster cluster,
            Aims aims,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            KeyValueStore store,
            EventLoop loop,
            ReservationSettings settings) {
        this.leaderService = leaderService;
        this.cluster = cluster;
        this.objectives = aims;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.loop = loop;
        this.reservationSettings = settings;
        this.reservationCalendar = new Diary(store, loop, leaderService::isClosed);
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
        return !reservationSettings.enabled() || reservationCalendar.isKnown();
    }

    /** A task was done that ran for some seconds. */
    void recordRuntime(JobSpec spec, double ranS) {
        if (reservationSettings.enabled()) {
            runtimeEstimator.ran(spec, ranS);
        }
    }

    /** Finds out what the calendar means for the round that begins. */
    void refreshView(MonotonicTime now) {
        if (!reservationSettings.enabled()) {
            return;
        }
        Supply supply =
                CalendarDesk.supply(
                        machineTypeCatalog,
                        deploymentSettings,
                        reservationSettings.machineLimits());
        Plan plan = reservationCalendar.plan(supply, loop.wallClockMillis());
        if (plan == null) {
            cluster.outlook(Outlook.NONE);
            warnedAt.clear();
            return;
        }
        List<Machine> heard =
                cluster.machines().values().stream()
                        .filter(machine -> machine.lastContactAt() != null)
                        .toList();
        Map<JobSpec, Integer> waiting = new HashMap<>();
        for (Job job : cluster.jobs().values()) {
            if (job.pendingTaskCount() > 0) {
                waiting.put(job.spec(), job.pendingTaskCount());
            }
        }
        cluster.outlook(
                Outlook.of(
                        plan,
                        heard,
                        machine -> cluster.usable(machine, now),
                        waiting,
                        runtimeEstimator,
                        supply,
                        objectives::readyS,
                        new Outlook.Clocks(
                                now,
                                loop.wallClockMillis(),
                                reservationSettings.maxClockSkew().toMillis())));
    }

    /** What to rent for slots that begin before long. */
    List<Fleet.Need> capacityDemand() {
        List<Fleet.Need> needs = new ArrayList<>();
        for (Outlook.Missing missing : cluster.outlook().missing()) {
            needs.add(
                    new Fleet.Need(
                            missing.reservation().toPlaceholderJobSpec(),
                            missing.tasks(),
                            missing.zone(),
                            0));
            logOnce(
                    "reservation "
                            + missing.reservation().name()
                            + " has no machines yet for "
                            + missing.tasks()
                            + " of its tasks");
        }
        return needs;
    }

    /** Warns those who would run into a window or a slot, and stops who has to go now. */
    void enforce(MonotonicTime now) {
        Outlook outlook = cluster.outlook();
        for (Outlook.Spill spill : outlook.spills()) {
            Placement placement = spill.placement();
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
                            Math.max(MIN_WARNING.toSeconds(), Math.round(spill.latestInS())),
                            spill.why());
                }
            } else if (spill.stopInS() <= 0
                    && now.elapsedSince(since).compareTo(MIN_WARNING) >= 0
                    && (spill.latestInS() <= 0 || mayStopReplica(placement.job(), now))) {
                leaderService.stopSaving(placement, spill.why());
                lastMoveByService.put(placement.job().id(), now);
            }
        }
        outlook.unused()
                .forEach(name -> logOnce("reservation " + name + " is not used and given back"));
        warnedAt.keySet()
                .removeIf(
                        key ->
                                outlook.spills().stream()
                                        .noneMatch(
                                                spill ->
                                                        spill.placement()
                                                                        .taskId()
                                                                        .equals(key.task())
                                                                && spill.placement()
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
