package org.meadowhollow.bookkeeping.calendar;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.Version;

/**
 * All that is reserved and declared, as the state service had it at one time.
 *
 * @param reservations in the order in which they were accepted, which is who comes first
 * @param stamp of the key that every change of the calendar guards and writes
 */
public record Calendar(
        List<Held<Reservation>> reservations, List<Held<Window>> windows, Version stamp) {
    public static final Calendar EMPTY = new Calendar(List.of(), List.of(), Version.ABSENT);

    /**
     * An entry and its place among the others.
     *
     * @param order counts up with each change of the calendar
     */
    public record Held<T>(T what, long order, Version version) {}

    /** Makes sense of the records under {@link CalendarRecords#PREFIX}. */
    public static Calendar of(List<StateStore.Entry> entries) {
        List<Held<Reservation>> reservations = new ArrayList<>();
        List<Held<Window>> windows = new ArrayList<>();
        Version stamp = Version.ABSENT;
        for (StateStore.Entry entry : entries) {
            if (entry.key().equals(CalendarRecords.STAMP)) {
                stamp = entry.version();
            } else if (entry.key().startsWith(CalendarRecords.RESERVATIONS)) {
                reservations.add(
                        new Held<>(
                                CalendarRecords.reservation(entry.value()),
                                CalendarRecords.order(entry.value()),
                                entry.version()));
            } else if (entry.key().startsWith(CalendarRecords.WINDOWS)) {
                windows.add(
                        new Held<>(
                                CalendarRecords.window(entry.value()),
                                CalendarRecords.order(entry.value()),
                                entry.version()));
            }
        }
        reservations.sort(Comparator.comparingLong(Held::order));
        windows.sort(Comparator.comparingLong(Held::order));
        return new Calendar(List.copyOf(reservations), List.copyOf(windows), stamp);
    }

    public Optional<Held<Reservation>> reservation(String name) {
        return reservations.stream().filter(held -> held.what().name().equals(name)).findFirst();
    }

    public Optional<Held<Window>> window(String name) {
        return windows.stream().filter(held -> held.what().name().equals(name)).findFirst();
    }

    public int size() {
        return reservations.size() + windows.size();
    }

    /** The calendar with a reservation put in or changed, as the last one accepted. */
    public Calendar with(Reservation reservation) {
        List<Held<Reservation>> all = new ArrayList<>(without(reservations, reservation.name()));
        all.add(new Held<>(reservation, Long.MAX_VALUE, Version.ABSENT));
        return new Calendar(all, windows, stamp);
    }

    public Calendar with(Window window) {
        List<Held<Window>> all = new ArrayList<>(windows);
        all.removeIf(held -> held.what().name().equals(window.name()));
        all.add(new Held<>(window, Long.MAX_VALUE, Version.ABSENT));
        return new Calendar(reservations, all, stamp);
    }

    public Calendar withoutReservation(String name) {
        return new Calendar(without(reservations, name), windows, stamp);
    }

    private static List<Held<Reservation>> without(List<Held<Reservation>> all, String name) {
        return all.stream().filter(held -> !held.what().name().equals(name)).toList();
    }
}
