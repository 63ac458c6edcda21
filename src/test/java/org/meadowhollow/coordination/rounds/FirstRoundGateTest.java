package org.meadowhollow.coordination.rounds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.failover.FailoverPreconditions;
import org.meadowhollow.coordination.failover.FailoverTimeline;
import org.meadowhollow.coordination.failover.HandoverState;
import org.meadowhollow.coordination.lifecycle.LifecycleFixture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Revision;

class FirstRoundGateTest {
    private static final FencingToken TOKEN = new FencingToken(1);
    private static final Revision LEADER_KEY = new Revision(3);

    private final LifecycleFixture fixture = new LifecycleFixture();
    private boolean leaseValid = true;
    private int machinesRequired;
    private int factsCallCount;

    private final FirstRoundGate gate =
            new FirstRoundGate(
                    fixture.now(),
                    LifecycleFixture.settings().heartbeatInterval(),
                    fixture.machineRegistry,
                    HandoverState.EMPTY,
                    new FailoverTimeline(TOKEN, null, fixture.now()),
                    new Conditions());

    private final class Conditions implements FirstRoundGate.LeaderConditions {
        @Override
        public FailoverPreconditions.Facts facts(int reported, int required) {
            factsCallCount++;
            machinesRequired = required;
            return new FailoverPreconditions.Facts(
                    leaseValid,
                    TOKEN,
                    TOKEN,
                    LEADER_KEY,
                    LEADER_KEY,
                    true,
                    true,
                    true,
                    reported,
                    required);
        }

        @Override
        public boolean maySchedule() {
            return leaseValid;
        }
    }

    /** Adds a machine that is listed, but has sent no heartbeat. */
    private void addSilentMachine(String id) {
        fixture.clusterState.addMachine(
                new Machine(new MachineId(id), LifecycleFixture.TYPE, "a", false));
    }

    @Test
    void coldLeaderWaitsForLongestHeartbeatDelay() {
        fixture.registerMachine("vm-1");
        fixture.advance(Duration.ofMillis(4750));
        assertFalse(gate.maySchedule(fixture.now()));
        assertEquals(Integer.MAX_VALUE, machinesRequired);
        fixture.advance(Duration.ofMillis(1));
        assertTrue(gate.maySchedule(fixture.now()));
        assertEquals(0, machinesRequired);
    }

    @Test
    void fullRoundNeedsNineOfTenListedMachines() {
        for (int at = 0; at < 8; at++) {
            fixture.registerMachine("vm-" + at);
        }
        addSilentMachine("vm-8");
        addSilentMachine("vm-9");
        fixture.machineRegistry.markListed();
        assertFalse(gate.hasGatheredFullRound(fixture.now()));
        fixture.machineRegistry.find(new MachineId("vm-8")).recordContact(fixture.now());
        assertTrue(gate.hasGatheredFullRound(fixture.now()));
    }

    @Test
    void fullRoundNeedsCloudMachineList() {
        fixture.registerMachine("vm-1");
        assertFalse(gate.hasGatheredFullRound(fixture.now()));
        fixture.machineRegistry.markListed();
        assertTrue(gate.hasGatheredFullRound(fixture.now()));
    }

    @Test
    void checksOnlyRevocableConditionsAfterFirstRound() {
        fixture.registerMachine("vm-1");
        fixture.machineRegistry.markListed();
        leaseValid = false;
        assertFalse(gate.maySchedule(fixture.now()));
        assertFalse(gate.isFirstRoundAllowed());
        leaseValid = true;
        assertTrue(gate.maySchedule(fixture.now()));
        assertTrue(gate.isFirstRoundAllowed());
        leaseValid = false;
        assertFalse(gate.maySchedule(fixture.now()));
        assertTrue(gate.isFirstRoundAllowed());
        assertEquals(2, factsCallCount);
    }
}
