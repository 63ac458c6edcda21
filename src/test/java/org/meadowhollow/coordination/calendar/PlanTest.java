package org.meadowhollow.coordination.calendar;

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

class PlanTest {
    private static final List<MachineType> TYPES =
            List.of(
                    new MachineType(
                            "small", Resources.of(8, 2, 32), 50, 1, 2, 1, 30, List.of("a", "b")),
                    new MachineType(
                            "large", Resources.of(32, 8, 128), 50, 1, 7, 4, 30, List.of("a")));
    private static final Supply SUPPLY =
            new Supply(
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
        Plan plan = Plan.of(random(new Random(seed)), SUPPLY, 0, SPAN);
        for (long minute = 0; minute < 15 * 60; minute += 7) {
            long now = minute * 60_000;
            Map<String, Integer> machines = new HashMap<>();
            double gpus = 0;
            for (Plan.Slot slot : plan.slots()) {
                if (slot.when().startMillis() <= now && now < slot.when().endMillis()) {
                    slot.machines()
                            .forEach((pair, count) -> machines.merge(pair, count, Integer::sum));
                    gpus +=
                            slot.reservation().team().equals("t")
                                    ? slot.tasks()
                                            * slot.reservation().resourcesPerTask().gpu()
                                            / 1e6
                                    : 0;
                }
            }
            assertTrue(gpus <= 10, "over the limit of the team");
            for (String pair : machines.keySet()) {
                assertTrue(machines.get(pair) <= (pair.startsWith("small") ? 3 : 1), pair);
                for (Plan.Outage outage : plan.outages()) {
                    boolean covers =
                            outage.window().coversAllOfType(pair.split("/")[0], pair.split("/")[1]);
                    assertTrue(
                            !covers
                                    || now < outage.when().startMillis()
                                    || now >= outage.when().endMillis(),
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
        List<Plan.Slot> slots = Plan.of(calendarSnapshot, SUPPLY, 0, SPAN).slots();
        Collections.shuffle(entries, new Random(seed));
        assertEquals(
                slots, Plan.of(CalendarSnapshot.fromRecords(entries), SUPPLY, 0, SPAN).slots());
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
        List<Plan.Slot> before = Plan.of(calendarSnapshot, SUPPLY, 0, SPAN).slots();
        List<Plan.Slot> with = Plan.of(calendarSnapshot.with(asked), SUPPLY, 0, SPAN).slots();
        assertTrue(with.containsAll(before), "who came earlier has what it had");
        assertEquals(
                before,
                Plan.of(calendarSnapshot.with(asked).withoutReservation("asked"), SUPPLY, 0, SPAN)
                        .slots());
        Admittance.Verdict verdict =
                Admittance.judge(calendarSnapshot, asked, SUPPLY, Set.of("a", "b"), 0);
        if (verdict.nearest() != null) {
            long minute =
                    Duration.between(LocalDateTime.of(1970, 1, 1, 0, 0), verdict.nearest())
                            .toMinutes();
            assertTrue(
                    Admittance.judge(
                                    calendarSnapshot,
                                    reservation("asked", "u", 2, 1, null, (int) minute, 200),
                                    SUPPLY,
                                    Set.of("a", "b"),
                                    0)
                            .isMet(),
                    "the start that is named can be met");
        }
    }

    @Example
    void whatStandsAgainstAReservationIsNamedWithTheNearestStart() {
        CalendarSnapshot calendarSnapshot =
                CalendarSnapshot.EMPTY
                        .with(reservation("first", "t", 4, 2, null, 60, 120))
                        .with(window("works", MaintenanceWindow.Scope.ZONE, "a", 300, 60));
        Admittance.Verdict limit =
                Admittance.judge(
                        calendarSnapshot,
                        reservation("more", "t", 2, 2, null, 100, 60),
                        SUPPLY,
                        Set.of("a", "b"),
                        0);
        assertEquals(List.of("the limit of team t, with first"), limit.against());
        assertEquals(LocalDateTime.of(1970, 1, 1, 3, 0), limit.nearest());
        Admittance.Verdict zone =
                Admittance.judge(
                        calendarSnapshot,
                        reservation("in-a", "u", 1, 0, "a", 270, 60),
                        SUPPLY,
                        Set.of("a", "b"),
                        0);
        assertTrue(zone.against().contains("window works takes small in a"), () -> "" + zone);
        assertEquals(LocalDateTime.of(1970, 1, 1, 6, 0), zone.nearest());
        Admittance.Verdict machines =
                Admittance.judge(
                        calendarSnapshot,
                        reservation("many", "u", 20, 2, "b", 900, 60),
                        SUPPLY,
                        Set.of("a", "b"),
                        0);
        assertEquals(List.of("there are 3 of small in b"), machines.against());
        assertEquals(null, machines.nearest());
        assertEquals(
                "there is no zone z",
                Admittance.judge(
                                calendarSnapshot,
                                reservation("z", "u", 1, 0, "z", 0, 1),
                                SUPPLY,
                                Set.of("a", "b"),
                                0)
                        .never());
        assertEquals(
                "it is more than the limit of team t",
                Admittance.judge(
                                calendarSnapshot,
                                reservation("z", "t", 6, 2, null, 0, 1),
                                SUPPLY,
                                Set.of("a", "b"),
                                0)
                        .never());
    }

    @Example
    void aWindowDeclaredLaterMovesWhatItTakesOrSaysWhatIsShort() {
        CalendarSnapshot calendarSnapshot =
                CalendarSnapshot.EMPTY
                        .with(reservation("moves", "u", 2, 1, null, 60, 60))
                        .with(reservation("bound", "u", 1, 1, "a", 60, 60));
        List<String> notes =
                Admittance.taken(
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
                Plan.of(both, SUPPLY, 0, SPAN).slots().stream().noneMatch(Plan.Slot::isMet),
                "two windows take all");
    }
}
