package org.meadowhollow.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;

/** Tests which silent machines are selected for return to the cloud. */
class UnreachableMachineReturnPolicyTest {
    private static final MachineType TYPE =
            new MachineType("type", Resources.of(8, 2, 32), 50, 1, 2, 1, 10, List.of("a"));
    private static final MonotonicTime LEADERSHIP_BEGAN_AT = new MonotonicTime(0);

    /**
     * Peers are asked about a few hundred machines at a time. If thousands are silent, no answer
     * exists yet for some, and those must not be returned.
     */
    @Test
    void keepsSilentMachineThatPeersWereNotAskedAbout() {
        DeploymentSettings deploymentSettings =
                new DeploymentSettings(
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
        ClusterState clusterState = new ClusterState(deploymentSettings, new FencingToken(1));
        UnreachableMachineReturnPolicy policy =
                new UnreachableMachineReturnPolicy(
                        new FailureDetector(
                                null,
                                clusterState,
                                deploymentSettings,
                                null,
                                null,
                                null,
                                LEADERSHIP_BEGAN_AT),
                        deploymentSettings);
        Machine silent = new Machine(new MachineId("vm-1"), TYPE, "a", false);
        silent.knownSince(LEADERSHIP_BEGAN_AT);
        silent.recordAnsweredHeartbeat(LEADERSHIP_BEGAN_AT);
        assertEquals(
                List.of(),
                policy.selectForReturn(
                        List.of(silent), LEADERSHIP_BEGAN_AT.plus(Duration.ofSeconds(100))));
    }
}
