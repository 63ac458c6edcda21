package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.TaskId;

/**
 * Base class of scenario tests that inject faults into a small deployment; {@link SimulatedCluster}
 * checks the protocol's rules.
 */
abstract class ClusterTestBase {
    static final Duration SHORT_RUNTIME = Duration.ofSeconds(10);
    static final Duration LONG_RUNTIME = Duration.ofMinutes(5);
    static final Duration HOURS_RUNTIME = Duration.ofHours(2);

    SimulatedCluster cluster;

    @BeforeEach
    void startClusterWithSixMachines() {
        cluster = new SimulatedCluster();
        for (int index = 0; index < 3; index++) {
            cluster.addMachine(SimulatedCluster.LARGE, "a");
            cluster.addMachine(SimulatedCluster.LARGE, "b");
        }
        cluster.runSeconds(12);
    }

    static JobSpec arrayJob(int number, int tasks) {
        return SimulatedCluster.spec(number, JobKind.ARRAY, tasks, 1);
    }

    Phase phaseOf(JobSpec spec) {
        for (int node = 0; node < 3; node++) {
            var status = cluster.users().poll(node, spec.id());
            if (status.isPresent()) {
                return status.get().phase();
            }
        }
        return null;
    }

    FakeWorker machineRunning(JobSpec spec, int task) {
        List<FakeWorker> machines = cluster.machinesRunning(new TaskId(spec.id(), task));
        return machines.isEmpty() ? null : machines.get(0);
    }

    /** Returns the first machine that holds a task, in any state. */
    FakeWorker machineWith(TaskId task) {
        return cluster.workers().stream()
                .filter(worker -> worker.hasTask(task))
                .findFirst()
                .orElseThrow();
    }

    static JobSpec withZonePolicy(JobSpec spec, boolean singleZone, boolean spreadAcrossZones) {
        return JobSpecBuilder.from(spec)
                .priority(Priority.HIGH)
                .machineTypes(List.of("large"))
                .singleZone(singleZone)
                .spreadAcrossZones(spreadAcrossZones)
                .build();
    }

    static JobSpec withTeam(JobSpec spec, String team) {
        return JobSpecBuilder.from(spec).team(team).build();
    }

    static JobSpec inZone(JobSpec spec, String zone) {
        return JobSpecBuilder.from(spec).zone(zone).build();
    }

    static JobSpec withMachineTypes(JobSpec spec, List<String> types) {
        return JobSpecBuilder.from(spec).machineTypes(types).build();
    }

    boolean allTasksRunning(JobSpec job) {
        for (int task = 0; task < job.taskCount(); task++) {
            if (machineRunning(job, task) == null) {
                return false;
            }
        }
        return true;
    }

    /** Advances virtual time in steps of a quarter of a second until all tasks of a job run. */
    void runUntilAllTasksRun(JobSpec job, int maxSteps) {
        for (int step = 0; step < maxSteps && !allTasksRunning(job); step++) {
            cluster.run(Duration.ofMillis(250));
        }
    }

    /** Returns the index of the node that follows another one by an offset, wrapping around. */
    static int nodeAfter(int node, int offset) {
        return (node + offset) % 3;
    }
}
