package org.meadowhollow.protocol.calendar;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.meadowhollow.coordination.calendar.Plan;
import org.meadowhollow.coordination.calendar.Recurrence;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.storage.CalendarSnapshot;

/**
 * Reservations and windows as operators write and read them, in JSON; {@code docs/reservations.md}
 * has the fields.
 */
final class CalendarCodec {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
    private static final int LONGEST = 200;
    private static final int MOST_LISTED = 100;
    private static final long MOST_TASKS = 100_000;
    private static final double LONGEST_S = Duration.ofDays(31).toSeconds();
    private static final Map<String, Priority> PRIORITIES =
            Map.of(
                    "critical",
                    Priority.PRODUCTION,
                    "urgent",
                    Priority.HIGH,
                    "normal",
                    Priority.NORMAL,
                    "idle",
                    Priority.LOW);

    private CalendarCodec() {}

    static String name(String text) throws Malformed {
        if (!NAME.matcher(text).matches()) {
            throw new Malformed("a name is up to 40 small letters, digits and hyphens");
        }
        return text;
    }

    static Reservation reservation(String name, Fields body) throws Malformed {
        long tasks = body.count("tasks");
        if (tasks < 1 || tasks > MOST_TASKS) {
            throw new Malformed("tasks is not from 1 to " + MOST_TASKS);
        }
        String priority = body.has("priority") ? body.text("priority") : "normal";
        if (!PRIORITIES.containsKey(priority)) {
            throw new Malformed("priority is none of critical, urgent, normal, idle");
        }
        return new Reservation(
                name(name),
                bounded(body, "team"),
                PRIORITIES.get(priority),
                (int) tasks,
                Resources.of(body.amount("cpus"), body.amountOr("gpus", 0), body.amount("ram_gb")),
                names(body, "machine_types"),
                body.textOrNull("zone"),
                body.flagOr("spot", false),
                body.has("image") ? bounded(body, "image") : "",
                body.amountOr("image_gb", 0),
                body.has("class") ? bounded(body, "class") : null,
                names(body, "jobs"),
                schedule(body));
    }

    static MaintenanceWindow window(String name, Fields body) throws Malformed {
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
                    throw new Malformed("a window names either machines, machine_types or zones");
                }
                scope = each.getValue();
                targets = names(body, each.getKey());
            }
        }
        if (scope == null || targets.isEmpty()) {
            throw new Malformed("a window names machines, machine_types or zones");
        }
        double noticeS = body.amountOr("notice_s", 0);
        if (noticeS > LONGEST_S) {
            throw new Malformed("notice_s is longer than 31 days");
        }
        return new MaintenanceWindow(
                name(name),
                scope,
                targets,
                schedule(body),
                Duration.ofMillis((long) (noticeS * 1000)));
    }

    private static RecurringSchedule schedule(Fields body) throws Malformed {
        double lengthS = body.amount("length_s");
        if (lengthS < 1 || lengthS > LONGEST_S) {
            throw new Malformed("length_s is not from 1 to " + (long) LONGEST_S);
        }
        try {
            RecurringSchedule schedule =
                    new RecurringSchedule(
                            LocalDateTime.parse(body.text("start")).withNano(0),
                            ZoneId.of(body.has("time_zone") ? body.text("time_zone") : "UTC"),
                            Duration.ofMillis((long) (lengthS * 1000)),
                            body.has("rule") ? bounded(body, "rule") : null);
            Recurrence.check(schedule);
            return schedule;
        } catch (Recurrence.Unusable wrong) {
            throw new Malformed(wrong.getMessage());
        } catch (DateTimeException wrong) {
            throw new Malformed(
                    "start is not of the form 2026-12-31T02:00, or time_zone is not one that is known");
        }
    }

    private static String bounded(Fields body, String key) throws Malformed {
        String text = body.text(key);
        if (text.isEmpty() || text.length() > LONGEST) {
            throw new Malformed(key + " is empty or longer than " + LONGEST);
        }
        return text;
    }

    private static List<String> names(Fields body, String key) throws Malformed {
        List<String> names = body.textsOrNull(key);
        if (names != null
                && (names.size() > MOST_LISTED
                        || names.stream().anyMatch(one -> one.length() > LONGEST))) {
            throw new Malformed(
                    key
                            + " holds more than "
                            + MOST_LISTED
                            + " names, or one longer than "
                            + LONGEST);
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
                Fields.of(
                        "name",
                        one.name(),
                        "team",
                        one.team(),
                        "priority",
                        PRIORITIES.entrySet().stream()
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
        return scheduled(map, one.schedule());
    }

    private static Map<String, Object> window(MaintenanceWindow one) {
        String key =
                switch (one.scope()) {
                    case MACHINE -> "machines";
                    case TYPE -> "machine_types";
                    case ZONE -> "zones";
                };
        return scheduled(
                Fields.of(
                        "name",
                        one.name(),
                        key,
                        one.targets(),
                        "notice_s",
                        one.serviceEvictionLead().toMillis() / 1000.0),
                one.schedule());
    }

    private static Map<String, Object> scheduled(
            Map<String, Object> map, RecurringSchedule schedule) {
        map.put("start", schedule.firstStart().toString());
        map.put("time_zone", schedule.timeZone().getId());
        map.put("length_s", schedule.duration().toMillis() / 1000.0);
        map.put("rule", schedule.recurrenceRule());
        return map;
    }

    static Map<String, Object> encode(Plan plan) {
        return Fields.of(
                "slots",
                plan.slots().stream()
                        .map(
                                slot ->
                                        Fields.of(
                                                "reservation",
                                                slot.reservation().name(),
                                                "team",
                                                slot.reservation().team(),
                                                "from",
                                                time(slot.when().startMillis()),
                                                "until",
                                                time(slot.when().endMillis()),
                                                "tasks",
                                                slot.reservation().taskCount(),
                                                "met",
                                                slot.tasks(),
                                                "machines",
                                                slot.machines(),
                                                "against",
                                                slot.against()))
                        .toList(),
                "outages",
                plan.outages().stream()
                        .map(
                                outage ->
                                        Fields.of(
                                                "window",
                                                outage.window().name(),
                                                "scope",
                                                outage.window().scope().name(),
                                                "targets",
                                                outage.window().targets(),
                                                "from",
                                                time(outage.when().startMillis()),
                                                "until",
                                                time(outage.when().endMillis())))
                        .toList());
    }

    private static String time(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
