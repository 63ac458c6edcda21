package org.meadowhollow.storage;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.Map;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;

/**
 * Encodes and decodes the records of the reservation calendar and builds their keys: reservations,
 * maintenance windows, and the key whose revision is that of the whole calendar. Keys, field names
 * and the order of fields are part of the persisted format.
 */
public final class CalendarRecordCodec {
    /** Prefix of all records of the calendar. */
    public static final String CALENDAR_PREFIX = "cal/";

    /**
     * The key whose revision is that of the whole calendar. Every change of the calendar requires
     * this revision and writes the key, so that only one of two changes based on the same state of
     * the calendar is applied. Its value is empty.
     */
    public static final String REVISION_KEY = CALENDAR_PREFIX + "stamp";

    static final String RESERVATION_PREFIX = CALENDAR_PREFIX + "reservation/";
    static final String WINDOW_PREFIX = CALENDAR_PREFIX + "window/";

    private static final String NAME = "name";
    private static final String ACCEPTANCE_ORDER = "order";
    private static final String FIRST_START = "start";
    private static final String TIME_ZONE = "clocks";
    private static final String DURATION_MILLIS = "length";
    private static final String RECURRENCE_RULE = "rule";

    private static final String TEAM = "team";
    private static final String PRIORITY = "priority";
    private static final String TASK_COUNT = "tasks";
    private static final String ALLOWED_MACHINE_TYPES = "types";
    private static final String REQUIRED_ZONE = "in";
    private static final String ALLOWS_SPOT = "spot";
    private static final String IMAGE = "image";
    private static final String IMAGE_SIZE_GB = "imageGb";
    private static final String JOB_CLASS = "class";
    private static final String ALLOWED_JOBS = "jobs";

    private static final String SCOPE = "scope";
    private static final String TARGETS = "targets";
    private static final String SERVICE_EVICTION_LEAD_MILLIS = "notice";

    private CalendarRecordCodec() {}

    /** The key of a reservation. */
    public static String reservationKey(String name) {
        return RESERVATION_PREFIX + name;
    }

    /** The key of a maintenance window. */
    public static String windowKey(String name) {
        return WINDOW_PREFIX + name;
    }

    /**
     * Encodes a reservation.
     *
     * @param acceptanceOrder the position in the order of acceptance, which increases with each
     *     change of the calendar
     */
    public static Map<String, Object> encode(Reservation reservation, long acceptanceOrder) {
        Map<String, Object> fields =
                encodeSchedule(reservation.name(), reservation.schedule(), acceptanceOrder);
        fields.put(TEAM, reservation.team());
        fields.put(PRIORITY, reservation.priority().storedName());
        fields.put(TASK_COUNT, (long) reservation.taskCount());
        RecordFields.putResources(fields, reservation.resourcesPerTask());
        fields.put(ALLOWED_MACHINE_TYPES, reservation.allowedMachineTypes());
        fields.put(REQUIRED_ZONE, reservation.requiredZone());
        fields.put(ALLOWS_SPOT, reservation.allowsSpot());
        fields.put(IMAGE, reservation.image());
        fields.put(IMAGE_SIZE_GB, reservation.imageSizeGb());
        fields.put(JOB_CLASS, reservation.jobClass());
        fields.put(ALLOWED_JOBS, reservation.allowedJobs());
        return fields;
    }

    /**
     * Encodes a maintenance window.
     *
     * @param acceptanceOrder the position in the order of acceptance, which increases with each
     *     change of the calendar
     */
    public static Map<String, Object> encode(MaintenanceWindow window, long acceptanceOrder) {
        Map<String, Object> fields =
                encodeSchedule(window.name(), window.schedule(), acceptanceOrder);
        fields.put(SCOPE, window.scope().storedName());
        fields.put(TARGETS, window.targets());
        fields.put(SERVICE_EVICTION_LEAD_MILLIS, window.serviceEvictionLead().toMillis());
        return fields;
    }

    private static Map<String, Object> encodeSchedule(
            String name, RecurringSchedule schedule, long acceptanceOrder) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(NAME, name);
        fields.put(ACCEPTANCE_ORDER, acceptanceOrder);
        fields.put(FIRST_START, schedule.firstStart().toString());
        fields.put(TIME_ZONE, schedule.timeZone().getId());
        fields.put(DURATION_MILLIS, schedule.duration().toMillis());
        fields.put(RECURRENCE_RULE, schedule.recurrenceRule());
        return fields;
    }

    private static RecurringSchedule decodeSchedule(Map<String, Object> fields) {
        return new RecurringSchedule(
                LocalDateTime.parse(RecordFields.getString(fields, FIRST_START)),
                ZoneId.of(RecordFields.getString(fields, TIME_ZONE)),
                Duration.ofMillis(RecordFields.getLong(fields, DURATION_MILLIS)),
                RecordFields.getString(fields, RECURRENCE_RULE));
    }

    static long acceptanceOrderOf(Map<String, Object> fields) {
        return RecordFields.getLong(fields, ACCEPTANCE_ORDER);
    }

    static Reservation decodeReservation(Map<String, Object> fields) {
        return new Reservation(
                RecordFields.getString(fields, NAME),
                RecordFields.getString(fields, TEAM),
                Priority.fromStoredName(RecordFields.getString(fields, PRIORITY)),
                RecordFields.getInt(fields, TASK_COUNT),
                RecordFields.getResources(fields),
                RecordFields.getStringList(fields, ALLOWED_MACHINE_TYPES),
                RecordFields.getString(fields, REQUIRED_ZONE),
                (Boolean) fields.get(ALLOWS_SPOT),
                RecordFields.getString(fields, IMAGE),
                RecordFields.getDouble(fields, IMAGE_SIZE_GB),
                RecordFields.getString(fields, JOB_CLASS),
                RecordFields.getStringList(fields, ALLOWED_JOBS),
                decodeSchedule(fields));
    }

    static MaintenanceWindow decodeWindow(Map<String, Object> fields) {
        return new MaintenanceWindow(
                RecordFields.getString(fields, NAME),
                MaintenanceWindow.Scope.fromStoredName(RecordFields.getString(fields, SCOPE)),
                RecordFields.getStringList(fields, TARGETS),
                decodeSchedule(fields),
                Duration.ofMillis(RecordFields.getLong(fields, SERVICE_EVICTION_LEAD_MILLIS)));
    }
}
