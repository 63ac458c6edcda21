package org.meadowhollow.bookkeeping.calendar;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.bookkeeping.Priority;
import org.meadowhollow.bookkeeping.Resources;

/** The keys and values under which reservations and windows are kept in the state service. */
public final class CalendarRecords {
    public static final String PREFIX = "cal/";

    /**
     * Written by every change, so that of two that were decided from the same calendar only one is
     * applied.
     */
    public static final String STAMP = PREFIX + "stamp";

    static final String RESERVATIONS = PREFIX + "reservation/";
    static final String WINDOWS = PREFIX + "window/";

    private CalendarRecords() {}

    public static String reservation(String name) {
        return RESERVATIONS + name;
    }

    public static String window(String name) {
        return WINDOWS + name;
    }

    static long order(Map<String, Object> record) {
        return ((Number) record.get("order")).longValue();
    }

    /**
     * @param order of the change that writes it
     */
    public static Map<String, Object> encode(Reservation reservation, long order) {
        Map<String, Object> map = schedule(reservation.name(), reservation.schedule(), order);
        map.put("team", reservation.team());
        map.put("priority", reservation.priority().name());
        map.put("tasks", (long) reservation.tasks());
        map.put("cpu", reservation.perTask().cpu());
        map.put("gpu", reservation.perTask().gpu());
        map.put("memory", reservation.perTask().memory());
        map.put("types", reservation.types());
        map.put("in", reservation.zone());
        map.put("spot", reservation.spot());
        map.put("image", reservation.image());
        map.put("imageGb", reservation.imageGb());
        map.put("class", reservation.jobClass());
        map.put("jobs", reservation.jobs());
        return map;
    }

    public static Map<String, Object> encode(Window window, long order) {
        Map<String, Object> map = schedule(window.name(), window.schedule(), order);
        map.put("scope", window.scope().name());
        map.put("targets", window.targets());
        map.put("notice", window.notice().toMillis());
        return map;
    }

    private static Map<String, Object> schedule(String name, Schedule schedule, long order) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", name);
        map.put("order", order);
        map.put("start", schedule.start().toString());
        map.put("clocks", schedule.zone().getId());
        map.put("length", schedule.length().toMillis());
        map.put("rule", schedule.rule());
        return map;
    }

    private static Schedule schedule(Map<String, Object> map) {
        return new Schedule(
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
                Priority.valueOf((String) map.get("priority")),
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
    static Window window(Map<String, Object> map) {
        return new Window(
                (String) map.get("name"),
                Window.Scope.valueOf((String) map.get("scope")),
                (List<String>) map.get("targets"),
                schedule(map),
                Duration.ofMillis(number(map, "notice").longValue()));
    }

    private static Number number(Map<String, Object> map, String key) {
        return (Number) map.get(key);
    }
}
