package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Reservation;

/**
 * An immutable snapshot of the stored reservation calendar.
 *
 * @param reservations the reservations in the order in which they were accepted; earlier ones take
 *     precedence
 * @param windows the maintenance windows, in the order in which they were accepted
 * @param revision the revision of {@link CalendarRecordCodec#REVISION_KEY}, which every change of
 *     the calendar requires and writes
 */
public record CalendarSnapshot(
        List<CalendarEntry<Reservation>> reservations,
        List<CalendarEntry<MaintenanceWindow>> windows,
        Revision revision) {
    /** A calendar that was never changed. */
    public static final CalendarSnapshot EMPTY =
            new CalendarSnapshot(List.of(), List.of(), Revision.ABSENT);

    /**
     * A reservation or maintenance window with its position in the calendar.
     *
     * @param acceptanceOrder the position in the order of acceptance, which increases with each
     *     change of the calendar
     * @param revision the revision of the item's record
     */
    public record CalendarEntry<T>(T item, long acceptanceOrder, Revision revision) {}

    /** Decodes the records under {@link CalendarRecordCodec#CALENDAR_PREFIX}. */
    public static CalendarSnapshot fromRecords(List<KeyValueStore.Entry> entries) {
        List<CalendarEntry<Reservation>> reservations = new ArrayList<>();
        List<CalendarEntry<MaintenanceWindow>> windows = new ArrayList<>();
        Revision revision = Revision.ABSENT;
        for (KeyValueStore.Entry entry : entries) {
            if (entry.key().equals(CalendarRecordCodec.REVISION_KEY)) {
                revision = entry.revision();
            } else if (entry.key().startsWith(CalendarRecordCodec.RESERVATION_PREFIX)) {
                reservations.add(
                        toCalendarEntry(
                                entry, CalendarRecordCodec.decodeReservation(entry.value())));
            } else if (entry.key().startsWith(CalendarRecordCodec.WINDOW_PREFIX)) {
                windows.add(
                        toCalendarEntry(entry, CalendarRecordCodec.decodeWindow(entry.value())));
            }
        }
        reservations.sort(Comparator.comparingLong(CalendarEntry::acceptanceOrder));
        windows.sort(Comparator.comparingLong(CalendarEntry::acceptanceOrder));
        return new CalendarSnapshot(List.copyOf(reservations), List.copyOf(windows), revision);
    }

    private static <T> CalendarEntry<T> toCalendarEntry(KeyValueStore.Entry entry, T item) {
        return new CalendarEntry<>(
                item, CalendarRecordCodec.acceptanceOrderOf(entry.value()), entry.revision());
    }

    /** The reservation of the given name, if there is one. */
    public Optional<CalendarEntry<Reservation>> findReservation(String name) {
        return find(reservations, Reservation::name, name);
    }

    /** The maintenance window of the given name, if there is one. */
    public Optional<CalendarEntry<MaintenanceWindow>> findWindow(String name) {
        return find(windows, MaintenanceWindow::name, name);
    }

    private static <T> Optional<CalendarEntry<T>> find(
            List<CalendarEntry<T>> entries, Function<T, String> nameOf, String name) {
        return entries.stream()
                .filter(entry -> nameOf.apply(entry.item()).equals(name))
                .findFirst();
    }

    /** The number of reservations and maintenance windows. */
    public int size() {
        return reservations.size() + windows.size();
    }

    /** A copy of the calendar with a reservation added or replaced, as the last one accepted. */
    public CalendarSnapshot with(Reservation reservation) {
        List<CalendarEntry<Reservation>> changed =
                new ArrayList<>(without(reservations, Reservation::name, reservation.name()));
        changed.add(new CalendarEntry<>(reservation, Long.MAX_VALUE, Revision.ABSENT));
        return new CalendarSnapshot(changed, windows, revision);
    }

    /**
     * A copy of the calendar with a maintenance window added or replaced, as the last one accepted.
     */
    public CalendarSnapshot with(MaintenanceWindow window) {
        List<CalendarEntry<MaintenanceWindow>> changed =
                new ArrayList<>(without(windows, MaintenanceWindow::name, window.name()));
        changed.add(new CalendarEntry<>(window, Long.MAX_VALUE, Revision.ABSENT));
        return new CalendarSnapshot(reservations, changed, revision);
    }

    /** A copy of the calendar without the reservation of the given name. */
    public CalendarSnapshot withoutReservation(String name) {
        return new CalendarSnapshot(
                without(reservations, Reservation::name, name), windows, revision);
    }

    private static <T> List<CalendarEntry<T>> without(
            List<CalendarEntry<T>> entries, Function<T, String> nameOf, String name) {
        return entries.stream().filter(entry -> !nameOf.apply(entry.item()).equals(name)).toList();
    }
}
