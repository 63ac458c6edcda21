package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;

/** A cloud provider whose calls throw nothing, see {@link PortGuard}. */
record GuardedCloudProvider(CloudProvider cloud, PortGuard guard) implements CloudProvider {
    @Override
    public CompletableFuture<List<MachineType>> listMachineTypes() {
        return guard.call("listMachineTypes", cloud::listMachineTypes);
    }

    @Override
    public CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String requestId, String type, String zone, boolean spot, int count) {
        return guard.call(
                "rentMachines", () -> cloud.rentMachines(requestId, type, zone, spot, count));
    }

    @Override
    public CompletableFuture<Void> releaseMachines(List<MachineId> machines) {
        return guard.call("releaseMachines", () -> cloud.releaseMachines(machines));
    }

    @Override
    public CompletableFuture<List<ListedMachine>> listMachines() {
        return guard.call("listMachines", cloud::listMachines);
    }
}
