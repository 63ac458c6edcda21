package org.meadowhollow.coordination.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Occurrence;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.storage.CalendarSnapshot;

/**
 * The assignment of machines to the occurrences of reservations. It is a pure function of the
 * calendar, the capacity and a time span, so every node computes the same plan. Reservations are
 * planned in the order of their acceptance, each on the cheapest machines that it allows and that
 * no window makes unavailable. A reservation that loses its machines to a later window therefore
 * moves to other machines, or is short of machines. Immutable.
 */
public final class ReservationPlan {
    /**
     * The most occurrences of one entry in a plan; bounds the work for a rule that repeats often.
     */
    static final int MAX_OCCURRENCES_PER_ENTRY = 64;

    /** An occurrence of a maintenance window. */
    public record Outage(MaintenanceWindow window, Occurrence occurrence) {}

    /**
     * An occurrence of a reservation.
     *
     * @param machinesByTypeZone the number of machines of each {@code type/zone} that are assigned
     * @param fulfilledTasks the number of tasks that fit on these machines
     * @param conflicts why the other tasks do not fit; empty if all tasks fit
     */
    public record Slot(
            Reservation reservation,
            Occurrence occurrence,
            Map<String, Integer> machinesByTypeZone,
            int fulfilledTasks,
            List<String> conflicts) {
        /** Whether the assigned machines have capacity for all tasks. */
        public boolean isFulfilled() {
            return fulfilledTasks >= reservation.taskCount();
        }

        /** Whether machines of a type in a zone are assigned to the slot. */
        public boolean includes(String type, String zone) {
            return machinesByTypeZone.containsKey(type + '/' + zone);
        }
    }

    private final List<Outage> outages;
    private final List<Slot> slots;

    private ReservationPlan(List<Outage> outages, List<Slot> slots) {
        this.outages = List.copyOf(outages);
        this.slots = List.copyOf(slots);
    }

    /** Returns the occurrences of windows, in the order of their starts. */
    public List<Outage> outages() {
        return outages;
    }

    /** Returns the occurrences of reservations, in the order of their starts. */
    public List<Slot> slots() {
        return slots;
    }

    /**
     * Plans all occurrences that overlap a time span.
     *
     * @param fromMillis the start of the span in milliseconds since the epoch
     * @param untilMillis the end of the span, exclusive
     */
    public static ReservationPlan of(
            CalendarSnapshot calendar,
            ReservableCapacity capacity,
            long fromMillis,
            long untilMillis) {
        List<Outage> outages = new ArrayList<>();
        for (CalendarSnapshot.CalendarEntry<MaintenanceWindow> entry : calendar.windows()) {
            MaintenanceWindow window = entry.item();
            for (Occurrence occurrence :
                    Recurrence.occurrencesBetween(
                            window.schedule(),
                            fromMillis,
                            untilMillis,
                            MAX_OCCURRENCES_PER_ENTRY)) {
                outages.add(new Outage(window, occurrence));
            }
        }
        outages.sort(
                Comparator.<Outage>comparingLong(outage -> outage.occurrence().startMillis())
                        .thenComparing(outage -> outage.window().name()));
        ReservationPlanner planner = new ReservationPlanner(capacity, outages);
        List<Slot> slots = new ArrayList<>();
        for (CalendarSnapshot.CalendarEntry<Reservation> entry : calendar.reservations()) {
            Reservation reservation = entry.item();
            for (Occurrence occurrence :
                    Recurrence.occurrencesBetween(
                            reservation.schedule(),
                            fromMillis,
                            untilMillis,
                            MAX_OCCURRENCES_PER_ENTRY)) {
                slots.add(planner.planSlot(reservation, occurrence));
            }
        }
        slots.sort(
                Comparator.<Slot>comparingLong(slot -> slot.occurrence().startMillis())
                        .thenComparing(slot -> slot.reservation().name()));
        return new ReservationPlan(outages, slots);
    }
}
