package org.meadowhollow.simulation;

import java.util.List;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/** Derives a job specification from another one; values that are not set are copied from it. */
final class JobSpecBuilder {
    private final JobSpec base;
    private String jobClass;
    private String team;
    private Priority priority;
    private String image;
    private Resources resourcesPerTask;
    private List<String> machineTypes;
    private String zone;
    private boolean singleZone;
    private boolean spreadAcrossZones;
    private double estimatedRuntimeSeconds;
    private double checkpointIntervalSeconds;
    private double checkpointDurationSeconds;
    private double deadlineSeconds;

    private JobSpecBuilder(JobSpec base) {
        this.base = base;
        jobClass = base.jobClass();
        team = base.team();
        priority = base.priority();
        image = base.image();
        resourcesPerTask = base.resourcesPerTask();
        machineTypes = base.allowedMachineTypes();
        zone = base.requiredZone();
        singleZone = base.requiresSingleZone();
        spreadAcrossZones = base.spreadsAcrossZones();
        estimatedRuntimeSeconds = base.estimatedRuntimeSeconds();
        checkpointIntervalSeconds = base.checkpointIntervalSeconds();
        checkpointDurationSeconds = base.checkpointDurationSeconds();
        deadlineSeconds = base.deadlineSeconds();
    }

    static JobSpecBuilder from(JobSpec base) {
        return new JobSpecBuilder(base);
    }

    JobSpecBuilder jobClass(String name) {
        jobClass = name;
        return this;
    }

    JobSpecBuilder team(String name) {
        team = name;
        return this;
    }

    JobSpecBuilder image(String value) {
        image = value;
        return this;
    }

    JobSpecBuilder priority(Priority value) {
        priority = value;
        return this;
    }

    JobSpecBuilder resourcesPerTask(Resources resources) {
        resourcesPerTask = resources;
        return this;
    }

    /** Restricts the job to some machine types; null allows all. */
    JobSpecBuilder machineTypes(List<String> names) {
        machineTypes = names;
        return this;
    }

    /** Restricts the job to a zone; null allows all. */
    JobSpecBuilder zone(String name) {
        zone = name;
        return this;
    }

    /** Sets whether all tasks have to run in one zone, whichever it is. */
    JobSpecBuilder singleZone(boolean required) {
        singleZone = required;
        return this;
    }

    JobSpecBuilder spreadAcrossZones(boolean spread) {
        spreadAcrossZones = spread;
        return this;
    }

    JobSpecBuilder estimatedRuntimeSeconds(double seconds) {
        estimatedRuntimeSeconds = seconds;
        return this;
    }

    /** Sets the interval and the duration of checkpoints in seconds; 0 for none. */
    JobSpecBuilder checkpoints(double intervalSeconds, double durationSeconds) {
        checkpointIntervalSeconds = intervalSeconds;
        checkpointDurationSeconds = durationSeconds;
        return this;
    }

    /** Sets the deadline in seconds after the submission; NaN for none. */
    JobSpecBuilder deadlineSeconds(double seconds) {
        deadlineSeconds = seconds;
        return this;
    }

    JobSpec build() {
        return new JobSpec(
                base.id(),
                jobClass,
                team,
                base.kind(),
                priority,
                base.taskCount(),
                resourcesPerTask,
                machineTypes,
                zone,
                singleZone,
                spreadAcrossZones,
                base.allowsSpot(),
                image,
                base.imageSizeGb(),
                estimatedRuntimeSeconds,
                checkpointIntervalSeconds,
                checkpointDurationSeconds,
                deadlineSeconds);
    }
}
