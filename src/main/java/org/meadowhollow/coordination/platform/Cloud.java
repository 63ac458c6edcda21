package org.meadowhollow.coordination.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.MachineType;

/** Whoever rents out the machines. */
public interface Cloud {
    /** A machine in the cloud's list, which is late. */
    record Listed(MachineId id, String address, String type, String zone, boolean spot, Phase phase, double ageS) {
    }

    /** What the cloud says of a machine. */
    enum Phase { BOOTING, RUNNING, FAILED }

    CompletableFuture<List<MachineType>> types();

    /** Rents up to {@code count} machines; empty when there are none of this kind. */
    CompletableFuture<Optional<List<MachineId>>> rent(String request, String type, String zone, boolean spot,
            int count);

    /** Returns machines; once this completes, they and all on them are gone. */
    CompletableFuture<Void> release(List<MachineId> machines);

    CompletableFuture<List<Listed>> list();
}
