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
 * Which reservation has which machines when: a pure function of the calendar, of the capacity and
 * of a span of time, so that every node computes the same. Reservations are served in the order of
 * their acceptance, each from the cheapest machines that it allows and that no window takes; one
 * that a later window takes its machines from thus moves to others, or is short. Immutable.
 */
public final class ReservationPlan {
    /** Occurrences of one entry within a plan; bounds the work for a frequent rule. */
    static final int MAX_OCCURRENCES_PER_ENTRY = 64;

    /** An occurrence of a maintenance window. */
    public record Outage(MaintenanceWindow window, Occurrence occurrence) {}

    /**
     * An occurrence of a reservation.
     *
     * @param machinesByTypeZone how many machines of each {@code type/zone} it has
     * @param fulfilledTasks the tasks that these have room for
     * @param conflicts why the others have none; empty if all have room
     */
    public record Slot(
            Reservation reservation,
            Occurrence occurrence,
            Map<String, Integer> machinesByTypeZone,
            int fulfilledTasks,
            List<String> conflicts) {
        /** Whether there is room for all tasks. */
        public boolean isFulfilled() {
            return fulfilledTasks >= reservation.taskCount();
        }

        /** Whether the slot has machines of a type in a zone. */
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

    /** The occurrences of windows, in the order of their starts. */
    public List<Outage> outages() {
        return outages;
    }

    /** The occurrences of reservations, in the order of their starts. */
    public List<Slot> slots() {
        return slots;
    }

    /**
     * Plans all occurrences that overlap a span of time.
     *
     * @param fromMillis its start in milliseconds since the epoch
     * @param untilMillis its end, exclusive
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
