package org.meadowhollow.coordination.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;

class MachineRegistryTest {
    private final LifecycleFixture fixture = new LifecycleFixture();
    private final MachineRegistry registry = fixture.machineRegistry;

    private static CloudProvider.ListedMachine listed(String id, CloudProvider.MachinePhase phase) {
        return new CloudProvider.ListedMachine(
                new MachineId(id), id + ":1", LifecycleFixture.TYPE.name(), "a", false, phase, 1);
    }

    @Test
    void registersMachineOnFirstHeartbeatOnly() {
        Machine machine = fixture.registerMachine("vm-1");
        assertSame(
                machine,
                registry.findOrRegister(
                        LifecycleFixture.firstHeartbeat("vm-1", LifecycleFixture.TYPE.name())));
        assertEquals(1, registry.knownMachineCount());
        assertEquals(List.of("vm-1:1"), registry.sampleAddresses(3));
    }

    @Test
    void doesNotRegisterUnknownTypeOrReturnedMachine() {
        assertNull(registry.findOrRegister(LifecycleFixture.firstHeartbeat("vm-1", "unknown")));
        fixture.returnedMachines.add(new MachineId("vm-2"));
        assertNull(
                registry.findOrRegister(
                        LifecycleFixture.firstHeartbeat("vm-2", LifecycleFixture.TYPE.name())));
        assertEquals(0, registry.knownMachineCount());
    }

    @Test
    void registersOnlyRunningListedMachineAndCordonsFailedOne() {
        registry.applyListedMachine(
                listed("vm-1", CloudProvider.MachinePhase.FAILED), fixture.now());
        assertNull(registry.find(new MachineId("vm-1")));
        registry.applyListedMachine(
                listed("vm-1", CloudProvider.MachinePhase.RUNNING), fixture.now());
        Machine machine = registry.find(new MachineId("vm-1"));
        assertEquals("vm-1:1", machine.address());
        assertFalse(machine.isUnschedulable());
        assertEquals(0, registry.contactedMachineCount());
        registry.applyListedMachine(
                listed("vm-1", CloudProvider.MachinePhase.FAILED), fixture.now());
        assertTrue(machine.isUnschedulable());
    }

    @Test
    void cordonsMachineAfterThreeTaskFailures() {
        Machine machine = fixture.registerMachine("vm-1");
        registry.recordTaskFailure(machine);
        registry.recordTaskFailure(machine);
        assertFalse(machine.isUnschedulable());
        registry.recordTaskFailure(machine);
        assertTrue(machine.isUnschedulable());
    }

    @Test
    void removesMachineWithItsFailureCount() {
        Machine machine = fixture.registerMachine("vm-1");
        registry.recordTaskFailure(machine);
        registry.recordTaskFailure(machine);
        registry.remove(machine.id());
        assertNull(registry.find(machine.id()));
        Machine reregistered = fixture.registerMachine("vm-1");
        registry.recordTaskFailure(reregistered);
        assertFalse(reregistered.isUnschedulable());
    }
}
