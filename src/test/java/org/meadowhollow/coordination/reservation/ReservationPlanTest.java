package org.meadowhollow.coordination.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
    private static final ReservableCapacity SUPPLY =
            new ReservableCapacity(
                    TYPES,
                    Map.of("t", Resources.of(0, 10, 0), "u", Resources.NONE),
                    Map.of("small", 3, "large/a", 1));
    private static final long HOUR = 3_600_000;
    private static final long SPAN = 24 * HOUR;

    private static RecurringSchedule at(int minute, int length) {
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
                at(minute, length));
    }

    private static MaintenanceWindow window(
            String name, MaintenanceWindow.Scope scope, String target, int minute, int length) {
        return new MaintenanceWindow(
                name, scope, List.of(target), at(minute, length), Duration.ZERO);
    }

    private static CalendarSnapshot random(Random random) {
        CalendarSnapshot calendarSnapshot = CalendarSnapshot.EMPTY;
        for (int at = random.nextInt(12); at > 0; at--) {
            calendarSnapshot =
                    calendarSnapshot.with(
                            reservation(
                                    "r" + at,
                                    random.nextBoolean() ? "t" : "u",
                                    1 + random.nextInt(6),
                                    random.nextInt(3),
                                    random.nextInt(3) == 0 ? "a" : null,
                                    random.nextInt(600),
                                    1 + random.nextInt(300)));
        }
        for (int at = random.nextInt(4); at > 0; at--) {
            calendarSnapshot =
                    calendarSnapshot.with(
                            random.nextBoolean()
                                    ? window(
                                            "w" + at,
                                            MaintenanceWindow.Scope.ZONE,
                                            "a",
                                            random.nextInt(600),
                                            60)
                                    : window(
                                            "w" + at,
                                            MaintenanceWindow.Scope.TYPE,
                                            "small",
                                            random.nextInt(600),
                                            60));
        }
        return calendarSnapshot;
    }

    @Property(
            tries = 400,
            seed = "1",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void noPlanGivesMoreThanThereIs(@ForAll long seed) {
        ReservationPlan reservationPlan =
                ReservationPlan.of(random(new Random(seed)), SUPPLY, 0, SPAN);
        for (long minute = 0; minute < 15 * 60; minute += 7) {
            long now = minute * 60_000;
            Map<String, Integer> machines = new HashMap<>();
            double gpus = 0;
            for (ReservationPlan.Slot slot : reservationPlan.slots()) {
                if (slot.occurrence().startMillis() <= now && now < slot.occurrence().endMillis()) {
                    slot.machinesByTypeZone()
                            .forEach((pair, count) -> machines.merge(pair, count, Integer::sum));
                    gpus +=
                            slot.reservation().team().equals("t")
                                    ? slot.fulfilledTasks()
                                            * slot.reservation().resourcesPerTask().gpu()
                                            / 1e6
                                    : 0;
                }
            }
            assertTrue(gpus <= 10, "over the limit of the team");
            for (String pair : machines.keySet()) {
                assertTrue(machines.get(pair) <= (pair.startsWith("small") ? 3 : 1), pair);
                for (ReservationPlan.Outage outage : reservationPlan.outages()) {
                    boolean covers =
                            outage.window().coversAllOfType(pair.split("/")[0], pair.split("/")[1]);
                    assertTrue(
                            !covers
                                    || now < outage.occurrence().startMillis()
                                    || now >= outage.occurrence().endMillis(),
                            pair);
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
    void theSameRecordsGiveTheSamePlanInWhateverOrderTheyAreRead(@ForAll long seed) {
        CalendarSnapshot calendarSnapshot = random(new Random(seed));
        List<KeyValueStore.Entry> entries = new ArrayList<>();
        long order = 0;
        for (CalendarSnapshot.CalendarEntry<Reservation> calendarEntry :
                calendarSnapshot.reservations()) {
            entries.add(
                    new KeyValueStore.Entry(
                            CalendarRecordCodec.reservation(calendarEntry.item().name()),
                            CalendarRecordCodec.encode(calendarEntry.item(), ++order),
                            new Revision(order)));
        }
        for (CalendarSnapshot.CalendarEntry<MaintenanceWindow> calendarEntry :
                calendarSnapshot.windows()) {
            entries.add(
                    new KeyValueStore.Entry(
                            CalendarRecordCodec.window(calendarEntry.item().name()),
                            CalendarRecordCodec.encode(calendarEntry.item(), ++order),
                            new Revision(order)));
        }
        List<ReservationPlan.Slot> slots =
                ReservationPlan.of(calendarSnapshot, SUPPLY, 0, SPAN).slots();
        Collections.shuffle(entries, new Random(seed));
        assertEquals(
                slots,
                ReservationPlan.of(CalendarSnapshot.fromRecords(entries), SUPPLY, 0, SPAN).slots());
    }

    @Property(
            tries = 200,
            seed = "3",
            generation = GenerationMode.RANDOMIZED,
            edgeCases = EdgeCasesMode.NONE,
            shrinking = ShrinkingMode.OFF)
    void whatIsAcceptedTakesNothingFromOthersAndLeavesNoTraceWhenItIsWithdrawn(@ForAll long seed) {
        CalendarSnapshot calendarSnapshot = random(new Random(seed));
        Reservation asked = reservation("asked", "u", 2, 1, null, 100, 200);
        List<ReservationPlan.Slot> before =
                ReservationPlan.of(calendarSnapshot, SUPPLY, 0, SPAN).slots();
        List<ReservationPlan.Slot> with =
                ReservationPlan.of(calendarSnapshot.with(asked), SUPPLY, 0, SPAN).slots();
        assertTrue(with.containsAll(before), "who came earlier has what it had");
        assertEquals(
                before,
                ReservationPlan.of(
                                calendarSnapshot.with(asked).withoutReservation("asked"),
                                SUPPLY,
                                0,
                                SPAN)
                        .slots());
        ReservationAdmission.AdmissionResult admissionResult =
                ReservationAdmission.evaluate(calendarSnapshot, asked, SUPPLY, Set.of("a", "b"), 0);
        if (admissionResult.nearestStart() != null) {
            long minute =
                    Duration.between(
                                    LocalDateTime.of(1970, 1, 1, 0, 0),
                                    admissionResult.nearestStart())
                            .toMinutes();
            assertTrue(
                    ReservationAdmission.evaluate(
                                    calendarSnapshot,
                                    reservation("asked", "u", 2, 1, null, (int) minute, 200),
                                    SUPPLY,
                                    Set.of("a", "b"),
                                    0)
                            .isAdmitted(),
                    "the start that is named can be met");
        }
    }

    @Example
    void whatStandsAgainstAReservationIsNamedWithTheNearestStart() {
        CalendarSnapshot calendarSnapshot =
                CalendarSnapshot.EMPTY
                        .with(reservation("first", "t", 4, 2, null, 60, 120))
                        .with(window("works", MaintenanceWindow.Scope.ZONE, "a", 300, 60));
        ReservationAdmission.AdmissionResult limit =
                ReservationAdmission.evaluate(
                        calendarSnapshot,
                        reservation("more", "t", 2, 2, null, 100, 60),
                        SUPPLY,
                        Set.of("a", "b"),
                        0);
        assertEquals(List.of("the limit of team t, with first"), limit.conflicts());
        assertEquals(LocalDateTime.of(1970, 1, 1, 3, 0), limit.nearestStart());
        ReservationAdmission.AdmissionResult zone =
                ReservationAdmission.evaluate(
                        calendarSnapshot,
                        reservation("in-a", "u", 1, 0, "a", 270, 60),
                        SUPPLY,
                        Set.of("a", "b"),
                        0);
        assertTrue(zone.conflicts().contains("window works takes small in a"), () -> "" + zone);
        assertEquals(LocalDateTime.of(1970, 1, 1, 6, 0), zone.nearestStart());
        ReservationAdmission.AdmissionResult machines =
                ReservationAdmission.evaluate(
                        calendarSnapshot,
                        reservation("many", "u", 20, 2, "b", 900, 60),
                        SUPPLY,
                        Set.of("a", "b"),
                        0);
        assertEquals(List.of("there are 3 of small in b"), machines.conflicts());
        assertEquals(null, machines.nearestStart());
        assertEquals(
                "there is no zone z",
                ReservationAdmission.evaluate(
                                calendarSnapshot,
                                reservation("z", "u", 1, 0, "z", 0, 1),
                                SUPPLY,
                                Set.of("a", "b"),
                                0)
                        .infeasibleReason());
        assertEquals(
                "it is more than the limit of team t",
                ReservationAdmission.evaluate(
                                calendarSnapshot,
                                reservation("z", "t", 6, 2, null, 0, 1),
                                SUPPLY,
                                Set.of("a", "b"),
                                0)
                        .infeasibleReason());
    }

    @Example
    void aWindowDeclaredLaterMovesWhatItTakesOrSaysWhatIsShort() {
        CalendarSnapshot calendarSnapshot =
                CalendarSnapshot.EMPTY
                        .with(reservation("moves", "u", 2, 1, null, 60, 60))
                        .with(reservation("bound", "u", 1, 1, "a", 60, 60));
        List<String> notes =
                ReservationAdmission.describeAffectedReservations(
                        calendarSnapshot,
                        window("works", MaintenanceWindow.Scope.ZONE, "a", 0, 200),
                        SUPPLY,
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
                calendarSnapshot
                        .with(window("works", MaintenanceWindow.Scope.ZONE, "a", 0, 200))
                        .with(window("more", MaintenanceWindow.Scope.ZONE, "b", 90, 200));
        assertTrue(
                ReservationPlan.of(both, SUPPLY, 0, SPAN).slots().stream()
                        .noneMatch(ReservationPlan.Slot::isFulfilled),
                "two windows take all");
    }
}
