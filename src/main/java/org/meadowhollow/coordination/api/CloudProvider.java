package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;

/** Whoever rents out the machines. */
public interface CloudProvider {
    /** A machine in the cloud's list, which is late. */
    record ListedMachine(
            MachineId id,
            String address,
            String type,
            String zone,
            boolean spot,
            MachinePhase phase,
            double ageSeconds) {}

    /** What the cloud says of a machine. */
    enum MachinePhase {
        BOOTING,
        RUNNING,
        FAILED
    }

    /**
     * The cloud has answered that a request was not executed, because it is out or too many came.
     */
    final class RequestRefusedException extends RuntimeException {
        public RequestRefusedException(String why) {
            super(why, null, false, false);
        }
    }

    CompletableFuture<List<MachineType>> listMachineTypes();

    /** Rents up to {@code count} machines; empty when there are none of this kind. */
    CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String request, String type, String zone, boolean spot, int count);

    /**
     * Returns machines; once this completes, they and all on them are gone. Fails with {@link
     * RequestRefusedException} if it certainly was not executed; after any other failure it may be
     * executed at any later time.
     */
    CompletableFuture<Void> releaseMachines(List<MachineId> machines);

    CompletableFuture<List<ListedMachine>> listMachines();
}
