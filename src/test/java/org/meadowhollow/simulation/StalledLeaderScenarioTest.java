package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.storage.RecordKeys;

/** Guards against a leader that renews its lease and learns nothing of the jobs any more. */
class StalledLeaderScenarioTest extends ClusterTestBase {
    /** Within it the next leader must have begun, so that no running task loses its lease. */
    private static final double FAILOVER_SECONDS = 25;

    /** Longer than a leader may learn nothing, and shorter than it takes to look isolated. */
    private static final double OUTAGE_SECONDS = 20;

    @Test
    void aLeaderWhoseJobWatchNeverEndsReleasesItsLease() {
        JobSpec running = arrayJob(1, 2);
        assertTrue(cluster.users().submit(0, running, LONG_RUNTIME));
        cluster.runSeconds(10);
        int startsBefore = cluster.startCount();
        int leader = cluster.leader();
        long token = cluster.fencingToken();

        cluster.storeConnection(leader).leaveWatchesUnanswered(RecordKeys.JOB_PREFIX);
        cluster.runSeconds(3);
        JobSpec late = arrayJob(2, 2);
        assertTrue(cluster.users().submit((leader + 1) % 3, late, SHORT_RUNTIME));
        cluster.runSeconds(FAILOVER_SECONDS);
        cluster.storeConnection(leader).leaveWatchesUnanswered(null);
        cluster.runSeconds(40);

        assertNotEquals(token, cluster.fencingToken());
        assertEquals(Phase.DONE, phaseOf(late));
        assertNotNull(machineRunning(running, 0));
        assertNotNull(machineRunning(running, 1));
        assertEquals(startsBefore + 2, cluster.startCount(), "no running task was lost");
    }

    @Test
    void aLeaderNoneOfWhoseRoundsSucceedsReleasesItsLease() {
        long token = cluster.fencingToken();
        JobSpec job = arrayJob(1, 2);

        cluster.loop().stepFaults().failAllOf(RepeatingStep.SCHEDULING_ROUND);
        assertTrue(cluster.users().submit(0, job, SHORT_RUNTIME));
        cluster.runSeconds(15);
        cluster.loop().stepFaults().failAllOf(null);
        assertNotEquals(token, cluster.fencingToken());
        cluster.runSeconds(40);

        assertEquals(Phase.DONE, phaseOf(job));
    }

    /** Outages begin at all moments between a renewal of the lease and the end of a watch. */
    @ParameterizedTest
    @ValueSource(ints = {0, 250, 500, 750, 1000, 1250, 1500, 1750, 2000, 2250, 2500, 2750})
    void aLeaderKeepsItsLeaseThroughAnOutageOfTheStore(int beginMillis) {
        long token = cluster.fencingToken();
        int leader = cluster.leader();
        // The last renewals before the outage are confirmed, the last watches are not answered.
        cluster.storeConnection(leader).failWatches(true);
        cluster.run(Duration.ofMillis(3000 + beginMillis));

        cluster.store().setOutage(true);
        cluster.runSeconds(OUTAGE_SECONDS);
        cluster.store().setOutage(false);
        cluster.runSeconds(2);
        cluster.storeConnection(leader).failWatches(false);
        cluster.runSeconds(30);

        assertEquals(token, cluster.fencingToken(), "leases have their full time again");
    }
}
