package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.meadowhollow.model.reservation.Occurrence;

/**
 * The amounts of one resource that reservations use over time. Indexed by day, so that a query does
 * not visit usage on other days. Belongs to one {@link ReservationPlanner}; not thread-safe.
 */
final class UsageTimeline {
    private static final long DAY_MILLIS = 86_400_000;

    private record Usage(Occurrence occurrence, String reservationName, long amount) {}

    private final TreeMap<Long, List<Usage>> usagesByDay = new TreeMap<>();

    void add(Occurrence occurrence, String reservationName, long amount) {
        Usage usage = new Usage(occurrence, reservationName, amount);
        for (long day = firstDay(occurrence); day <= lastDay(occurrence); day++) {
            usagesByDay.computeIfAbsent(day, unused -> new ArrayList<>()).add(usage);
        }
    }

    /** Returns the largest total amount in use at any moment of a span. */
    long peakDuring(Occurrence span) {
        List<Usage> usages = usagesDuring(span);
        long peak = 0;
        for (Usage candidate : usages) {
            // The total rises only where a usage starts, so its maximum is at the start of a
            // usage or of the span.
            long moment = Math.max(candidate.occurrence().startMillis(), span.startMillis());
            peak = Math.max(peak, totalAt(moment, usages));
        }
        return peak;
    }

    private static long totalAt(long moment, List<Usage> usages) {
        long total = 0;
        for (Usage usage : usages) {
            boolean inUse =
                    usage.occurrence().startMillis() <= moment
                            && moment < usage.occurrence().endMillis();
            total += inUse ? usage.amount() : 0;
        }
        return total;
    }

    /**
     * Returns the distinct names of the reservations that use the resource during a span, sorted.
     */
    List<String> reservationNamesDuring(Occurrence span) {
        return usagesDuring(span).stream().map(Usage::reservationName).distinct().sorted().toList();
    }

    private List<Usage> usagesDuring(Occurrence span) {
        List<Usage> usages = new ArrayList<>();
        for (long day = firstDay(span); day <= lastDay(span); day++) {
            for (Usage usage : usagesByDay.getOrDefault(day, List.of())) {
                if (usage.occurrence().overlaps(span) && !usages.contains(usage)) {
                    usages.add(usage);
                }
            }
        }
        return usages;
    }

    private static long firstDay(Occurrence occurrence) {
        return occurrence.startMillis() / DAY_MILLIS;
    }

    private static long lastDay(Occurrence occurrence) {
        return (occurrence.endMillis() - 1) / DAY_MILLIS;
    }
}
