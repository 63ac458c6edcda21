package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Reservation;

/**
 * All that is reserved and declared, as the state service had it at one time.
 *
 * @param reservations in the order in which they were accepted, which is who comes first
 * @param revision of the key that every change of the calendar guards and writes
 */
public record CalendarSnapshot(
        List<CalendarEntry<Reservation>> reservations,
        List<CalendarEntry<MaintenanceWindow>> windows,
        Revision revision) {
    public static final CalendarSnapshot EMPTY =
            new CalendarSnapshot(List.of(), List.of(), Revision.ABSENT);

    /**
     * An entry and its place among the others.
     *
     * @param acceptanceOrder counts up with each change of the calendar
     */
    public record CalendarEntry<T>(T item, long acceptanceOrder, Revision revision) {}

    /** Makes sense of the records under {@link CalendarRecordCodec#CALENDAR_PREFIX}. */
    public static CalendarSnapshot fromRecords(List<KeyValueStore.Entry> entries) {
        List<CalendarEntry<Reservation>> reservations = new ArrayList<>();
        List<CalendarEntry<MaintenanceWindow>> windows = new ArrayList<>();
        Revision stamp = Revision.ABSENT;
        for (KeyValueStore.Entry entry : entries) {
            if (entry.key().equals(CalendarRecordCodec.REVISION_KEY)) {
                stamp = entry.revision();
            } else if (entry.key().startsWith(CalendarRecordCodec.RESERVATION_PREFIX)) {
                reservations.add(
                        new CalendarEntry<>(
                                CalendarRecordCodec.reservation(entry.value()),
                                CalendarRecordCodec.acceptanceOrderOf(entry.value()),
                                entry.revision()));
            } else if (entry.key().startsWith(CalendarRecordCodec.WINDOW_PREFIX)) {
                windows.add(
                        new CalendarEntry<>(
                                CalendarRecordCodec.window(entry.value()),
                                CalendarRecordCodec.acceptanceOrderOf(entry.value()),
                                entry.revision()));
            }
        }
        reservations.sort(Comparator.comparingLong(CalendarEntry::acceptanceOrder));
        windows.sort(Comparator.comparingLong(CalendarEntry::acceptanceOrder));
        return new CalendarSnapshot(List.copyOf(reservations), List.copyOf(windows), stamp);
    }

    public Optional<CalendarEntry<Reservation>> findReservation(String name) {
        return reservations.stream()
                .filter(calendarEntry -> calendarEntry.item().name().equals(name))
                .findFirst();
    }

    public Optional<CalendarEntry<MaintenanceWindow>> findWindow(String name) {
        return windows.stream()
                .filter(calendarEntry -> calendarEntry.item().name().equals(name))
                .findFirst();
    }

    public int size() {
        return reservations.size() + windows.size();
    }

    /** The calendar with a reservation put in or changed, as the last one accepted. */
    public CalendarSnapshot with(Reservation reservation) {
        List<CalendarEntry<Reservation>> all =
                new ArrayList<>(without(reservations, reservation.name()));
        all.add(new CalendarEntry<>(reservation, Long.MAX_VALUE, Revision.ABSENT));
        return new CalendarSnapshot(all, windows, revision);
    }

    public CalendarSnapshot with(MaintenanceWindow window) {
        List<CalendarEntry<MaintenanceWindow>> all = new ArrayList<>(windows);
        all.removeIf(calendarEntry -> calendarEntry.item().name().equals(window.name()));
        all.add(new CalendarEntry<>(window, Long.MAX_VALUE, Revision.ABSENT));
        return new CalendarSnapshot(reservations, all, revision);
    }

    public CalendarSnapshot withoutReservation(String name) {
        return new CalendarSnapshot(without(reservations, name), windows, revision);
    }

    private static List<CalendarEntry<Reservation>> without(
            List<CalendarEntry<Reservation>> all, String name) {
        return all.stream()
                .filter(calendarEntry -> !calendarEntry.item().name().equals(name))
                .toList();
    }
}
