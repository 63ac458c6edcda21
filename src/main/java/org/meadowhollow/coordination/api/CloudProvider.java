package org.meadowhollow.coordination.api;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;

/**
 * The cloud from which machines are rented. All calls return at once; a failed future means that
 * the outcome is not known, unless it says otherwise.
 */
public interface CloudProvider {
    /**
     * A machine in the cloud's list, which may lag behind what was rented and returned.
     *
     * @param address where its worker can be reached, or null while that is not known
     * @param ageSeconds since it was rented
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
     * The cloud has answered that a request was not executed, because it is unavailable or limits
     * the rate of requests.
     */
    final class RequestRefusedException extends RuntimeException {
        /** Creates it without a stack trace. */
        public RequestRefusedException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** The machine types that the cloud offers. */
    CompletableFuture<List<MachineType>> listMachineTypes();

    /**
     * Rents up to {@code count} machines; empty when there are none of this type and zone.
     *
     * @param request an id that makes the request idempotent
     * @param spot whether the cloud may preempt them
     */
    CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String request, String type, String zone, boolean spot, int count);

    /**
     * Returns machines; once this completes, they and all on them are gone. Fails with {@link
     * RequestRefusedException} if it certainly was not executed; after any other failure it may be
     * executed at any later time.
     */
    CompletableFuture<Void> releaseMachines(List<MachineId> machines);

    /** All machines that are rented. */
    CompletableFuture<List<ListedMachine>> listMachines();
}
