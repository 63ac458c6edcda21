package org.meadowhollow.protocol.tes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Malformed;

/**
 * A task of the GA4GH task execution API (TES 1.1) as it is checked, kept and run. What is kept
 * holds the fields that the API names and nothing else.
 */
final class TesCodec {
    /** Backend parameters that are understood; {@code docs/tes.md} says what each means. */
    static final List<String> PARAMETERS =
            List.of(
                    "class",
                    "priority",
                    "gpus",
                    "machine_types",
                    "image_gb",
                    "expected_s",
                    "checkpoint_s",
                    "save_s",
                    "deadline_s",
                    "max_attempts");

    /**
     * The class of jobs that a task belongs to unless it says so: objectives for the class may name
     * it.
     */
    private static final String CLASS = "tes";

    private static final int MOST_ITEMS = 1000;
    private static final int LONGEST_NAME = 200;

    /**
     * What is taken for an image whose size the client does not tell; decides where to place, and
     * nothing else.
     */
    private static final double IMAGE_GB = 2;

    private static final double CPUS = 1;
    private static final double MEMORY_GB = 2;
    private static final Set<String> FILE_TYPES = Set.of("FILE", "DIRECTORY");
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

    /**
     * What can be said of a task that is well formed: what is kept of it, and its backend
     * parameters.
     */
    record Task(Map<String, Object> document, Map<String, Object> parameters) {
        String name() {
            return (String) document.get("name");
        }

        @SuppressWarnings("unchecked")
        Map<String, Object> tags() {
            return (Map<String, Object>) document.getOrDefault("tags", Map.of());
        }
    }

    private TesCodec() {}

    /** Checks a task to be created; fields that the API does not name are left out. */
    static Task decode(Fields body) throws Malformed {
        Map<String, Object> document = new LinkedHashMap<>();
        texts(body, document, "name", "description");
        List<Object> inputs = new ArrayList<>();
        for (Fields input : some(body, "inputs")) {
            inputs.add(input(input));
        }
        putUnlessEmpty(document, "inputs", inputs);
        List<Object> outputs = new ArrayList<>();
        for (Fields output : some(body, "outputs")) {
            outputs.add(output(output));
        }
        putUnlessEmpty(document, "outputs", outputs);
        Map<String, Object> parameters = new LinkedHashMap<>();
        if (body.has("resources")) {
            document.put("resources", resources(body.fields("resources"), parameters));
        }
        List<Object> executors = new ArrayList<>();
        for (Fields executor : some(body, "executors")) {
            executors.add(executor(executor));
        }
        if (executors.isEmpty()) {
            throw new Malformed("executors is missing or empty");
        }
        document.put("executors", executors);
        if (body.has("volumes")) {
            document.put("volumes", body.textsOrNull("volumes"));
        }
        if (body.has("tags")) {
            document.put("tags", strings(body.fields("tags"), "tags"));
        }
        return new Task(document, parameters);
    }

    private static List<Fields> some(Fields body, String key) throws Malformed {
        List<Fields> all = body.list(key);
        if (all.size() > MOST_ITEMS) {
            throw new Malformed(key + " holds more than " + MOST_ITEMS);
        }
        return all;
    }

    private static void putUnlessEmpty(
            Map<String, Object> document, String key, List<Object> items) {
        if (!items.isEmpty()) {
            document.put(key, items);
        }
    }

    private static Map<String, Object> input(Fields input) throws Malformed {
        Map<String, Object> map = new LinkedHashMap<>();
        texts(input, map, "name", "description", "url");
        map.put("path", absolute(input, "path"));
        type(input, map);
        texts(input, map, "content");
        if (!map.containsKey("url") && !map.containsKey("content")) {
            throw new Malformed("an input has neither url nor content");
        }
        if (input.has("streamable")) {
            map.put("streamable", input.flag("streamable"));
        }
        return map;
    }

    private static Map<String, Object> output(Fields output) throws Malformed {
        Map<String, Object> map = new LinkedHashMap<>();
        texts(output, map, "name", "description");
        map.put("url", output.text("url"));
        map.put("path", absolute(output, "path"));
        texts(output, map, "path_prefix");
        type(output, map);
        return map;
    }

    private static Map<String, Object> executor(Fields executor) throws Malformed {
        Map<String, Object> map = new LinkedHashMap<>();
        String image = executor.text("image");
        if (image.isEmpty() || image.length() > LONGEST_NAME) {
            throw new Malformed("image is empty or too long");
        }
        map.put("image", image);
        List<String> command = executor.textsOrNull("command");
        if (command == null || command.isEmpty()) {
            throw new Malformed("command is missing or empty");
        }
        map.put("command", command);
        texts(executor, map, "workdir", "stdin", "stdout", "stderr");
        if (executor.has("env")) {
            map.put("env", strings(executor.fields("env"), "env"));
        }
        if (executor.has("ignore_error")) {
            map.put("ignore_error", executor.flag("ignore_error"));
        }
        return map;
    }

    private static Map<String, Object> resources(Fields resources, Map<String, Object> parameters)
            throws Malformed {
        Map<String, Object> map = new LinkedHashMap<>();
        if (resources.has("cpu_cores")) {
            map.put("cpu_cores", resources.count("cpu_cores"));
        }
        if (resources.has("preemptible")) {
            map.put("preemptible", resources.flag("preemptible"));
        }
        for (String amount : List.of("ram_gb", "disk_gb")) {
            if (resources.has(amount)) {
                map.put(amount, resources.amount(amount));
            }
        }
        if (resources.has("zones")) {
            map.put("zones", resources.textsOrNull("zones"));
        }
        if (resources.has("backend_parameters")) {
            parameters.putAll(
                    strings(resources.fields("backend_parameters"), "backend_parameters"));
            map.put("backend_parameters", parameters);
        }
        if (resources.has("backend_parameters_strict")) {
            map.put("backend_parameters_strict", resources.flag("backend_parameters_strict"));
        }
        if (resources.flagOr("backend_parameters_strict", false)) {
            for (String key : parameters.keySet()) {
                if (!PARAMETERS.contains(key)) {
                    throw new Malformed("backend parameter " + key + " is not supported");
                }
            }
        }
        return map;
    }

    private static void texts(Fields from, Map<String, Object> to, String... keys)
            throws Malformed {
        for (String key : keys) {
            String text = from.textOrNull(key);
            if (text != null) {
                to.put(key, text);
            }
        }
    }

    private static void type(Fields from, Map<String, Object> to) throws Malformed {
        String type = from.textOrNull("type");
        if (type != null) {
            if (!FILE_TYPES.contains(type)) {
                throw new Malformed("type is neither FILE nor DIRECTORY");
            }
            to.put("type", type);
        }
    }

    private static String absolute(Fields from, String key) throws Malformed {
        String path = from.text(key);
        if (!path.startsWith("/")) {
            throw new Malformed(key + " is not an absolute path");
        }
        return path;
    }

    private static Map<String, Object> strings(Fields from, String what) throws Malformed {
        Map<String, Object> map = new LinkedHashMap<>();
        for (Map.Entry<String, Object> each : from.map().entrySet()) {
            if (!(each.getValue() instanceof String)) {
                throw new Malformed(what + " holds something other than text");
            }
            map.put(each.getKey(), each.getValue());
        }
        return map;
    }

    // ---- how a task runs ----

    /**
     * The job that runs a task: an array of one.
     *
     * @param zones of the deployment
     */
    static JobSpec job(JobId id, String team, Task task, List<String> zones) throws Malformed {
        Fields resources =
                new Fields(task.document()).has("resources")
                        ? new Fields(task.document()).fields("resources")
                        : new Fields(Map.of());
        Fields parameters = new Fields(task.parameters());
        String priority = text(parameters, "priority", "normal");
        if (!PRIORITIES.containsKey(priority)) {
            throw new Malformed("priority is none of critical, urgent, normal, idle");
        }
        String types = parameters.textOrNull("machine_types");
        String jobClass = text(parameters, "class", CLASS);
        if (jobClass.isEmpty() || jobClass.length() > LONGEST_NAME) {
            throw new Malformed("class is empty or too long");
        }
        double cpus = resources.has("cpu_cores") ? resources.count("cpu_cores") : CPUS;
        return new JobSpec(
                id,
                jobClass,
                team,
                JobKind.ARRAY,
                PRIORITIES.get(priority),
                1,
                Resources.of(
                        cpus,
                        number(parameters, "gpus", 0),
                        resources.amountOr("ram_gb", MEMORY_GB)),
                types == null ? null : List.of(types.split(",")),
                zone(resources.textsOrNull("zones"), zones),
                false,
                false,
                resources.flagOr("preemptible", false),
                image(task),
                number(parameters, "image_gb", IMAGE_GB),
                number(parameters, "expected_s", 0),
                number(parameters, "checkpoint_s", 0),
                number(parameters, "save_s", 0),
                number(parameters, "deadline_s", Double.NaN));
    }

    /** How often a task may be tried, 0 for as often as it takes. */
    static int mostAttempts(Task task) throws Malformed {
        double most = number(new Fields(task.parameters()), "max_attempts", 0);
        if (most != Math.rint(most) || most > Integer.MAX_VALUE) {
            throw new Malformed("max_attempts is not a whole number");
        }
        return (int) most;
    }

    /**
     * A machine fetches images one by one; the first executor's decides where the task starts
     * soonest.
     */
    @SuppressWarnings("unchecked")
    private static String image(Task task) {
        return (String)
                ((List<Map<String, Object>>) task.document().get("executors")).get(0).get("image");
    }

    /** A job is bound to one zone or to none, so a choice of some zones cannot be kept. */
    private static String zone(List<String> asked, List<String> all) throws Malformed {
        if (asked == null || asked.isEmpty() || asked.containsAll(all)) {
            return null;
        }
        if (asked.size() > 1) {
            throw new Malformed("zones names several but not all of " + all + "; name one or none");
        }
        return asked.get(0);
    }

    private static String text(Fields parameters, String key, String otherwise) throws Malformed {
        String text = parameters.textOrNull(key);
        return text == null ? otherwise : text;
    }

    private static double number(Fields parameters, String key, double otherwise) throws Malformed {
        String text = parameters.textOrNull(key);
        if (text == null) {
            return otherwise;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < 1e9) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // One message for every wrong number.
        }
        throw new Malformed("backend parameter " + key + " is not a number from 0 on");
    }
}
