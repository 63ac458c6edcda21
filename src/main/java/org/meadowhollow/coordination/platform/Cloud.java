package org.meadowhollow.coordination.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;

/** Whoever rents out the machines. */
public interface Cloud {
    /** A machine in the cloud's list, which is late. */
    record Listed(
            MachineId id,
            String address,
            String type,
            String zone,
            boolean spot,
            Phase phase,
            double ageS) {}

    /** What the cloud says of a machine. */
    enum Phase {
        BOOTING,
        RUNNING,
        FAILED
    }

    /**
     * The cloud has answered that a request was not executed, because it is out or too many came.
     */
    final class Refused extends RuntimeException {
        public Refused(String why) {
            super(why, null, false, false);
        }
    }

    CompletableFuture<List<MachineType>> types();

    /** Rents up to {@code count} machines; empty when there are none of this kind. */
    CompletableFuture<Optional<List<MachineId>>> rent(
            String request, String type, String zone, boolean spot, int count);

    /**
     * Returns machines; once this completes, they and all on them are gone. Fails with {@link
     * Refused} if it certainly was not executed; after any other failure it may be executed at any
     * later time.
     */
    CompletableFuture<Void> release(List<MachineId> machines);

    CompletableFuture<List<Listed>> list();
}
