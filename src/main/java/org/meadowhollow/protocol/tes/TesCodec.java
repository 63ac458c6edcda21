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
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/**
 * Validates a task of the GA4GH task execution API (TES 1.1) and converts it into a job. The stored
 * document holds only the fields that the API defines. Stateless.
 */
final class TesCodec {
    /** The supported backend parameters; {@code docs/tes.md} describes them. */
    static final List<String> SUPPORTED_PARAMETERS =
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
     * The job class of a task that does not specify one. Service level objectives can be set for
     * this class by its name.
     */
    private static final String DEFAULT_JOB_CLASS = "tes";

    private static final int MAX_ITEMS = 1000;
    private static final int MAX_NAME_LENGTH = 200;

    /**
     * The assumed size in GB of an image whose size the client does not give; affects placement
     * only.
     */
    private static final double DEFAULT_IMAGE_GB = 2;

    private static final double DEFAULT_CPUS = 1;
    private static final double DEFAULT_MEMORY_GB = 2;
    private static final Set<String> FILE_TYPES = Set.of("FILE", "DIRECTORY");
    private static final Map<String, Priority> PRIORITY_BY_NAME =
            Map.of(
                    "critical",
                    Priority.PRODUCTION,
                    "urgent",
                    Priority.HIGH,
                    "normal",
                    Priority.NORMAL,
                    "idle",
                    Priority.LOW);

    /** A validated task: the document to store, and its backend parameters. */
    record TaskRequest(Map<String, Object> document, Map<String, Object> parameters) {
        String name() {
            return (String) document.get("name");
        }

        @SuppressWarnings("unchecked")
        Map<String, Object> tags() {
            return (Map<String, Object>) document.getOrDefault("tags", Map.of());
        }
    }

    private TesCodec() {}

    /** Validates a task to be created; fields that the API does not define are dropped. */
    static TaskRequest decode(MessageReader body) throws MalformedMessageException {
        Map<String, Object> document = new LinkedHashMap<>();
        copyStrings(body, document, "name", "description");
        List<Object> inputs = new ArrayList<>();
        for (MessageReader input : boundedList(body, "inputs")) {
            inputs.add(checkInput(input));
        }
        putUnlessEmpty(document, "inputs", inputs);
        List<Object> outputs = new ArrayList<>();
        for (MessageReader output : boundedList(body, "outputs")) {
            outputs.add(checkOutput(output));
        }
        putUnlessEmpty(document, "outputs", outputs);
        Map<String, Object> parameters = new LinkedHashMap<>();
        if (body.has("resources")) {
            document.put("resources", checkResources(body.nested("resources"), parameters));
        }
        List<Object> executors = new ArrayList<>();
        for (MessageReader executor : boundedList(body, "executors")) {
            executors.add(checkExecutor(executor));
        }
        if (executors.isEmpty()) {
            throw new MalformedMessageException("executors is missing or empty");
        }
        document.put("executors", executors);
        if (body.has("volumes")) {
            document.put("volumes", body.stringListOrNull("volumes"));
        }
        if (body.has("tags")) {
            document.put("tags", requireStringMap(body.nested("tags"), "tags"));
        }
        return new TaskRequest(document, parameters);
    }

    private static List<MessageReader> boundedList(MessageReader body, String key)
            throws MalformedMessageException {
        List<MessageReader> items = body.nestedList(key);
        if (items.size() > MAX_ITEMS) {
            throw new MalformedMessageException(key + " holds more than " + MAX_ITEMS);
        }
        return items;
    }

    private static void putUnlessEmpty(
            Map<String, Object> document, String key, List<Object> items) {
        if (!items.isEmpty()) {
            document.put(key, items);
        }
    }

    private static Map<String, Object> checkInput(MessageReader input)
            throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        copyStrings(input, map, "name", "description", "url");
        map.put("path", requireAbsolutePath(input, "path"));
        copyFileType(input, map);
        copyStrings(input, map, "content");
        if (!map.containsKey("url") && !map.containsKey("content")) {
            throw new MalformedMessageException("an input has neither url nor content");
        }
        if (input.has("streamable")) {
            map.put("streamable", input.booleanValue("streamable"));
        }
        return map;
    }

    private static Map<String, Object> checkOutput(MessageReader output)
            throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        copyStrings(output, map, "name", "description");
        map.put("url", output.string("url"));
        map.put("path", requireAbsolutePath(output, "path"));
        copyStrings(output, map, "path_prefix");
        copyFileType(output, map);
        return map;
    }

    private static Map<String, Object> checkExecutor(MessageReader executor)
            throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        String image = executor.string("image");
        if (image.isEmpty() || image.length() > MAX_NAME_LENGTH) {
            throw new MalformedMessageException("image is empty or too long");
        }
        map.put("image", image);
        List<String> command = executor.stringListOrNull("command");
        if (command == null || command.isEmpty()) {
            throw new MalformedMessageException("command is missing or empty");
        }
        map.put("command", command);
        copyStrings(executor, map, "workdir", "stdin", "stdout", "stderr");
        if (executor.has("env")) {
            map.put("env", requireStringMap(executor.nested("env"), "env"));
        }
        if (executor.has("ignore_error")) {
            map.put("ignore_error", executor.booleanValue("ignore_error"));
        }
        return map;
    }

    private static Map<String, Object> checkResources(
            MessageReader resources, Map<String, Object> parameters)
            throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        if (resources.has("cpu_cores")) {
            map.put("cpu_cores", resources.nonNegativeLong("cpu_cores"));
        }
        if (resources.has("preemptible")) {
            map.put("preemptible", resources.booleanValue("preemptible"));
        }
        for (String amount : List.of("ram_gb", "disk_gb")) {
            if (resources.has(amount)) {
                map.put(amount, resources.nonNegativeDouble(amount));
            }
        }
        if (resources.has("zones")) {
            map.put("zones", resources.stringListOrNull("zones"));
        }
        if (resources.has("backend_parameters")) {
            parameters.putAll(
                    requireStringMap(resources.nested("backend_parameters"), "backend_parameters"));
            map.put("backend_parameters", parameters);
        }
        if (resources.has("backend_parameters_strict")) {
            map.put(
                    "backend_parameters_strict",
                    resources.booleanValue("backend_parameters_strict"));
        }
        if (resources.booleanOr("backend_parameters_strict", false)) {
            for (String key : parameters.keySet()) {
                if (!SUPPORTED_PARAMETERS.contains(key)) {
                    throw new MalformedMessageException(
                            "backend parameter " + key + " is not supported");
                }
            }
        }
        return map;
    }

    private static void copyStrings(MessageReader from, Map<String, Object> to, String... keys)
            throws MalformedMessageException {
        for (String key : keys) {
            String text = from.stringOrNull(key);
            if (text != null) {
                to.put(key, text);
            }
        }
    }

    private static void copyFileType(MessageReader from, Map<String, Object> to)
            throws MalformedMessageException {
        String type = from.stringOrNull("type");
        if (type != null) {
            if (!FILE_TYPES.contains(type)) {
                throw new MalformedMessageException("type is neither FILE nor DIRECTORY");
            }
            to.put("type", type);
        }
    }

    private static String requireAbsolutePath(MessageReader from, String key)
            throws MalformedMessageException {
        String path = from.string(key);
        if (!path.startsWith("/")) {
            throw new MalformedMessageException(key + " is not an absolute path");
        }
        return path;
    }

    private static Map<String, Object> requireStringMap(MessageReader from, String fieldName)
            throws MalformedMessageException {
        Map<String, Object> map = new LinkedHashMap<>();
        for (Map.Entry<String, Object> entry : from.map().entrySet()) {
            if (!(entry.getValue() instanceof String)) {
                throw new MalformedMessageException(fieldName + " holds something other than text");
            }
            map.put(entry.getKey(), entry.getValue());
        }
        return map;
    }

    // ---- the job of a task ----

    /**
     * Converts a task into the job that runs it: an array job with one task.
     *
     * @param zones the zones of the deployment
     */
    static JobSpec toJobSpec(JobId id, String team, TaskRequest taskRequest, List<String> zones)
            throws MalformedMessageException {
        MessageReader resources =
                new MessageReader(taskRequest.document()).has("resources")
                        ? new MessageReader(taskRequest.document()).nested("resources")
                        : new MessageReader(Map.of());
        MessageReader parameters = new MessageReader(taskRequest.parameters());
        String priority = stringParameter(parameters, "priority", "normal");
        if (!PRIORITY_BY_NAME.containsKey(priority)) {
            throw new MalformedMessageException(
                    "priority is none of critical, urgent, normal, idle");
        }
        String types = parameters.stringOrNull("machine_types");
        String jobClass = requireJobClass(parameters);
        double cpus =
                resources.has("cpu_cores") ? resources.nonNegativeLong("cpu_cores") : DEFAULT_CPUS;
        return new JobSpec(
                id,
                jobClass,
                team,
                JobKind.ARRAY,
                PRIORITY_BY_NAME.get(priority),
                1,
                Resources.of(
                        cpus,
                        numberParameter(parameters, "gpus", 0),
                        resources.nonNegativeDoubleOr("ram_gb", DEFAULT_MEMORY_GB)),
                types == null ? null : List.of(types.split(",")),
                singleZoneOrNull(resources.stringListOrNull("zones"), zones),
                false,
                false,
                resources.booleanOr("preemptible", false),
                firstExecutorImage(taskRequest),
                numberParameter(parameters, "image_gb", DEFAULT_IMAGE_GB),
                numberParameter(parameters, "expected_s", 0),
                numberParameter(parameters, "checkpoint_s", 0),
                numberParameter(parameters, "save_s", 0),
                numberParameter(parameters, "deadline_s", Double.NaN));
    }

    /** Returns the largest number of attempts of a task; 0 means that there is no limit. */
    static int maxAttempts(TaskRequest taskRequest) throws MalformedMessageException {
        double attempts =
                numberParameter(new MessageReader(taskRequest.parameters()), "max_attempts", 0);
        if (attempts != Math.rint(attempts) || attempts > Integer.MAX_VALUE) {
            throw new MalformedMessageException("max_attempts is not a whole number");
        }
        return (int) attempts;
    }

    /**
     * Returns the image of the first executor. A machine pulls images one by one, so this image
     * determines on which machine the task starts soonest.
     */
    @SuppressWarnings("unchecked")
    private static String firstExecutorImage(TaskRequest taskRequest) {
        return (String)
                ((List<Map<String, Object>>) taskRequest.document().get("executors"))
                        .get(0)
                        .get("image");
    }

    private static String requireJobClass(MessageReader parameters)
            throws MalformedMessageException {
        String jobClass = stringParameter(parameters, "class", DEFAULT_JOB_CLASS);
        if (jobClass.isEmpty() || jobClass.length() > MAX_NAME_LENGTH) {
            throw new MalformedMessageException("class is empty or too long");
        }
        return jobClass;
    }

    /**
     * Returns the requested zone, or null if any zone is allowed. A job is bound to one zone or to
     * none, so a request for some of the zones is rejected.
     */
    private static String singleZoneOrNull(List<String> requestedZones, List<String> allZones)
            throws MalformedMessageException {
        if (requestedZones == null
                || requestedZones.isEmpty()
                || requestedZones.containsAll(allZones)) {
            return null;
        }
        if (requestedZones.size() > 1) {
            throw new MalformedMessageException(
                    "zones names several but not all of " + allZones + "; name one or none");
        }
        return requestedZones.get(0);
    }

    private static String stringParameter(MessageReader parameters, String key, String defaultValue)
            throws MalformedMessageException {
        String text = parameters.stringOrNull(key);
        return text == null ? defaultValue : text;
    }

    private static double numberParameter(MessageReader parameters, String key, double defaultValue)
            throws MalformedMessageException {
        String text = parameters.stringOrNull(key);
        if (text == null) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < 1e9) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // Rejected below with the same message as a number out of range.
        }
        throw new MalformedMessageException(
                "backend parameter " + key + " is not a number from 0 on");
    }
}
