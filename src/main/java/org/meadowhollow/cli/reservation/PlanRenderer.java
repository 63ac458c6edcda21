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

/** Renders a plan that a node returned, from templates: as a plain-text table or an HTML page. */
final class PlanRenderer {
    private static final String TEMPLATE_FOLDER = "org/meadowhollow/cli/reservation";
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("EEE d MMM HH:mm", Locale.ENGLISH);

    /** The texts of a line of the plan; {@code problem} is empty if there is none. */
    private record Description(String title, String detail, String problem, boolean bad) {}

    private final ZoneId zone;

    private PlanRenderer(ZoneId zone) {
        this.zone = zone;
    }

    /**
     * Renders a plan.
     *
     * @param plan the body of a node's response
     * @param zoneId the time zone in which times are shown
     * @param html whether to render an HTML page instead of text
     * @throws MalformedMessageException if the response or the time zone is invalid
     */
    static String render(Map<String, Object> plan, String zoneId, boolean html)
            throws MalformedMessageException {
        List<Map<String, Object>> lines = new PlanRenderer(parseZone(zoneId)).buildLines(plan);
        Mustache template =
                new DefaultMustacheFactory(TEMPLATE_FOLDER)
                        .compile(html ? "plan.html" : "plan.txt");
        StringWriter page = new StringWriter();
        Map<String, Object> scope = new LinkedHashMap<>();
        scope.put("lines", lines);
        scope.put("zone", zoneId);
        scope.put("none", lines.isEmpty());
        template.execute(page, scope);
        return page.toString();
    }

    private static ZoneId parseZone(String zoneId) throws MalformedMessageException {
        try {
            return ZoneId.of(zoneId);
        } catch (DateTimeException unknown) {
            throw new MalformedMessageException("there is no time zone " + zoneId);
        }
    }

    /** Returns a line for each slot and outage, in the order of their starts. */
    private List<Map<String, Object>> buildLines(Map<String, Object> plan)
            throws MalformedMessageException {
        MessageReader reader = new MessageReader(plan);
        List<Map<String, Object>> lines = new ArrayList<>();
        for (MessageReader slot : reader.nestedList("slots")) {
            lines.add(buildLine(slot, describeSlot(slot)));
        }
        for (MessageReader outage : reader.nestedList("outages")) {
            lines.add(buildLine(outage, describeOutage(outage)));
        }
        lines.sort(
                Comparator.comparing((Map<String, Object> line) -> (String) line.get("order"))
                        .thenComparing(line -> (String) line.get("what")));
        return lines;
    }

    private static Description describeSlot(MessageReader slot) throws MalformedMessageException {
        long met = slot.nonNegativeLong("met");
        long tasks = slot.nonNegativeLong("tasks");
        List<String> machines = new ArrayList<>();
        slot.nested("machines")
                .map()
                .forEach((typeZone, count) -> machines.add(count + " x " + typeZone));
        String detail =
                "team "
                        + slot.string("team")
                        + ", "
                        + met
                        + " of "
                        + tasks
                        + " tasks, "
                        + String.join(" + ", machines);
        String problem = met < tasks ? String.join("; ", slot.stringListOrNull("against")) : "";
        return new Description(
                "reservation " + slot.string("reservation"), detail, problem, met < tasks);
    }

    private static Description describeOutage(MessageReader outage)
            throws MalformedMessageException {
        String detail =
                outage.string("scope").toLowerCase(Locale.ROOT)
                        + " "
                        + String.join(", ", outage.stringListOrNull("targets"))
                        + " out";
        return new Description("window " + outage.string("window"), detail, "", false);
    }

    /** Returns the fields of a line, under the names that the templates use. */
    private Map<String, Object> buildLine(MessageReader entry, Description description)
            throws MalformedMessageException {
        String from = formatTime(entry.string("from"));
        String until = formatTime(entry.string("until"));
        String problem = description.problem();
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("from", from);
        line.put("until", until);
        line.put("order", entry.string("from"));
        line.put("what", description.title());
        line.put("detail", description.detail());
        line.put("note", problem);
        line.put("bad", description.bad());
        line.put(
                "row",
                "%-17s %-17s %-32s %s%s"
                        .formatted(
                                from,
                                until,
                                description.title(),
                                description.detail(),
                                problem.isEmpty() ? "" : "  ! " + problem));
        return line;
    }

    private String formatTime(String instant) {
        return TIME_FORMAT.format(Instant.parse(instant).atZone(zone));
    }
}
