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
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.CalendarSnapshot;

/**
 * Decodes and encodes the JSON of reservations and maintenance windows, and encodes plans; {@code
 * docs/reservations.md} describes the fields. Every field that is both read and written is a
 * constant.
 */
final class ReservationCodec {
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
    private static final int MAX_TEXT_LENGTH = 200;
    private static final int MAX_LIST_SIZE = 100;
    private static final long MAX_TASKS = 100_000;
    private static final double MAX_DURATION_SECONDS = Duration.ofDays(31).toSeconds();
    private static final double MILLIS_PER_SECOND = 1000.0;

    /**
     * The factor from the JSON fields to stored resources. These are in whole millionths of a unit;
     * the JSON fields are in cores, devices and GB.
     */
    private static final double MILLIONTHS_PER_UNIT = 1e6;

    private static final String TEAM = "team";
    private static final String PRIORITY = "priority";
    private static final String TASKS = "tasks";
    private static final String CPUS = "cpus";
    private static final String GPUS = "gpus";
    private static final String RAM_GB = "ram_gb";
    private static final String MACHINES = "machines";
    private static final String MACHINE_TYPES = "machine_types";
    private static final String ZONE = "zone";
    private static final String ZONES = "zones";
    private static final String SPOT = "spot";
    private static final String IMAGE = "image";
    private static final String IMAGE_GB = "image_gb";
    private static final String JOB_CLASS = "class";
    private static final String JOBS = "jobs";
    private static final String EVICTION_LEAD_SECONDS = "notice_s";
    private static final String START = "start";
    private static final String TIME_ZONE = "time_zone";
    private static final String DURATION_SECONDS = "length_s";
    private static final String RULE = "rule";

    /** The priority of a reservation whose request has no priority field. */
    private static final String DEFAULT_PRIORITY = "normal";

    private static final Map<String, MaintenanceWindow.Scope> SCOPE_BY_FIELD =
            Map.of(
                    MACHINES,
                    MaintenanceWindow.Scope.MACHINE,
                    MACHINE_TYPES,
                    MaintenanceWindow.Scope.TYPE,
                    ZONES,
                    MaintenanceWindow.Scope.ZONE);

    private static final Map<String, Priority> PRIORITY_BY_NAME =
            Map.of(
                    "critical",
                    Priority.PRODUCTION,
                    "urgent",
                    Priority.HIGH,
                    DEFAULT_PRIORITY,
                    Priority.NORMAL,
                    "idle",
                    Priority.LOW);

    private ReservationCodec() {}

    /**
     * Checks the name of an entry and returns it.
     *
     * @throws MalformedMessageException if the name is not valid
     */
    static String requireValidName(String text) throws MalformedMessageException {
        if (!NAME_PATTERN.matcher(text).matches()) {
            throw new MalformedMessageException(
                    "a name is up to 40 small letters, digits and hyphens");
        }
        return text;
    }

    /** Decodes a reservation; the name comes from the path of the request. */
    static Reservation decodeReservation(String name, MessageReader body)
            throws MalformedMessageException {
        long tasks = body.nonNegativeLong(TASKS);
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new MalformedMessageException("tasks is not from 1 to " + MAX_TASKS);
        }
        String priority = body.has(PRIORITY) ? body.string(PRIORITY) : DEFAULT_PRIORITY;
        if (!PRIORITY_BY_NAME.containsKey(priority)) {
            throw new MalformedMessageException(
                    "priority is none of critical, urgent, normal, idle");
        }
        return new Reservation(
                requireValidName(name),
                readBoundedText(body, TEAM),
                PRIORITY_BY_NAME.get(priority),
                (int) tasks,
                Resources.of(
                        body.nonNegativeDouble(CPUS),
                        body.nonNegativeDoubleOr(GPUS, 0),
                        body.nonNegativeDouble(RAM_GB)),
                readNamesOrNull(body, MACHINE_TYPES),
                body.stringOrNull(ZONE),
                body.booleanOr(SPOT, false),
                body.has(IMAGE) ? readBoundedText(body, IMAGE) : "",
                body.nonNegativeDoubleOr(IMAGE_GB, 0),
                body.has(JOB_CLASS) ? readBoundedText(body, JOB_CLASS) : null,
                readNamesOrNull(body, JOBS),
                decodeSchedule(body));
    }

    /** Decodes a maintenance window; the name comes from the path of the request. */
    static MaintenanceWindow decodeWindow(String name, MessageReader body)
            throws MalformedMessageException {
        MaintenanceWindow.Scope scope = null;
        List<String> targets = null;
        for (Map.Entry<String, MaintenanceWindow.Scope> field : SCOPE_BY_FIELD.entrySet()) {
            if (body.has(field.getKey())) {
                if (scope != null) {
                    throw new MalformedMessageException(
                            "a window names either machines, machine_types or zones");
                }
                scope = field.getValue();
                targets = readNamesOrNull(body, field.getKey());
            }
        }
        if (scope == null || targets.isEmpty()) {
            throw new MalformedMessageException("a window names machines, machine_types or zones");
        }
        double evictionLeadSeconds = body.nonNegativeDoubleOr(EVICTION_LEAD_SECONDS, 0);
        if (evictionLeadSeconds > MAX_DURATION_SECONDS) {
            throw new MalformedMessageException("notice_s is longer than 31 days");
        }
        return new MaintenanceWindow(
                requireValidName(name),
                scope,
                targets,
                decodeSchedule(body),
                Duration.ofMillis((long) (evictionLeadSeconds * MILLIS_PER_SECOND)));
    }

    private static RecurringSchedule decodeSchedule(MessageReader body)
            throws MalformedMessageException {
        double durationSeconds = body.nonNegativeDouble(DURATION_SECONDS);
        if (durationSeconds < 1 || durationSeconds > MAX_DURATION_SECONDS) {
            throw new MalformedMessageException(
                    "length_s is not from 1 to " + (long) MAX_DURATION_SECONDS);
        }
        try {
            RecurringSchedule schedule =
                    new RecurringSchedule(
                            LocalDateTime.parse(body.string(START)).withNano(0),
                            ZoneId.of(body.has(TIME_ZONE) ? body.string(TIME_ZONE) : "UTC"),
                            Duration.ofMillis((long) (durationSeconds * MILLIS_PER_SECOND)),
                            body.has(RULE) ? readBoundedText(body, RULE) : null);
            Recurrence.validate(schedule);
            return schedule;
        } catch (Recurrence.InvalidScheduleException invalid) {
            throw new MalformedMessageException(invalid.getMessage());
        } catch (DateTimeException invalid) {
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
                        || names.stream().anyMatch(name -> name.length() > MAX_TEXT_LENGTH))) {
            throw new MalformedMessageException(
                    key
                            + " holds more than "
                            + MAX_LIST_SIZE
                            + " names, or one longer than "
                            + MAX_TEXT_LENGTH);
        }
        return names == null ? null : List.copyOf(names);
    }

    /** Encodes an entry with its revision, which a later change must send in If-Match. */
    static Map<String, Object> encode(CalendarSnapshot.CalendarEntry<?> entry) {
        Map<String, Object> map =
                entry.item() instanceof MaintenanceWindow window
                        ? encodeWindow(window)
                        : encodeReservation((Reservation) entry.item());
        map.put("version", MessagePackCodec.ofUnsigned(entry.revision().value()));
        return map;
    }

    private static Map<String, Object> encodeReservation(Reservation reservation) {
        Map<String, Object> map =
                MessageReader.mapOf(
                        "name",
                        reservation.name(),
                        TEAM,
                        reservation.team(),
                        PRIORITY,
                        priorityName(reservation.priority()),
                        TASKS,
                        reservation.taskCount(),
                        CPUS,
                        reservation.resourcesPerTask().cpu() / MILLIONTHS_PER_UNIT,
                        GPUS,
                        reservation.resourcesPerTask().gpu() / MILLIONTHS_PER_UNIT,
                        RAM_GB,
                        reservation.resourcesPerTask().memory() / MILLIONTHS_PER_UNIT,
                        MACHINE_TYPES,
                        reservation.allowedMachineTypes(),
                        ZONE,
                        reservation.requiredZone(),
                        SPOT,
                        reservation.allowsSpot(),
                        IMAGE,
                        reservation.image(),
                        IMAGE_GB,
                        reservation.imageSizeGb(),
                        JOB_CLASS,
                        reservation.jobClass(),
                        JOBS,
                        reservation.allowedJobs());
        return withSchedule(map, reservation.schedule());
    }

    private static String priorityName(Priority priority) {
        return PRIORITY_BY_NAME.entrySet().stream()
                .filter(entry -> entry.getValue() == priority)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static Map<String, Object> encodeWindow(MaintenanceWindow window) {
        String key =
                switch (window.scope()) {
                    case MACHINE -> MACHINES;
                    case TYPE -> MACHINE_TYPES;
                    case ZONE -> ZONES;
                };
        return withSchedule(
                MessageReader.mapOf(
                        "name",
                        window.name(),
                        key,
                        window.targets(),
                        EVICTION_LEAD_SECONDS,
                        window.serviceEvictionLead().toMillis() / MILLIS_PER_SECOND),
                window.schedule());
    }

    private static Map<String, Object> withSchedule(
            Map<String, Object> map, RecurringSchedule schedule) {
        map.put(START, schedule.firstStart().toString());
        map.put(TIME_ZONE, schedule.timeZone().getId());
        map.put(DURATION_SECONDS, schedule.duration().toMillis() / MILLIS_PER_SECOND);
        map.put(RULE, schedule.recurrenceRule());
        return map;
    }

    /**
     * Encodes a plan. {@code met} is the number of tasks that have capacity; {@code against} gives
     * the reasons why the others do not.
     */
    static Map<String, Object> encode(ReservationPlan plan) {
        return MessageReader.mapOf(
                "slots",
                plan.slots().stream().map(ReservationCodec::encodeSlot).toList(),
                "outages",
                plan.outages().stream().map(ReservationCodec::encodeOutage).toList());
    }

    private static Map<String, Object> encodeSlot(ReservationPlan.Slot slot) {
        return MessageReader.mapOf(
                "reservation",
                slot.reservation().name(),
                TEAM,
                slot.reservation().team(),
                "from",
                formatTime(slot.occurrence().startMillis()),
                "until",
                formatTime(slot.occurrence().endMillis()),
                TASKS,
                slot.reservation().taskCount(),
                "met",
                slot.fulfilledTasks(),
                MACHINES,
                slot.machinesByTypeZone(),
                "against",
                slot.conflicts());
    }

    private static Map<String, Object> encodeOutage(ReservationPlan.Outage outage) {
        return MessageReader.mapOf(
                "window",
                outage.window().name(),
                "scope",
                outage.window().scope().name(),
                "targets",
                outage.window().targets(),
                "from",
                formatTime(outage.occurrence().startMillis()),
                "until",
                formatTime(outage.occurrence().endMillis()));
    }

    private static String formatTime(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
