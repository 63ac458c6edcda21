package org.meadowhollow.coordination.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.storage.CalendarRecordCodec;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStore;

class ReservationPlanTest {
    private static final List<MachineType> TYPES =
            List.of(
                    new MachineType(
                            "small", Resources.of(8, 2, 32), 50, 1, 2, 1, 30, List.of("a", "b")),
                    new MachineType(
                            "large", Resources.of(32, 8, 128), 50, 1, 7, 4, 30, List.of("a")));
    private static final ReservableCapacity CAPACITY =
            new ReservableCapacity(
                    TYPES,
                    Map.of("t", Resources.of(0, 10, 0), "u", Resources.NONE),
                    Map.of("small", 3, "large/a", 1));
    private static final long HOUR_MILLIS = 3_600_000;
    private static final long SPAN_MILLIS = 24 * HOUR_MILLIS;

    private static RecurringSchedule oneTimeSchedule(int minute, int length) {
        return new RecurringSchedule(
                LocalDateTime.of(1970, 1, 1, 0, 0).plusMinutes(minute),
                ZoneOffset.UTC,
                Duration.ofMinutes(length),
                null);
    }

    private static Reservation reservation(
            String name, String team, int tasks, double gpus, String zone, int minute, int length) {
        return new Reservation(
                name,
                team,
                Priority.HIGH,
                tasks,
                Resources.of(1, gpus, 1),
                null,
                zone,
                false,
                "",
                0,
                null,
                null,
                oneTimeSchedule(minute, length));
    }

    private static MaintenanceWindow window(
            String name, MaintenanceWindow.Scope scope, String target, int minute, int length) {
        return new MaintenanceWindow(
                name, scope, List.of(target), oneTimeSchedule(minute, length), Duration.ZERO);
    }

    private static CalendarSnapshot randomCalendar(Random random) {
        CalendarSnapshot calendar = CalendarSnapshot.EMPTY;
        for (int number = random.nextInt(12); number > 0; number--) {
            calendar =
                    calendar.with(
                            reservation(
                                    "r" + number,
                                    random.nextBoolean() ? "t" : "u",
                                    1 + random.nextInt(6),
                                    random.nextInt(3),
                                    random.nextInt(3) == 0 ? "a" : null,
                                    random.nextInt(600),
                                    1 + random.nextInt(300)));
        }
        for (int number = random.nextInt(4); number > 0; number--) {
            calendar =
                    calendar.with(
                            random.nextBoolean()
                                    ? window(
                                            "w" + number,
                                            MaintenanceWindow.Scope.ZONE,
                                            "a",
                                            random.nextInt(600),
                                            60)
                                    : window(
                                            "w" + number,
                                            MaintenanceWindow.Scope.TYPE,
                                            "small",
                                            random.nextInt(600),
                                            60));
        }
        return calendar;
    }

    @Property(
            tries = 400,
            seed = "1",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void planNeverExceedsCapacity(@ForAll long seed) {
        ReservationPlan plan =
                ReservationPlan.of(randomCalendar(new Random(seed)), CAPACITY, 0, SPAN_MILLIS);
        for (long minute = 0; minute < 15 * 60; minute += 7) {
            long now = minute * 60_000;
            Map<String, Integer> machines = new HashMap<>();
            double gpus = 0;
            for (ReservationPlan.Slot slot : plan.slots()) {
                if (slot.occurrence().startMillis() <= now && now < slot.occurrence().endMillis()) {
                    slot.machinesByTypeZone()
                            .forEach(
                                    (typeZone, count) ->
                                            machines.merge(typeZone, count, Integer::sum));
                    gpus +=
                            slot.reservation().team().equals("t")
                                    ? slot.fulfilledTasks()
                                            * slot.reservation().resourcesPerTask().gpu()
                                            / 1e6
                                    : 0;
                }
            }
            assertTrue(gpus <= 10, "the GPUs exceed the team's limit");
            for (String typeZone : machines.keySet()) {
                assertTrue(
                        machines.get(typeZone) <= (typeZone.startsWith("small") ? 3 : 1), typeZone);
                for (ReservationPlan.Outage outage : plan.outages()) {
                    String[] typeAndZone = typeZone.split("/", -1);
                    assertNotEquals("", typeAndZone[1], typeZone);
                    boolean covers =
                            outage.window().coversAllOfType(typeAndZone[0], typeAndZone[1]);
                    assertTrue(
                            !covers
                                    || now < outage.occurrence().startMillis()
                                    || now >= outage.occurrence().endMillis(),
                            typeZone);
                }
            }
        }
    }

    @Property(
            tries = 200,
            seed = "2",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void planDoesNotDependOnReadOrder(@ForAll long seed) {
        CalendarSnapshot calendar = randomCalendar(new Random(seed));
        List<KeyValueStore.Entry> entries = new ArrayList<>();
        long order = 0;
        for (CalendarSnapshot.CalendarEntry<Reservation> entry : calendar.reservations()) {
            entries.add(
                    new KeyValueStore.Entry(
                            CalendarRecordCodec.reservationKey(entry.item().name()),
                            CalendarRecordCodec.encode(entry.item(), ++order),
                            new Revision(order)));
        }
        for (CalendarSnapshot.CalendarEntry<MaintenanceWindow> entry : calendar.windows()) {
            entries.add(
                    new KeyValueStore.Entry(
                            CalendarRecordCodec.windowKey(entry.item().name()),
                            CalendarRecordCodec.encode(entry.item(), ++order),
                            new Revision(order)));
        }
        List<ReservationPlan.Slot> slots =
                ReservationPlan.of(calendar, CAPACITY, 0, SPAN_MILLIS).slots();
        Collections.shuffle(entries, new Random(seed));
        assertEquals(
                slots,
                ReservationPlan.of(CalendarSnapshot.fromRecords(entries), CAPACITY, 0, SPAN_MILLIS)
                        .slots());
    }

    @Property(
            tries = 200,
            seed = "3",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void admissionAndWithdrawalLeaveOtherSlotsUnchanged(@ForAll long seed) {
        CalendarSnapshot calendar = randomCalendar(new Random(seed));
        Reservation requested = reservation("requested", "u", 2, 1, null, 100, 200);
        List<ReservationPlan.Slot> before =
                ReservationPlan.of(calendar, CAPACITY, 0, SPAN_MILLIS).slots();
        List<ReservationPlan.Slot> with =
                ReservationPlan.of(calendar.with(requested), CAPACITY, 0, SPAN_MILLIS).slots();
        assertTrue(with.containsAll(before), "reservations admitted before keep their machines");
        assertEquals(
                before,
                ReservationPlan.of(
                                calendar.with(requested).withoutReservation("requested"),
                                CAPACITY,
                                0,
                                SPAN_MILLIS)
                        .slots());
        ReservationAdmission.AdmissionResult admission =
                ReservationAdmission.evaluate(calendar, requested, CAPACITY, Set.of("a", "b"), 0);
        if (admission.nearestStart() != null) {
            long minute =
                    Duration.between(LocalDateTime.of(1970, 1, 1, 0, 0), admission.nearestStart())
                            .toMinutes();
            assertTrue(
                    ReservationAdmission.evaluate(
                                    calendar,
                                    reservation("requested", "u", 2, 1, null, (int) minute, 200),
                                    CAPACITY,
                                    Set.of("a", "b"),
                                    0)
                            .isAdmitted(),
                    "the nearest start can be met");
        }
    }

    @Example
    void conflictsAreNamedWithNearestStart() {
        CalendarSnapshot calendar =
                CalendarSnapshot.EMPTY
                        .with(reservation("first", "t", 4, 2, null, 60, 120))
                        .with(window("works", MaintenanceWindow.Scope.ZONE, "a", 300, 60));
        ReservationAdmission.AdmissionResult limit =
                ReservationAdmission.evaluate(
                        calendar,
                        reservation("more", "t", 2, 2, null, 100, 60),
                        CAPACITY,
                        Set.of("a", "b"),
                        0);
        assertEquals(List.of("the limit of team t, with first"), limit.conflicts());
        assertEquals(LocalDateTime.of(1970, 1, 1, 3, 0), limit.nearestStart());
        ReservationAdmission.AdmissionResult zone =
                ReservationAdmission.evaluate(
                        calendar,
                        reservation("in-a", "u", 1, 0, "a", 270, 60),
                        CAPACITY,
                        Set.of("a", "b"),
                        0);
        assertTrue(zone.conflicts().contains("window works takes small in a"), () -> "" + zone);
        assertEquals(LocalDateTime.of(1970, 1, 1, 6, 0), zone.nearestStart());
        ReservationAdmission.AdmissionResult machines =
                ReservationAdmission.evaluate(
                        calendar,
                        reservation("many", "u", 20, 2, "b", 900, 60),
                        CAPACITY,
                        Set.of("a", "b"),
                        0);
        assertEquals(List.of("there are 3 of small in b"), machines.conflicts());
        assertEquals(null, machines.nearestStart());
        assertEquals(
                "there is no zone z",
                ReservationAdmission.evaluate(
                                calendar,
                                reservation("z", "u", 1, 0, "z", 0, 1),
                                CAPACITY,
                                Set.of("a", "b"),
                                0)
                        .infeasibleReason());
        assertEquals(
                "it is more than the limit of team t",
                ReservationAdmission.evaluate(
                                calendar,
                                reservation("z", "t", 6, 2, null, 0, 1),
                                CAPACITY,
                                Set.of("a", "b"),
                                0)
                        .infeasibleReason());
    }

    @Example
    void affectedReservationsMoveOrAreReportedShort() {
        CalendarSnapshot calendar =
                CalendarSnapshot.EMPTY
                        .with(reservation("moves", "u", 2, 1, null, 60, 60))
                        .with(reservation("bound", "u", 1, 1, "a", 60, 60));
        List<String> notes =
                ReservationAdmission.describeAffectedReservations(
                        calendar,
                        window("works", MaintenanceWindow.Scope.ZONE, "a", 0, 200),
                        CAPACITY,
                        0);
        assertEquals(2, notes.size());
        assertTrue(
                notes.stream()
                        .anyMatch(
                                note ->
                                        note.startsWith("bound")
                                                && note.contains("is short: window works")),
                () -> "" + notes);
        assertTrue(
                notes.stream()
                        .anyMatch(note -> note.startsWith("moves") && note.endsWith("small/b")),
                () -> "" + notes);
        CalendarSnapshot both =
                calendar.with(window("works", MaintenanceWindow.Scope.ZONE, "a", 0, 200))
                        .with(window("more", MaintenanceWindow.Scope.ZONE, "b", 90, 200));
        assertTrue(
                ReservationPlan.of(both, CAPACITY, 0, SPAN_MILLIS).slots().stream()
                        .noneMatch(ReservationPlan.Slot::isFulfilled),
                "two windows make all machines unavailable");
    }
}
