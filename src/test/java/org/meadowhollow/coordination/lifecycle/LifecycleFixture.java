package org.meadowhollow.coordination.lifecycle;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerCommand;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.RecordWriter;

/**
 * Fixture with the classes of a leadership that manage machines, tasks and jobs, on a clock that
 * the test advances. The record writer has no store: tests can inspect which records are marked to
 * be written, and nothing is flushed.
 */
public final class LifecycleFixture {
    /** The only machine type that the catalog names. */
    public static final MachineType TYPE =
            new MachineType("type", Resources.of(8, 2, 32), 50, 1, 2, 1, 10, List.of("a"));

    private static final FencingToken TOKEN = new FencingToken(1);
    private static final int TASKS_PER_SHARD = 100;

    /** A clock that a test advances; timers run only in {@link #runTimers}. */
    private static final class ManualClock implements EventLoop {
        private final ArrayDeque<Runnable> timers = new ArrayDeque<>();
        private MonotonicTime now = new MonotonicTime(0);

        @Override
        public MonotonicTime now() {
            return now;
        }

        @Override
        public long wallClockMillis() {
            return now.nanos() / 1_000_000;
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            timers.add(task);
        }

        @Override
        public boolean runRepeating(RepeatingStep step, Runnable body) {
            body.run();
            return true;
        }
    }

    private final ManualClock clock = new ManualClock();
    public final ClusterState clusterState = new ClusterState(settings(), TOKEN);
    public final Set<MachineId> returnedMachines = new HashSet<>();
    public final List<WorkerCommand> sentCommands = new ArrayList<>();
    public final List<Double> recordedRuntimes = new ArrayList<>();
    public final RecordWriter recordWriter =
            new RecordWriter(null, clock, 12, Revision.ABSENT, null, null);
    public final MachineRegistry machineRegistry =
            new MachineRegistry(
                    clock,
                    clusterState,
                    catalog(),
                    new ImageCacheRecorder(null, Revision.ABSENT, settings()),
                    returnedMachines::contains);
    public final JobTracker jobTracker = new JobTracker(clock, clusterState);
    public final TaskLifecycle taskLifecycle =
            new TaskLifecycle(
                    new Object(),
                    clock,
                    recordWriter,
                    machineRegistry,
                    jobTracker,
                    (spec, seconds) -> recordedRuntimes.add(seconds),
                    (machine, incarnation, commands) -> sentCommands.addAll(commands));

    private static MachineTypeCatalog catalog() {
        MachineTypeCatalog catalog = new MachineTypeCatalog();
        catalog.replaceAll(List.of(TYPE));
        return catalog;
    }

    /** The settings of a deployment with heartbeats every three seconds. */
    public static DeploymentSettings settings() {
        return new DeploymentSettings(
                "n0",
                List.of("a"),
                Map.of(),
                List.of(),
                Duration.ofSeconds(3),
                Duration.ofSeconds(18),
                Duration.ofSeconds(30),
                Duration.ofSeconds(48),
                100,
                50,
                16 * 1024,
                12,
                10,
                Duration.ofSeconds(8));
    }

    /** Runs all timers, also those that they schedule, without regard to their delays. */
    public void runTimers() {
        while (!clock.timers.isEmpty()) {
            clock.timers.poll().run();
        }
    }

    public MonotonicTime now() {
        return clock.now;
    }

    public void advance(Duration span) {
        clock.now = clock.now.plus(span);
    }

    /** The first heartbeat of a machine, without tasks. */
    public static Heartbeat firstHeartbeat(String machine, String type) {
        return new Heartbeat(
                Heartbeat.Origin.REQUEST,
                new MachineId(machine),
                machine + ":1",
                type,
                "a",
                false,
                new WorkerIncarnation(1),
                1,
                TOKEN,
                Double.NaN,
                List.of());
    }

    /** Registers a machine that has sent its first heartbeat. */
    public Machine registerMachine(String name) {
        Heartbeat heartbeat = firstHeartbeat(name, TYPE.name());
        Machine machine = machineRegistry.findOrRegister(heartbeat);
        machine.recordHeartbeat(heartbeat);
        machine.recordAnsweredHeartbeat(now());
        return machine;
    }

    /** Admits a job. */
    public Job admitJob(String id, JobKind kind, int tasks) {
        JobSpec spec =
                new JobSpec(
                        new JobId(id),
                        "class",
                        "team",
                        kind,
                        Priority.NORMAL,
                        tasks,
                        Resources.of(1, 1, 1),
                        null,
                        null,
                        false,
                        false,
                        true,
                        "image",
                        1,
                        10,
                        0,
                        5,
                        Double.NaN);
        Job job = new Job(spec, clock.wallClockMillis(), TASKS_PER_SHARD, new Revision(1));
        job.pendingSince(now());
        clusterState.jobs().put(job.id(), job);
        jobTracker.onJobAdmitted(job);
        return job;
    }

    /** Places a task of a job on a machine; the placement is not persisted. */
    public Placement placeTask(Job job, int task, Machine machine) {
        Placement placement =
                job.addPlacement(
                        task,
                        job.spec().kind() == JobKind.GANG
                                ? job.gangAttemptNumber()
                                : job.nextAttemptNumber(task),
                        machine.id(),
                        machine.incarnation(),
                        now());
        machine.placements().add(placement);
        return placement;
    }
}
