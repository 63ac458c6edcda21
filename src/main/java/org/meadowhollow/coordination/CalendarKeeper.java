package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.calendar.CalendarDesk;
import org.meadowhollow.coordination.calendar.Diary;
import org.meadowhollow.coordination.calendar.Estimates;
import org.meadowhollow.coordination.calendar.Outlook;
import org.meadowhollow.coordination.calendar.Plan;
import org.meadowhollow.coordination.calendar.Supply;
import org.meadowhollow.coordination.fleet.Fleet;
import org.meadowhollow.coordination.placement.Aims;
import org.meadowhollow.coordination.placement.Cluster;
import org.meadowhollow.coordination.platform.Platform;
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
final class CalendarKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(CalendarKeeper.class);

    /**
     * Nobody is stopped sooner than this after having been warned. Mostly the warning comes two
     * minutes ahead; a window that begins at once, or a takeover, which forgets who was warned,
     * leaves this much.
     */
    private static final Duration LEAST_WARNING = Duration.ofSeconds(30);

    /**
     * One replica of a service at a time leaves, and the next one only after this, so that the
     * service stays up.
     */
    private static final Duration BETWEEN_MOVES = Duration.ofSeconds(20);

    private static final int MOST_NOTED = 10_000;

    private record Warned(TaskId task, AttemptNumber attempt) {}

    private final Leader leader;
    private final Cluster cluster;
    private final Aims aims;
    private final MachineTypeCatalog machineTypeCatalog;
    private final Platform platform;
    private final EventLoop loop;
    private final CalendarSettings settings;
    private final Diary diary;
    private final Estimates estimates = new Estimates();
    private final Map<Warned, MonotonicTime> warned = new HashMap<>();
    private final Map<JobId, MonotonicTime> moved = new HashMap<>();
    private final Set<String> noted = new HashSet<>();

    CalendarKeeper(
            Leader leader,
            Cluster cluster,
            Aims aims,
            MachineTypeCatalog machineTypeCatalog,
            Platform platform,
            KeyValueStore store,
            EventLoop loop,
            CalendarSettings settings) {
        this.leader = leader;
        this.cluster = cluster;
        this.aims = aims;
        this.machineTypeCatalog = machineTypeCatalog;
        this.platform = platform;
        this.loop = loop;
        this.settings = settings;
        this.diary = new Diary(store, loop, leader::isClosed);
    }

    void start() {
        if (settings.on()) {
            diary.start();
        }
    }

    /**
     * Whether rounds may begin: not before the calendar is known, or they would place into what is
     * promised.
     */
    boolean isReady() {
        return !settings.on() || diary.isKnown();
    }

    /** A task was done that ran for some seconds. */
    void ran(JobSpec spec, double ranS) {
        if (settings.on()) {
            estimates.ran(spec, ranS);
        }
    }

    /** Finds out what the calendar means for the round that begins. */
    void look(MonotonicTime now) {
        if (!settings.on()) {
            return;
        }
        Supply supply = CalendarDesk.supply(machineTypeCatalog, platform, settings.most());
        Plan plan = diary.plan(supply, loop.wallClockMillis());
        if (plan == null) {
            cluster.outlook(Outlook.NONE);
            warned.clear();
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
                        estimates,
                        supply,
                        aims::readyS,
                        new Outlook.Clocks(
                                now, loop.wallClockMillis(), settings.skew().toMillis())));
    }

    /** What to rent for slots that begin before long. */
    List<Fleet.Need> needs() {
        List<Fleet.Need> needs = new ArrayList<>();
        for (Outlook.Missing missing : cluster.outlook().missing()) {
            needs.add(
                    new Fleet.Need(
                            missing.reservation().toPlaceholderJobSpec(),
                            missing.tasks(),
                            missing.zone(),
                            0));
            note(
                    "reservation "
                            + missing.reservation().name()
                            + " has no machines yet for "
                            + missing.tasks()
                            + " of its tasks");
        }
        return needs;
    }

    /** Warns those who would run into a window or a slot, and stops who has to go now. */
    void carryOut(MonotonicTime now) {
        Outlook outlook = cluster.outlook();
        for (Outlook.Spill spill : outlook.spills()) {
            Placement placement = spill.placement();
            Warned key = new Warned(placement.taskId(), placement.attemptNumber());
            MonotonicTime since = warned.get(key);
            if (since == null) {
                if (warned.size() < MOST_NOTED) {
                    warned.put(key, now);
                    LOG.info(
                            "task {} attempt {} on {} will be stopped in {} s unless it is done: {}",
                            placement.taskId(),
                            placement.attemptNumber(),
                            placement.machineId(),
                            Math.max(LEAST_WARNING.toSeconds(), Math.round(spill.latestInS())),
                            spill.why());
                }
            } else if (spill.stopInS() <= 0
                    && now.elapsedSince(since).compareTo(LEAST_WARNING) >= 0
                    && (spill.latestInS() <= 0 || mayMove(placement.job(), now))) {
                leader.stopSaving(placement, spill.why());
                moved.put(placement.job().id(), now);
            }
        }
        outlook.unused()
                .forEach(name -> note("reservation " + name + " is not used and given back"));
        warned.keySet()
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
        moved.values().removeIf(at -> now.elapsedSince(at).compareTo(BETWEEN_MOVES) > 0);
    }

    /** Whether a replica can leave while all others of its service run. */
    private boolean mayMove(Job job, MonotonicTime now) {
        MonotonicTime last = moved.get(job.id());
        return job.spec().kind() != JobKind.SERVICE
                || job.pendingTaskCount() == 0
                        && (last == null || now.elapsedSince(last).compareTo(BETWEEN_MOVES) >= 0)
                        && job.placements().stream()
                                .allMatch(one -> one.runningSince() != null && !one.isStopping());
    }

    /** Says what operators should know once, and not in every round. */
    private void note(String what) {
        if (noted.size() < MOST_NOTED && noted.add(what)) {
            LOG.info("{}", what);
        }
    }
}
