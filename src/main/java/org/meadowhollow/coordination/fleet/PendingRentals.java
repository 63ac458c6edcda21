package org.meadowhollow.coordination.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;

/**
 * Tracks rented machines that have not finished booting. They may become ready late or never, so
 * the demand counts on a machine only for as long as recent boots have taken. After that, a
 * replacement is rented for the waiting tasks, a bounded number of times, and the overdue machine
 * is returned once it has taken much longer still; if it was replaced, it is returned sooner.
 *
 * <p>Guarded by the lock of {@link Autoscaler}, which every caller holds.
 */
final class PendingRentals {
    /**
     * Factor on the boot time of a machine type: by the cloud's protocol, a boot usually takes no
     * longer.
     */
    private static final double TYPICAL_BOOT_FACTOR = 1.5;

    /**
     * Factor on the boot-time quantile: boot times vary, so a machine is awaited a little longer
     * than nearly all recent boots took.
     */
    private static final double BOOT_QUANTILE_MARGIN = 1.25;

    private static final double BOOT_TIME_QUANTILE = 0.9;

    /** A boot that takes this many times the boot time of its machine type is considered failed. */
    static final double ABANDON_BOOT_FACTOR = 4;

    /**
     * The {@link #ABANDON_BOOT_FACTOR} of a machine that has been replaced. It is lower, since such
     * a machine is paid for without being needed and occupies capacity that another machine could
     * use.
     */
    private static final double ABANDON_REPLACED_BOOT_FACTOR = 2.5;

    /** Maximum number of recent boot times kept for each machine type. */
    private static final int MAX_BOOT_SAMPLES = 32;

    /** Minimum number of boot times needed to derive a timeout from them. */
    private static final int MIN_BOOT_SAMPLES = 4;

    /**
     * Maximum number of rentals for the same demand: a machine, its replacement, and the
     * replacement's replacement. If boots fail this often, renting more does not help.
     */
    private static final int MAX_RENTAL_ATTEMPTS = 3;

    /** A rented machine that is booting. */
    static final class Rental {
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private final MonotonicTime requestedAt;
        private final int attempts;
        private boolean replaced;

        private Rental(
                MachineType type,
                String zone,
                boolean spot,
                MonotonicTime requestedAt,
                int attempts) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.requestedAt = requestedAt;
            this.attempts = attempts;
        }

        MachineType type() {
            return type;
        }

        /** Returns the capacity pool that the machine was rented from. */
        CapacityPool pool() {
            return new CapacityPool(type.name(), zone, spot);
        }

        /**
         * Returns the seconds until the machine should be ready; 0 if it should be ready by now.
         */
        double secondsUntilReady(MonotonicTime now) {
            return Math.max(0, type.bootSeconds() - now.secondsSince(requestedAt));
        }
    }

    /** Pending machines, in the order in which they became known. */
    private final Map<MachineId, Rental> rentals = new LinkedHashMap<>();

    /** Recent boot times of each machine type in seconds, oldest first. */
    private final Map<String, ArrayDeque<Double>> bootSecondsByType = new HashMap<>();

    /**
     * Records the machines that a request rented. Each of them replaces one overdue machine of the
     * same type, as long as there are any.
     *
     * @param requestedAt when the request was sent
     */
    void recordRented(
            List<MachineId> ids,
            MachineType type,
            String zone,
            boolean spot,
            MonotonicTime requestedAt,
            MonotonicTime now) {
        List<Rental> overdue =
                rentals.values().stream()
                        .filter(rental -> rental.type.name().equals(type.name()))
                        .filter(rental -> !rental.replaced && isOverdue(rental, now))
                        .toList();
        int replacedCount = 0;
        for (MachineId id : ids) {
            int attempts = 1;
            if (replacedCount < overdue.size()) {
                Rental replacedRental = overdue.get(replacedCount);
                replacedRental.replaced = true;
                attempts = replacedRental.attempts + 1;
                replacedCount++;
            }
            rentals.put(id, new Rental(type, zone, spot, requestedAt, attempts));
        }
    }

    /** Records a machine that the cloud lists as booting, unless it is known already. */
    void recordListedAsBooting(
            MachineId id, MachineType type, String zone, boolean spot, MonotonicTime requestedAt) {
        rentals.computeIfAbsent(id, unused -> new Rental(type, zone, spot, requestedAt, 1));
    }

    /** Records that a machine is ready, and how long its boot took if it was pending. */
    void recordBooted(MachineId id, MonotonicTime readyAt) {
        Rental rental = rentals.remove(id);
        if (rental == null) {
            return;
        }
        ArrayDeque<Double> samples =
                bootSecondsByType.computeIfAbsent(rental.type.name(), unused -> new ArrayDeque<>());
        samples.add(readyAt.secondsSince(rental.requestedAt));
        if (samples.size() > MAX_BOOT_SAMPLES) {
            samples.poll();
        }
    }

    /** Drops a machine that failed or was returned. */
    void forget(MachineId id) {
        rentals.remove(id);
    }

    /**
     * Returns the machines that waiting tasks may count on: those that are not overdue, and those
     * that have used up the rental attempts, so that they are not replaced.
     */
    List<Rental> expectedRentals(MonotonicTime now) {
        return rentals.values().stream()
                .filter(rental -> !isOverdue(rental, now) || rental.attempts >= MAX_RENTAL_ATTEMPTS)
                .toList();
    }

    /**
     * Returns the machines whose boot is considered failed, which are to be returned to the cloud.
     */
    List<MachineId> abandonedRentals(MonotonicTime now) {
        List<MachineId> abandoned = new ArrayList<>();
        rentals.forEach(
                (id, rental) -> {
                    if (now.secondsSince(rental.requestedAt) > abandonAfterSeconds(rental)) {
                        abandoned.add(id);
                    }
                });
        return abandoned;
    }

    private double abandonAfterSeconds(Rental rental) {
        double bootFactor = rental.replaced ? ABANDON_REPLACED_BOOT_FACTOR : ABANDON_BOOT_FACTOR;
        return Math.max(bootTimeoutSeconds(rental.type), rental.type.bootSeconds() * bootFactor);
    }

    private boolean isOverdue(Rental rental, MonotonicTime now) {
        return now.secondsSince(rental.requestedAt) > bootTimeoutSeconds(rental.type);
    }

    /** Returns the seconds after which the boot of a machine type is overdue. */
    private double bootTimeoutSeconds(MachineType type) {
        double typicalSeconds = type.bootSeconds() * TYPICAL_BOOT_FACTOR;
        ArrayDeque<Double> samples = bootSecondsByType.get(type.name());
        if (samples == null || samples.size() < MIN_BOOT_SAMPLES) {
            return typicalSeconds;
        }
        double quantileSeconds =
                samples.stream()
                        .sorted()
                        .skip((long) (samples.size() * BOOT_TIME_QUANTILE))
                        .findFirst()
                        .orElse(typicalSeconds);
        double observedTimeoutSeconds =
                Math.min(
                        quantileSeconds * BOOT_QUANTILE_MARGIN,
                        type.bootSeconds() * ABANDON_BOOT_FACTOR);
        return Math.max(typicalSeconds, observedTimeoutSeconds);
    }
}
