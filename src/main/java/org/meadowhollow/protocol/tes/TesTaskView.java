package org.meadowhollow.protocol.tes;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.AttemptRecord;
import org.meadowhollow.model.JobPhase;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/**
 * The views of the task execution API, which determine how much of a task a response contains. The
 * constants have the names that the API defines.
 */
enum TesTaskView {
    /** The id and the state. */
    MINIMAL,
    /** All fields except the contents of inputs and the system logs. */
    BASIC,
    /** All fields. */
    FULL;

    /** The stored end reason of an attempt that completed its task. */
    private static final String COMPLETED_END_REASON = "DONE";

    /** The task states that the API defines. UNKNOWN and PAUSED are never used here. */
    static final List<String> STATES =
            List.of(
                    "UNKNOWN",
                    "QUEUED",
                    "INITIALIZING",
                    "RUNNING",
                    "PAUSED",
                    "COMPLETE",
                    "EXECUTOR_ERROR",
                    "SYSTEM_ERROR",
                    "CANCELED",
                    "PREEMPTED",
                    "CANCELING");

    static TesTaskView fromQuery(Map<String, List<String>> query) throws MalformedMessageException {
        String name = query.getOrDefault("view", List.of("MINIMAL")).get(0);
        for (TesTaskView view : values()) {
            if (view.name().equals(name)) {
                return view;
            }
        }
        throw new MalformedMessageException("view is none of MINIMAL, BASIC, FULL");
    }

    /**
     * Renders a task in this view.
     *
     * @param entry the task's entry in the list of tasks, which holds its state and attempts
     */
    Map<String, Object> render(String id, StoredTask storedTask, Map<String, Object> entry) {
        return this == MINIMAL ? minimal(entry) : detailed(id, storedTask, entry);
    }

    /** Returns the API's name for the state of a task in a phase. */
    static String stateName(JobPhase jobPhase) {
        return switch (jobPhase) {
            case QUEUED -> "QUEUED";
            case PREPARING -> "INITIALIZING";
            case RUNNING -> "RUNNING";
            case CANCELING -> "CANCELING";
            case DONE -> "COMPLETE";
            case CANCELLED -> "CANCELED";
            case FAILED -> "EXECUTOR_ERROR";
            case LOST -> "SYSTEM_ERROR";
            case PREEMPTED -> "PREEMPTED";
        };
    }

    /** Renders the minimal view, which needs only the task's list entry. */
    static Map<String, Object> minimal(Map<String, Object> entry) {
        return MessageReader.mapOf(
                "id", entry.get("id"), "state", stateName(SecondaryRecord.phaseOf(entry)));
    }

    private Map<String, Object> detailed(
            String id, StoredTask storedTask, Map<String, Object> entry) {
        Map<String, Object> task =
                MessageReader.mapOf("id", id, "state", stateName(SecondaryRecord.phaseOf(entry)));
        storedTask
                .document()
                .forEach(
                        (key, value) ->
                                task.put(
                                        key,
                                        key.equals("inputs") && this == BASIC
                                                ? withoutInlineContent(value)
                                                : value));
        task.put("creation_time", formatTime(storedTask.createdMillis()));
        List<Object> logs = new ArrayList<>();
        for (AttemptRecord attempt : SecondaryRecord.attemptsOf(entry)) {
            logs.add(attemptLog(attempt));
        }
        task.put("logs", logs);
        return task;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> withoutInlineContent(Object inputs) {
        List<Object> stripped = new ArrayList<>();
        for (Object input : (List<?>) inputs) {
            Map<String, Object> copy = new LinkedHashMap<>((Map<String, Object>) input);
            copy.remove("content");
            stripped.add(copy);
        }
        return stripped;
    }

    private Map<String, Object> attemptLog(AttemptRecord attempt) {
        boolean completed = isCompleted(attempt);
        Map<String, Object> log =
                MessageReader.mapOf(
                        "logs",
                        completed ? List.of(MessageReader.mapOf("exit_code", 0)) : List.of(),
                        "metadata",
                        MessageReader.mapOf(
                                "attempt",
                                String.valueOf(attempt.attemptNumber()),
                                "machine",
                                attempt.machineName(),
                                "cause",
                                attempt.endReason() == null ? "" : attempt.endReason()),
                        "outputs",
                        List.of());
        if (attempt.startedAtMillis() > 0) {
            log.put("start_time", formatTime(attempt.startedAtMillis()));
        }
        if (attempt.endedAtMillis() > 0) {
            log.put("end_time", formatTime(attempt.endedAtMillis()));
        }
        if (this == FULL) {
            log.put("system_logs", systemLogs(attempt));
        }
        return log;
    }

    private static List<Object> systemLogs(AttemptRecord attempt) {
        List<Object> lines = new ArrayList<>();
        lines.add(
                "placed on "
                        + attempt.machineName()
                        + " at "
                        + formatTime(attempt.placedAtMillis()));
        if (attempt.endReason() != null && !isCompleted(attempt)) {
            lines.add("ended: " + attempt.endReason());
        }
        return lines;
    }

    private static boolean isCompleted(AttemptRecord attempt) {
        return COMPLETED_END_REASON.equals(attempt.endReason());
    }

    private static String formatTime(long millis) {
        return Instant.ofEpochMilli(millis).toString();
    }
}
