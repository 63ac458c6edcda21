package org.meadowhollow.protocol.users;

import java.util.List;
import java.util.Map;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Malformed;

/** A submission between its wire names and a {@link JobSpec}. */
public final class SubmissionCodec {
    private static final int MOST_TASKS = 100_000;
    private static final int LONGEST_NAME = 200;

    private SubmissionCodec() {}

    /**
     * Reads a submission. Only {@code breeds}, {@code field} and {@code dueS} may be null, and so
     * may be left out.
     *
     * @throws Malformed if a field is missing, of another type or out of its range
     */
    public static JobSpec decode(Fields body) throws Malformed {
        String ref = body.text("ref");
        if (!JobId.isWellFormed(ref)) {
            throw new Malformed("ref is not a job id");
        }
        long tasks = body.count("chores");
        if (tasks < 1 || tasks > MOST_TASKS) {
            throw new Malformed("chores is not from 1 to " + MOST_TASKS);
        }
        Resources perTask =
                Resources.of(body.amount("cores"), body.amount("gpus"), body.amount("memGb"));
        List<String> types = body.textsOrNull("breeds");
        return new JobSpec(
                new JobId(ref),
                name(body, "herd"),
                name(body, "crew"),
                kind(body.text("shape")),
                priority(body.text("urgency")),
                (int) tasks,
                perTask,
                types == null ? null : List.copyOf(types),
                body.textOrNull("field"),
                body.flag("together"),
                body.flag("spread"),
                body.flag("loaners"),
                name(body, "bundle"),
                body.amount("pullGb"),
                body.amount("expectedS"),
                body.amount("bookmarkS"),
                body.amount("stashS"),
                body.amountOr("dueS", Double.NaN));
    }

    public static Map<String, Object> encode(JobSpec spec) {
        return Fields.of(
                "ref",
                spec.id().value(),
                "herd",
                spec.jobClass(),
                "crew",
                spec.team(),
                "shape",
                kindName(spec.kind()),
                "urgency",
                priorityName(spec.priority()),
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

    private static String name(Fields body, String key) throws Malformed {
        String name = body.text(key);
        if (name.isEmpty() || name.length() > LONGEST_NAME) {
            throw new Malformed(key + " is empty or too long");
        }
        return name;
    }

    private static JobKind kind(String text) throws Malformed {
        return switch (text) {
            case "array" -> JobKind.ARRAY;
            case "ensemble" -> JobKind.GANG;
            case "standing" -> JobKind.SERVICE;
            default -> throw new Malformed("shape is none of array, ensemble, standing");
        };
    }

    private static String kindName(JobKind kind) {
        return switch (kind) {
            case ARRAY -> "array";
            case GANG -> "ensemble";
            case SERVICE -> "standing";
        };
    }

    private static Priority priority(String text) throws Malformed {
        return switch (text) {
            case "critical" -> Priority.PRODUCTION;
            case "urgent" -> Priority.HIGH;
            case "normal" -> Priority.NORMAL;
            case "idle" -> Priority.LOW;
            default -> throw new Malformed("urgency is none of critical, urgent, normal, idle");
        };
    }

    private static String priorityName(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "critical";
            case HIGH -> "urgent";
            case NORMAL -> "normal";
            case LOW -> "idle";
        };
    }
}
