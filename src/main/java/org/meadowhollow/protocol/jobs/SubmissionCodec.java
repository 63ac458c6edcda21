package org.meadowhollow.protocol.jobs;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;

/** A submission between its wire names and a {@link JobSpec}. */
public final class SubmissionCodec {
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_NAME_LENGTH = 200;

    private SubmissionCodec() {}

    /**
     * Reads a submission. Only {@code breeds}, {@code field} and {@code dueS} may be null, and so
     * may be left out.
     *
     * @throws MalformedMessageException if a field is missing, of another type or out of its range
     */
    public static JobSpec decode(MessageReader body) throws MalformedMessageException {
        String ref = body.string("ref");
        if (!JobId.isWellFormed(ref)) {
            throw new MalformedMessageException("ref is not a job id");
        }
        long tasks = body.nonNegativeLong("chores");
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new MalformedMessageException("chores is not from 1 to " + MAX_TASKS);
        }
        Resources perTask =
                Resources.of(
                        body.nonNegativeDouble("cores"),
                        body.nonNegativeDouble("gpus"),
                        body.nonNegativeDouble("memGb"));
        List<String> types = body.stringListOrNull("breeds");
        return new JobSpec(
                new JobId(ref),
                requireValidName(body, "herd"),
                requireValidName(body, "crew"),
                decodeKind(body.string("shape")),
                decodePriority(body.string("urgency")),
                (int) tasks,
                perTask,
                types == null ? null : List.copyOf(types),
                body.stringOrNull("field"),
                body.booleanValue("together"),
                body.booleanValue("spread"),
                body.booleanValue("loaners"),
                requireValidName(body, "bundle"),
                body.nonNegativeDouble("pullGb"),
                body.nonNegativeDouble("expectedS"),
                body.nonNegativeDouble("bookmarkS"),
                body.nonNegativeDouble("stashS"),
                body.nonNegativeDoubleOr("dueS", Double.NaN));
    }

    public static Map<String, Object> encode(JobSpec spec) {
        return MessageReader.mapOf(
                "ref",
                spec.id().value(),
                "herd",
                spec.jobClass(),
                "crew",
                spec.team(),
                "shape",
                wireWordOfKind(spec.kind()),
                "urgency",
                wireWordOfPriority(spec.priority()),
                "chores",
                (long) spec.taskCount(),
                "cores",
                spec.resourcesPerTask().cpu() / 1e6,
                "gpus",
                spec.resourcesPerTask().gpu() / 1e6,
                "memGb",
                spec.resourcesPerTask().memory() / 1e6,
                "breeds",
                spec.allowedMachineTypes(),
                "field",
                spec.requiredZone(),
                "together",
                spec.requiresSingleZone(),
                "spread",
                spec.spreadsAcrossZones(),
                "loaners",
                spec.allowsSpot(),
                "bundle",
                spec.image(),
                "pullGb",
                spec.imageSizeGb(),
                "expectedS",
                spec.estimatedRuntimeSeconds(),
                "bookmarkS",
                spec.checkpointIntervalSeconds(),
                "stashS",
                spec.checkpointDurationSeconds(),
                "dueS",
                Double.isNaN(spec.deadlineSeconds()) ? null : spec.deadlineSeconds());
    }

    private static String requireValidName(MessageReader body, String key)
            throws MalformedMessageException {
        String name = body.string(key);
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
            throw new MalformedMessageException(key + " is empty or too long");
        }
        return name;
    }

    private static JobKind decodeKind(String text) throws MalformedMessageException {
        return switch (text) {
            case "array" -> JobKind.ARRAY;
            case "ensemble" -> JobKind.GANG;
            case "standing" -> JobKind.SERVICE;
            default ->
                    throw new MalformedMessageException(
                            "shape is none of array, ensemble, standing");
        };
    }

    private static String wireWordOfKind(JobKind kind) {
        return switch (kind) {
            case ARRAY -> "array";
            case GANG -> "ensemble";
            case SERVICE -> "standing";
        };
    }

    private static Priority decodePriority(String text) throws MalformedMessageException {
        return switch (text) {
            case "critical" -> Priority.PRODUCTION;
            case "urgent" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "idle" -> Priority.LOW;
            default ->
                    throw new MalformedMessageException(
                            "urgency is none of critical, urgent, normal, idle");
        };
    }

    private static String wireWordOfPriority(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "critical";
            case HIGH -> "urgent";
            case NORMAL -> "normal";
            case LOW -> "idle";
        };
    }
}
