package org.meadowhollow.storage;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.RecurringSchedule;
import org.meadowhollow.model.reservation.Reservation;

/** The keys and values under which reservations and windows are kept in the state service. */
public final class CalendarRecordCodec {
    public static final String CALENDAR_PREFIX = "cal/";

    /**
     * Written by every change, so that of two that were decided from the same calendar only one is
     * applied.
     */
    public static final String REVISION_KEY = CALENDAR_PREFIX + "stamp";

    static final String RESERVATION_PREFIX = CALENDAR_PREFIX + "reservation/";
    static final String WINDOW_PREFIX = CALENDAR_PREFIX + "window/";

    private CalendarRecordCodec() {}

    public static String reservation(String name) {
        return RESERVATION_PREFIX + name;
    }

    public static String window(String name) {
        return WINDOW_PREFIX + name;
    }

    static long acceptanceOrderOf(Map<String, Object> record) {
        return ((Number) record.get("order")).longValue();
    }

    /**
     * @param order of the change that writes it
     */
    public static Map<String, Object> encode(Reservation reservation, long order) {
        Map<String, Object> map = schedule(reservation.name(), reservation.schedule(), order);
        map.put("team", reservation.team());
        map.put("priority", reservation.priority().storedWord());
        map.put("tasks", (long) reservation.taskCount());
        map.put("cpu", reservation.resourcesPerTask().cpu());
        map.put("gpu", reservation.resourcesPerTask().gpu());
        map.put("memory", reservation.resourcesPerTask().memory());
        map.put("types", reservation.allowedMachineTypes());
        map.put("in", reservation.requiredZone());
        map.put("spot", reservation.allowsSpot());
        map.put("image", reservation.image());
        map.put("imageGb", reservation.imageSizeGb());
        map.put("class", reservation.jobClass());
        map.put("jobs", reservation.allowedJobs());
        return map;
    }

    public static Map<String, Object> encode(MaintenanceWindow window, long order) {
        Map<String, Object> map = schedule(window.name(), window.schedule(), order);
        map.put("scope", window.scope().storedWord());
        map.put("targets", window.targets());
        map.put("notice", window.serviceEvictionLead().toMillis());
        return map;
    }

    private static Map<String, Object> schedule(
            String name, RecurringSchedule schedule, long order) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", name);
        map.put("order", order);
        map.put("start", schedule.firstStart().toString());
        map.put("clocks", schedule.timeZone().getId());
        map.put("length", schedule.duration().toMillis());
        map.put("rule", schedule.recurrenceRule());
        return map;
    }

    private static RecurringSchedule schedule(Map<String, Object> map) {
        return new RecurringSchedule(
                LocalDateTime.parse((String) map.get("start")),
                ZoneId.of((String) map.get("clocks")),
                Duration.ofMillis(number(map, "length").longValue()),
                (String) map.get("rule"));
    }

    @SuppressWarnings("unchecked")
    static Reservation reservation(Map<String, Object> map) {
        return new Reservation(
                (String) map.get("name"),
                (String) map.get("team"),
                Priority.fromStoredWord((String) map.get("priority")),
                number(map, "tasks").intValue(),
                new Resources(
                        number(map, "cpu").longValue(),
                        number(map, "gpu").longValue(),
                        number(map, "memory").longValue()),
                (List<String>) map.get("types"),
                (String) map.get("in"),
                (Boolean) map.get("spot"),
                (String) map.get("image"),
                number(map, "imageGb").doubleValue(),
                (String) map.get("class"),
                (List<String>) map.get("jobs"),
                schedule(map));
    }

    @SuppressWarnings("unchecked")
    static MaintenanceWindow window(Map<String, Object> map) {
        return new MaintenanceWindow(
                (String) map.get("name"),
                MaintenanceWindow.Scope.fromStoredWord((String) map.get("scope")),
                (List<String>) map.get("targets"),
                schedule(map),
                Duration.ofMillis(number(map, "notice").longValue()));
    }

    private static Number number(Map<String, Object> map, String key) {
        return (Number) map.get(key);
    }
}
