package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.TaskId;

/**
 * The response to a heartbeat is delayed and overtaken by a worker's answer to a direct command,
 * which has a higher sequence number.
 */
class OvertakenResponseScenarioTest extends ClusterTestBase {
    private static final Duration SHORT_PULL = Duration.ofSeconds(1);

    /**
     * Starts a gang of two whose second task timed out waiting for the first, and delays the
     * response that starts it again on its machine.
     *
     * @return the machine of the second task
     */
    private FakeWorker delayRestartOfSecondTask(JobSpec gang) {
        cluster.setImagePullTime(Duration.ofSeconds(60));
        assertTrue(cluster.users().submit(0, gang, HOURS_RUNTIME));
        cluster.runSeconds(10);
        FakeWorker second = machineWith(new TaskId(gang.id(), 1));
        second.exitForGangTimeout(new TaskId(gang.id(), 1));
        cluster.setImagePullTime(SHORT_PULL);
        cluster.network().delayHeartbeatResponsesTo(second.id());
        int delayedBefore = cluster.network().delayedResponseCount();
        while (cluster.network().delayedResponseCount() == delayedBefore) {
            cluster.run(Duration.ofMillis(250));
        }
        return second;
    }

    /**
     * Guards against a task that starts on a machine while it is on another: the gang's attempt
     * ended, and the answer to the stop counted as proof that the delayed start could not be
     * executed any more.
     */
    @Test
    void taskIsNotPlacedElsewhereWhileResponseWithItsStartIsOnItsWay() {
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 2, 8);
        FakeWorker second = delayRestartOfSecondTask(gang);
        machineWith(new TaskId(gang.id(), 0)).failTask(new TaskId(gang.id(), 0));
        cluster.runSeconds(8);
        cluster.network().delayHeartbeatResponsesTo(null);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(30);
        assertTrue(allTasksRunning(gang));
        assertEquals(1, cluster.machinesRunning(new TaskId(gang.id(), 1)).size());
        assertTrue(second.isReachable());
    }

    /**
     * Guards against a team that exceeds its limit: the cancelled gang counted as ended while a
     * delayed response could still start one of its tasks, and its quota was used again.
     */
    @Test
    void cancelledGangKeepsItsQuotaWhileResponseWithStartIsOnItsWay() {
        cluster.withTeam("team", 0, 16);
        JobSpec gang = SimulatedCluster.spec(1, JobKind.GANG, 2, 8);
        FakeWorker second = delayRestartOfSecondTask(gang);
        JobSpec next = inZone(arrayJob(2, 16), second.zone().equals("a") ? "b" : "a");
        assertTrue(cluster.users().cancel(0, gang.id()));
        assertTrue(cluster.users().submit(0, next, HOURS_RUNTIME));
        cluster.runSeconds(8);
        cluster.network().delayHeartbeatResponsesTo(null);
        cluster.beginFaultFreePhase();
        cluster.runSeconds(30);
        assertTrue(allTasksRunning(next));
    }
}
