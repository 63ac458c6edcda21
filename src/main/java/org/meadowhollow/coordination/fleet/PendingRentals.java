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
 * Machines that are rented but have not finished booting. They may become ready late or never, so
 * one is counted on only for as long as recent boots have taken. After that, another is rented for
 * the work that waits for it, a bounded number of times, and the late one is returned once it has
 * been replaced and has taken much longer still. Guarded by the lock of {@link Autoscaler}, which
 * every caller holds.
 */
final class PendingRentals {
    /** By the cloud's protocol, a boot usually takes up to this many times its type's boot time. */
    private static final double TYPICAL_BOOT_FACTOR = 1.5;

    /**
     * Boot times vary, so a machine is awaited a little longer than nearly all recent ones took.
     */
    private static final double BOOT_QUANTILE_MARGIN = 1.25;

    private static final double BOOT_TIME_QUANTILE = 0.9;

    /** A machine that takes this many times its type's boot time is taken never to become ready. */
    static final double ABANDON_BOOT_FACTOR = 4;

    /**
     * A replaced machine is abandoned sooner: it is paid for in vain, and occupies capacity that
     * another could have.
     */
    private static final double ABANDON_REPLACED_BOOT_FACTOR = 2.5;

    /** Boot times remembered for a type. */
    private static final int MAX_BOOT_SAMPLES = 32;

    /** With fewer boot times than this, nothing is learned from them. */
    private static final int MIN_BOOT_SAMPLES = 4;

    /**
     * A machine, its replacement, and the replacement's replacement; if boots fail as often as
     * this, renting more does not help.
     */
    private static final int MAX_RENTAL_ATTEMPTS = 3;

    /** One machine that is expected to become ready. */
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

        /** The capacity pool that it was rented from. */
        CapacityPool pool() {
            return new CapacityPool(type.name(), zone, spot);
        }

        /** Seconds until it should be ready; 0 if it should be by now. */
        double secondsUntilReady(MonotonicTime now) {
            return Math.max(0, type.bootSeconds() - now.secondsSince(requestedAt));
        }
    }

    /** In the order in which they became known. */
    private final Map<MachineId, Rental> rentals = new LinkedHashMap<>();

    /** The last boot times of each machine type, in seconds, the oldest first. */
    private final Map<String, ArrayDeque<Double>> bootSecondsByType = new HashMap<>();

    /**
     * Records the machines that a request rented. As many overdue ones of the same type count as
     * replaced by them.
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
                Rental replaced = overdue.get(replacedCount);
                replaced.replaced = true;
                attempts = replaced.attempts + 1;
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
     * The machines that waiting tasks may count on: those that are not overdue, and those that are
     * not replaced any more.
     */
    List<Rental> expectedRentals(MonotonicTime now) {
        return rentals.values().stream()
                .filter(rental -> !isOverdue(rental, now) || rental.attempts >= MAX_RENTAL_ATTEMPTS)
                .toList();
    }

    /** The machines that are taken never to become ready, and are to be returned. */
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

    /** For how many seconds a boot of a type is awaited. */
    private double bootTimeoutSeconds(MachineType type) {
        double typicalSeconds = type.bootSeconds() * TYPICAL_BOOT_FACTOR;
        ArrayDeque<Double> samples = bootSecondsByType.get(type.name());
        if (samples == null || samples.size() < MIN_BOOT_SAMPLES) {
            return typicalSeconds;
        }
        double slowSeconds =
                samples.stream()
                        .sorted()
                        .skip((long) (samples.size() * BOOT_TIME_QUANTILE))
                        .findFirst()
                        .orElse(typicalSeconds);
        double learnedSeconds =
                Math.min(
                        slowSeconds * BOOT_QUANTILE_MARGIN,
                        type.bootSeconds() * ABANDON_BOOT_FACTOR);
        return Math.max(typicalSeconds, learnedSeconds);
    }
}
