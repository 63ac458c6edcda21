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
 * Machines that are rented and not up yet. New machines may come up late or never, so one is
 * counted on only for as long as boots have taken of late; after that another is rented for what
 * waits for it, a bounded number of times, and the late one is returned when it has been replaced
 * and has taken much longer still. Guarded by the fleet's lock.
 */
final class PendingRentals {
    /** The protocol: a boot takes usually up to this many times its type's boot time. */
    private static final double TYPICAL_BOOT_FACTOR = 1.5;

    /**
     * Boots vary, so they are awaited for a little longer than nearly all of the last ones took.
     */
    private static final double BOOT_QUANTILE_MARGIN = 1.25;

    private static final double BOOT_TIME_QUANTILE = 0.9;

    /**
     * A machine that takes this many times its type's boot time is taken for one that never comes
     * up.
     */
    static final double ABANDON_BOOT_FACTOR = 4;

    /**
     * One that has been replaced is paid for in vain, and holds capacity that another could have.
     */
    private static final double ABANDON_REPLACED_BOOT_FACTOR = 2.5;

    /** Boots remembered of a type, and those without which nothing is learned from them. */
    private static final int MAX_BOOT_SAMPLES = 32;

    private static final int MIN_BOOT_SAMPLES = 4;

    /**
     * A machine, one for it, and one for that; if boots fail as often as this, money does not help.
     */
    private static final int MAX_RENTAL_ATTEMPTS = 3;

    /** One machine that is to come. */
    static final class Rental {
        private final MachineType type;
        private final String zone;
        private final boolean spot;
        private final MonotonicTime requestedAt;
        private final int attempts;
        private boolean replaced;

        private Rental(
                MachineType type, String zone, boolean spot, MonotonicTime sentAt, int tries) {
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.requestedAt = sentAt;
            this.attempts = tries;
        }

        MachineType type() {
            return type;
        }

        String zone() {
            return zone;
        }

        boolean spot() {
            return spot;
        }

        /** Seconds until it should be up; 0 if it should be by now. */
        double secondsUntilReady(MonotonicTime now) {
            return Math.max(0, type.bootSeconds() - now.secondsSince(requestedAt));
        }
    }

    private final Map<MachineId, Rental> rentals = new LinkedHashMap<>();
    private final Map<String, ArrayDeque<Double>> bootSecondsByType = new HashMap<>();

    /** Notes what a request has rented; as many that are overdue count as replaced by them. */
    void recordRented(
            List<MachineId> ids,
            MachineType type,
            String zone,
            boolean spot,
            MonotonicTime sentAt,
            MonotonicTime now) {
        List<Rental> overdue =
                rentals.values().stream()
                        .filter(
                                each ->
                                        each.type.name().equals(type.name())
                                                && !each.replaced
                                                && isOverdue(each, now))
                        .toList();
        int at = 0;
        for (MachineId id : ids) {
            int tries = 1;
            if (at < overdue.size()) {
                overdue.get(at).replaced = true;
                tries = overdue.get(at++).attempts + 1;
            }
            rentals.put(id, new Rental(type, zone, spot, sentAt, tries));
        }
    }

    /** Notes a machine that the cloud lists as booting. */
    void recordListedAsBooting(
            MachineId id, MachineType type, String zone, boolean spot, MonotonicTime sentAt) {
        rentals.computeIfAbsent(id, unused -> new Rental(type, zone, spot, sentAt, 1));
    }

    /** Notes that a machine has come up. */
    void recordBooted(MachineId id, MonotonicTime now) {
        Rental rental = rentals.remove(id);
        if (rental != null) {
            ArrayDeque<Double> seen =
                    bootSecondsByType.computeIfAbsent(
                            rental.type.name(), unused -> new ArrayDeque<>());
            seen.add(now.secondsSince(rental.requestedAt));
            if (seen.size() > MAX_BOOT_SAMPLES) {
                seen.poll();
            }
        }
    }

    void forget(MachineId id) {
        rentals.remove(id);
    }

    /** Those that tasks may wait for. */
    List<Rental> expectedRentals(MonotonicTime now) {
        return rentals.values().stream()
                .filter(each -> !isOverdue(each, now) || each.attempts >= MAX_RENTAL_ATTEMPTS)
                .toList();
    }

    /** Those that are given up. */
    List<MachineId> abandonedRentals(MonotonicTime now) {
        List<MachineId> ids = new ArrayList<>();
        rentals.forEach(
                (id, each) -> {
                    double patience =
                            each.replaced ? ABANDON_REPLACED_BOOT_FACTOR : ABANDON_BOOT_FACTOR;
                    if (now.secondsSince(each.requestedAt)
                            > Math.max(
                                    bootTimeoutSeconds(each.type),
                                    each.type.bootSeconds() * patience)) {
                        ids.add(id);
                    }
                });
        return ids;
    }

    private boolean isOverdue(Rental rental, MonotonicTime now) {
        return now.secondsSince(rental.requestedAt) > bootTimeoutSeconds(rental.type);
    }

    /** How long a boot of a type is awaited. */
    private double bootTimeoutSeconds(MachineType type) {
        double usualS = type.bootSeconds() * TYPICAL_BOOT_FACTOR;
        ArrayDeque<Double> seen = bootSecondsByType.get(type.name());
        if (seen == null || seen.size() < MIN_BOOT_SAMPLES) {
            return usualS;
        }
        double slowS =
                seen.stream()
                        .sorted()
                        .skip((long) (seen.size() * BOOT_TIME_QUANTILE))
                        .findFirst()
                        .orElse(usualS);
        return Math.max(
                usualS,
                Math.min(slowS * BOOT_QUANTILE_MARGIN, type.bootSeconds() * ABANDON_BOOT_FACTOR));
    }
}
