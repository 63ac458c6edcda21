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

/**
 * Converts submissions between their fields on the wire and {@link JobSpec}. No other class knows
 * the field names and values of a submission. Stateless.
 */
public final class SubmissionCodec {
    private static final String JOB_ID = "ref";
    private static final String TASK_COUNT = "chores";
    private static final String CPUS = "cores";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "memGb";
    private static final String MACHINE_TYPES = "breeds";
    private static final String JOB_CLASS = "herd";
    private static final String TEAM = "crew";
    private static final String KIND = "shape";
    private static final String PRIORITY = "urgency";
    private static final String ZONE = "field";
    private static final String REQUIRES_SINGLE_ZONE = "together";
    private static final String SPREADS_ACROSS_ZONES = "spread";
    private static final String ALLOWS_SPOT = "loaners";
    private static final String IMAGE = "bundle";
    private static final String IMAGE_GB = "pullGb";
    private static final String ESTIMATED_RUNTIME_SECONDS = "expectedS";
    private static final String CHECKPOINT_INTERVAL_SECONDS = "bookmarkS";
    private static final String CHECKPOINT_DURATION_SECONDS = "stashS";
    private static final String DEADLINE_SECONDS = "dueS";

    private static final String KIND_ARRAY = "array";
    private static final String KIND_GANG = "ensemble";
    private static final String KIND_SERVICE = "standing";

    private static final String PRIORITY_PRODUCTION = "critical";
    private static final String PRIORITY_HIGH = "urgent";
    private static final String PRIORITY_NORMAL = "normal";
    private static final String PRIORITY_LOW = "idle";

    private static final int MAX_TASKS = 100_000;

    private SubmissionCodec() {}

    /**
     * Decodes a submission. Only the machine types, the zone and the deadline may be null or
     * absent.
     *
     * @throws MalformedMessageException if a field is missing, has the wrong type or is out of
     *     range
     */
    public static JobSpec decode(MessageReader body) throws MalformedMessageException {
        String id = body.string(JOB_ID);
        if (!JobId.isWellFormed(id)) {
            throw new MalformedMessageException(JOB_ID + " is not a job id");
        }
        long tasks = body.nonNegativeLong(TASK_COUNT);
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new MalformedMessageException(TASK_COUNT + " is not from 1 to " + MAX_TASKS);
        }
        Resources perTask =
                Resources.of(
                        body.nonNegativeDouble(CPUS),
                        body.nonNegativeDouble(GPUS),
                        body.nonNegativeDouble(MEMORY_GB));
        List<String> types = body.stringListOrNull(MACHINE_TYPES);
        return new JobSpec(
                new JobId(id),
                requireValidName(body, JOB_CLASS),
                requireValidName(body, TEAM),
                decodeKind(body.string(KIND)),
                decodePriority(body.string(PRIORITY)),
                (int) tasks,
                perTask,
                types == null ? null : List.copyOf(types),
                body.stringOrNull(ZONE),
                body.booleanValue(REQUIRES_SINGLE_ZONE),
                body.booleanValue(SPREADS_ACROSS_ZONES),
                body.booleanValue(ALLOWS_SPOT),
                requireValidName(body, IMAGE),
                body.nonNegativeDouble(IMAGE_GB),
                body.nonNegativeDouble(ESTIMATED_RUNTIME_SECONDS),
                body.nonNegativeDouble(CHECKPOINT_INTERVAL_SECONDS),
                body.nonNegativeDouble(CHECKPOINT_DURATION_SECONDS),
                body.nonNegativeDoubleOr(DEADLINE_SECONDS, Double.NaN));
    }

    /** Encodes a job as the fields of a submission, as a client sends them. */
    public static Map<String, Object> encode(JobSpec spec) {
        Map<String, Object> fields =
                MessageReader.mapOf(
                        JOB_ID,
                        spec.id().value(),
                        JOB_CLASS,
                        spec.jobClass(),
                        TEAM,
                        spec.team(),
                        KIND,
                        encodeKind(spec.kind()),
                        PRIORITY,
                        encodePriority(spec.priority()),
                        TASK_COUNT,
                        (long) spec.taskCount());
        fields.putAll(encodeRequirements(spec));
        return fields;
    }

    private static Map<String, Object> encodeRequirements(JobSpec spec) {
        return MessageReader.mapOf(
                CPUS,
                spec.resourcesPerTask().cpu() / 1e6,
                GPUS,
                spec.resourcesPerTask().gpu() / 1e6,
                MEMORY_GB,
                spec.resourcesPerTask().memory() / 1e6,
                MACHINE_TYPES,
                spec.allowedMachineTypes(),
                ZONE,
                spec.requiredZone(),
                REQUIRES_SINGLE_ZONE,
                spec.requiresSingleZone(),
                SPREADS_ACROSS_ZONES,
                spec.spreadsAcrossZones(),
                ALLOWS_SPOT,
                spec.allowsSpot(),
                IMAGE,
                spec.image(),
                IMAGE_GB,
                spec.imageSizeGb(),
                ESTIMATED_RUNTIME_SECONDS,
                spec.estimatedRuntimeSeconds(),
                CHECKPOINT_INTERVAL_SECONDS,
                spec.checkpointIntervalSeconds(),
                CHECKPOINT_DURATION_SECONDS,
                spec.checkpointDurationSeconds(),
                DEADLINE_SECONDS,
                Double.isNaN(spec.deadlineSeconds()) ? null : spec.deadlineSeconds());
    }

    private static String requireValidName(MessageReader body, String key)
            throws MalformedMessageException {
        String name = body.string(key);
        if (name.isEmpty()) {
            throw new MalformedMessageException(key + " is empty");
        }
        return name;
    }

    private static JobKind decodeKind(String value) throws MalformedMessageException {
        return switch (value) {
            case KIND_ARRAY -> JobKind.ARRAY;
            case KIND_GANG -> JobKind.GANG;
            case KIND_SERVICE -> JobKind.SERVICE;
            default ->
                    throw new MalformedMessageException(
                            "shape is none of array, ensemble, standing");
        };
    }

    private static String encodeKind(JobKind kind) {
        return switch (kind) {
            case ARRAY -> KIND_ARRAY;
            case GANG -> KIND_GANG;
            case SERVICE -> KIND_SERVICE;
        };
    }

    private static Priority decodePriority(String value) throws MalformedMessageException {
        return switch (value) {
            case PRIORITY_PRODUCTION -> Priority.PRODUCTION;
            case PRIORITY_HIGH -> Priority.HIGH;
            case PRIORITY_NORMAL -> Priority.NORMAL;
            case PRIORITY_LOW -> Priority.LOW;
            default ->
                    throw new MalformedMessageException(
                            "urgency is none of critical, urgent, normal, idle");
        };
    }

    private static String encodePriority(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> PRIORITY_PRODUCTION;
            case HIGH -> PRIORITY_HIGH;
            case NORMAL -> PRIORITY_NORMAL;
            case LOW -> PRIORITY_LOW;
        };
    }
}
