package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;

/**
 * The cloud from which machines are rented. All calls return immediately; a failed future means
 * that the outcome is unknown, unless the method specifies otherwise.
 */
public interface CloudProvider {
    /**
     * A machine in the cloud's list. The list may lag behind rentals and returns.
     *
     * @param address the address of its worker, or null while that is not known
     * @param ageSeconds the time since it was rented
     */
    record ListedMachine(
            MachineId id,
            String address,
            String type,
            String zone,
            boolean spot,
            MachinePhase phase,
            double ageSeconds) {}

    /** The phase in which the cloud lists a machine. */
    enum MachinePhase {
        BOOTING,
        RUNNING,
        FAILED
    }

    /**
     * Thrown when the cloud has answered that it did not execute a request, because it is
     * unavailable or limits the rate of requests.
     */
    final class RequestRefusedException extends RuntimeException {
        /** Creates the exception, without a stack trace. */
        public RequestRefusedException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Lists the machine types that the cloud offers. */
    CompletableFuture<List<MachineType>> listMachineTypes();

    /**
     * Rents up to {@code count} machines.
     *
     * @param requestId an id that makes the request idempotent
     * @param spot whether the cloud may preempt them
     * @return the rented machines; empty if none of this type and zone are available
     */
    CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String requestId, String type, String zone, boolean spot, int count);

    /**
     * Returns machines to the cloud; once the future completes, they and all their tasks are gone.
     * Fails with {@link RequestRefusedException} if the request certainly was not executed; after
     * any other failure it may still be executed at any later time.
     */
    CompletableFuture<Void> releaseMachines(List<MachineId> machines);

    /** Lists all machines that are rented. */
    CompletableFuture<List<ListedMachine>> listMachines();
}
