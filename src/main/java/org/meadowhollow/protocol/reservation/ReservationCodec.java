package org.meadowhollow.protocol.reservation;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.meadowhollow.coordination.reservation.Recurrence;
import org.meadowhollow.coordination.reservation.ReservationPlan;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.CalendarSnapshot;

/**
 * Reservations and windows as operators write and read them, in JSON; {@code docs/reservations.md}
 * has the fields.
 */
final class ReservationCodec {
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
    private static final int MAX_TEXT_LENGTH = 200;
    private static final int MAX_LIST_SIZE = 100;
    private static final long MAX_TASKS = 100_000;
    private static final double MAX_DURATION_SECONDS = Duration.ofDays(31).toSeconds();
    private static final Map<String, Priority> PRIORITY_BY_WORD =
            Map.of(
                    "critical",
                    Priority.PRODUCTION,
                    "urgent",
                    Priority.HIGH,
                    "normal",
                    Priority.NORMAL,
                    "idle",
                    Priority.LOW);

    private ReservationCodec() {}

    static String requireValidName(String text) throws MalformedMessageException {
        if (!NAME_PATTERN.matcher(text).matches()) {
            throw new MalformedMessageException(
                    "a name is up to 40 small letters, digits and hyphens");
        }
        return text;
    }

    static Reservation reservation(String name, MessageReader body)
            throws MalformedMessageException {
        long tasks = body.nonNegativeLong("tasks");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new MalformedMessageException("tasks is not from 1 to " + MAX_TASKS);
        }
        String priority = body.has("priority") ? body.string("priority") : "normal";
        if (!PRIORITY_BY_WORD.containsKey(priority)) {
            throw new MalformedMessageException(
                    "priority is none of critical, urgent, normal, idle");
        }
        return new Reservation(
                requireValidName(name),
                readBoundedText(body, "team"),
                PRIORITY_BY_WORD.get(priority),
                (int) tasks,
                Resources.of(
                        body.nonNegativeDouble("cpus"),
                        body.nonNegativeDoubleOr("gpus", 0),
                        body.nonNegativeDouble("ram_gb")),
                readNamesOrNull(body, "machine_types"),
                body.stringOrNull("zone"),
                body.booleanOr("spot", false),
                body.has("image") ? readBoundedText(body, "image") : "",
                body.nonNegativeDoubleOr("image_gb", 0),
                body.has("class") ? readBoundedText(body, "class") : null,
                readNamesOrNull(body, "jobs"),
                decodeSchedule(body));
    }

    static MaintenanceWindow window(String name, MessageReader body)
            throws MalformedMessageException {
        MaintenanceWindow.Scope scope = null;
        List<String> targets = null;
        for (Map.Entry<String, MaintenanceWindow.Scope> each :
                Map.of(
                                "machines",
                                MaintenanceWindow.Scope.MACHINE,
                                "machine_types",
                                MaintenanceWindow.Scope.TYPE,
                                "zones",
                                MaintenanceWindow.Scope.ZONE)
                        .entrySet()) {
            if (body.has(each.getKey())) {
                if (scope != null) {
                    throw new MalformedMessageException(
                            "a window names either machines, machine_types or zones");
                }
                scope = each.getValue();
                targets = readNamesOrNull(body, each.getKey());
            }
        }
        if (scope == null || targets.isEmpty()) {
            throw new MalformedMessageException("a window names machines, machine_types or zones");
        }
        double noticeS = body.nonNegativeDoubleOr("notice_s", 0);
        if (noticeS > MAX_DURATION_SECONDS) {
            throw new MalformedMessageException("notice_s is longer than 31 days");
        }
        return new MaintenanceWindow(
                requireValidName(name),
                scope,
                targets,
                decodeSchedule(body),
                Duration.ofMillis((long) (noticeS * 1000)));
    }

    private static RecurringSchedule decodeSchedule(MessageReader body)
            throws MalformedMessageException {
        double lengthS = body.nonNegativeDouble("length_s");
        if (lengthS < 1 || lengthS > MAX_DURATION_SECONDS) {
            throw new MalformedMessageException(
                    "length_s is not from 1 to " + (long) MAX_DURATION_SECONDS);
        }
        try {
            RecurringSchedule schedule =
                    new RecurringSchedule(
                            LocalDateTime.parse(body.string("start")).withNano(0),
                            ZoneId.of(body.has("time_zone") ? body.string("time_zone") : "UTC"),
                            Duration.ofMillis((long) (lengthS * 1000)),
                            body.has("rule") ? readBoundedText(body, "rule") : null);
            Recurrence.validate(schedule);
            return schedule;
        } catch (Recurrence.InvalidScheduleException wrong) {
            throw new MalformedMessageException(wrong.getMessage());
        } catch (DateTimeException wrong) {
            throw new MalformedMessageException(
                    "start is not of the form 2026-12-31T02:00, or time_zone is not one that is known");
        }
    }

    private static String readBoundedText(MessageReader body, String key)
            throws MalformedMessageException {
        String text = body.string(key);
        if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
            throw new MalformedMessageException(
                    key + " is empty or longer than " + MAX_TEXT_LENGTH);
        }
        return text;
    }

    private static List<String> readNamesOrNull(MessageReader body, String key)
            throws MalformedMessageException {
        List<String> names = body.stringListOrNull(key);
        if (names != null
                && (names.size() > MAX_LIST_SIZE
                        || names.stream().anyMatch(one -> one.length() > MAX_TEXT_LENGTH))) {
            throw new MalformedMessageException(
                    key
                            + " holds more than "
                            + MAX_LIST_SIZE
                            + " names, or one longer than "
                            + MAX_TEXT_LENGTH);
        }
        return names == null ? null : List.copyOf(names);
    }

    // ---- what operators read ----

    static Map<String, Object> encode(CalendarSnapshot.CalendarEntry<?> calendarEntry) {
        Map<String, Object> map =
                calendarEntry.item() instanceof MaintenanceWindow window
                        ? window(window)
                        : reservation((Reservation) calendarEntry.item());
        map.put("version", calendarEntry.revision().value());
        return map;
    }

    private static Map<String, Object> reservation(Reservation one) {
        Map<String, Object> map =
                MessageReader.mapOf(
                        "name",
                        one.name(),
                        "team",
                        one.team(),
                        "priority",
                        PRIORITY_BY_WORD.entrySet().stream()
                                .filter(each -> each.getValue() == one.priority())
                                .findFirst()
                                .orElseThrow()
                                .getKey(),
                        "tasks",
                        one.taskCount(),
                        "cpus",
                        one.resourcesPerTask().cpu() / 1e6,
                        "gpus",
                        one.resourcesPerTask().gpu() / 1e6,
                        "ram_gb",
                        one.resourcesPerTask().memory() / 1e6,
                        "machine_types",
                        one.allowedMachineTypes(),
                        "zone",
                        one.requiredZone(),
                        "spot",
                        one.allowsSpot(),
                        "image",
                        one.image(),
                        "image_gb",
                        one.imageSizeGb(),
                        "class",
                        one.jobClass(),
                        "jobs",
                        one.allowedJobs());
        return putSchedule(map, one.schedule());
    }

    private static Map<String, Object> window(MaintenanceWindow one) {
        String key =
                switch (one.scope()) {
                    case MACHINE -> "machines";
                    case TYPE -> "machine_types";
                    case ZONE -> "zones";
                };
        return putSchedule(
                MessageReader.mapOf(
                        "name",
                        one.name(),
                        key,
                        one.targets(),
                        "notice_s",
                        one.serviceEvictionLead().toMillis() / 1000.0),
                one.schedule());
    }

    private static Map<String, Object> putSchedule(
            Map<String, Object> map, RecurringSchedule schedule) {
        map.put("start", schedule.firstStart().toString());
        map.put("time_zone", schedule.timeZone().getId());
        map.put("length_s", schedule.duration().toMillis() / 1000.0);
        map.put("rule", schedule.recurrenceRule());
        return map;
    }

    static Map<String, Object> encode(ReservationPlan reservationPlan) {
        return MessageReader.mapOf(
                "slots",
                reservationPlan.slots().stream()
                        .map(
                                slot ->
                                        MessageReader.mapOf(
                                                "reservation",
                                                slot.reservation().name(),
                                                "team",
                                                slot.reservation().team(),
                                                "from",
                                                formatTime(slot.occurrence().startMillis()),
                                                "until",
                                                formatTime(slot.occurrence().endMillis()),
                                                "tasks",
                                                slot.reservation().taskCount(),
                                                "met",
                                                slot.fulfilledTasks(),
                                                "machines",
                                                slot.machinesByTypeZone(),
                                                "against",
                                                slot.conflicts()))
                        .toList(),
                "outages",
                reservationPlan.outages().stream()
                        .map(
                                outage ->
                                        MessageReader.mapOf(
                                                "window",
                                                outage.window().name(),
                                                "scope",
                                                outage.window().scope().name(),
                                                "targets",
                                                outage.window().targets(),
                                                "from",
                                                formatTime(outage.occurrence().startMillis()),
                                                "until",
                                                formatTime(outage.occurrence().endMillis())))
                        .toList());
    }

    private static String formatTime(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
