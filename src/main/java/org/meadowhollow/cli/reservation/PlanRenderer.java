package org.meadowhollow.cli.reservation;

import com.github.mustachejava.DefaultMustacheFactory;
import com.github.mustachejava.Mustache;
import java.io.StringWriter;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/** A plan as a node tells it, from templates: a table in plain text, or a page. */
final class PlanRenderer {
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("EEE d MMM HH:mm", Locale.ENGLISH);

    private PlanRenderer() {}

    /** A line of the plan; the fields are what the templates name. */
    private static Map<String, Object> planLine(
            MessageReader told, String what, String detail, String note, boolean bad, ZoneId zone)
            throws MalformedMessageException {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("from", TIME_FORMAT.format(Instant.parse(told.string("from")).atZone(zone)));
        line.put("until", TIME_FORMAT.format(Instant.parse(told.string("until")).atZone(zone)));
        line.put("order", told.string("from"));
        line.put("what", what);
        line.put("detail", detail);
        line.put("note", note);
        line.put("bad", bad);
        line.put(
                "row",
                "%-17s %-17s %-32s %s%s"
                        .formatted(
                                line.get("from"),
                                line.get("until"),
                                what,
                                detail,
                                note.isEmpty() ? "" : "  ! " + note));
        return line;
    }

    /**
     * @param plan the body of a node's answer
     * @param zoneId whose clocks the times are told by
     * @throws MalformedMessageException if the answer or the time zone makes no sense
     */
    static String render(Map<String, Object> plan, String zoneId, boolean html)
            throws MalformedMessageException {
        ZoneId zone;
        try {
            zone = ZoneId.of(zoneId);
        } catch (DateTimeException unknown) {
            throw new MalformedMessageException("there is no time zone " + zoneId);
        }
        MessageReader told = new MessageReader(plan);
        List<Map<String, Object>> lines = new ArrayList<>();
        for (MessageReader slot : told.nestedList("slots")) {
            long met = slot.nonNegativeLong("met");
            long tasks = slot.nonNegativeLong("tasks");
            List<String> machines = new ArrayList<>();
            slot.nested("machines")
                    .map()
                    .forEach((pair, count) -> machines.add(count + " x " + pair));
            lines.add(
                    planLine(
                            slot,
                            "reservation " + slot.string("reservation"),
                            "team "
                                    + slot.string("team")
                                    + ", "
                                    + met
                                    + " of "
                                    + tasks
                                    + " tasks, "
                                    + String.join(" + ", machines),
                            met < tasks ? String.join("; ", slot.stringListOrNull("against")) : "",
                            met < tasks,
                            zone));
        }
        for (MessageReader outage : told.nestedList("outages")) {
            lines.add(
                    planLine(
                            outage,
                            "window " + outage.string("window"),
                            outage.string("scope").toLowerCase(Locale.ROOT)
                                    + " "
                                    + String.join(", ", outage.stringListOrNull("targets"))
                                    + " out",
                            "",
                            false,
                            zone));
        }
        lines.sort(
                Comparator.comparing((Map<String, Object> line) -> (String) line.get("order"))
                        .thenComparing(line -> (String) line.get("what")));
        Mustache template =
                new DefaultMustacheFactory("org/meadowhollow/cli/reservation")
                        .compile(html ? "plan.html" : "plan.txt");
        StringWriter page = new StringWriter();
        Map<String, Object> scope = new LinkedHashMap<>();
        scope.put("lines", lines);
        scope.put("zone", zoneId);
        scope.put("none", lines.isEmpty());
        template.execute(page, scope);
        return page.toString();
    }
}
