package org.meadowhollow.model.reservation;

import java.util.List;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Room that is kept for some jobs of a team.
 *
 * @param priority work of a lower one may be stopped for it
 * @param taskCount how many tasks of the size it has room for
 * @param allowedMachineTypes allowed machine types, or null for any
 * @param requiredZone the only allowed zone, or null
 * @param allowsSpot whether spot machines will do
 * @param image that the tasks are likely to need, and its size; decides how early machines are
 *     rented
 * @param jobClass of the jobs that may use it, or null for any class
 * @param allowedJobs that may use it, or null for any of the team and class
 */
public record Reservation(
        String name,
        String team,
        Priority priority,
        int taskCount,
        Resources resourcesPerTask,
        List<String> allowedMachineTypes,
        String requiredZone,
        boolean allowsSpot,
        String image,
        double imageSizeGb,
        String jobClass,
        List<String> allowedJobs,
        RecurringSchedule schedule) {

    /** Whether a job's tasks may use it. */
    public boolean admits(JobSpec spec) {
        return spec.team().equals(team)
                && (jobClass == null || jobClass.equals(spec.jobClass()))
                && (allowedJobs == null || allowedJobs.contains(spec.id().value()))
                && spec.resourcesPerTask().fitsIn(resourcesPerTask);
    }

    /**
     * Whether a job's tasks may be stopped for it: as the protocol has it, for a higher priority,
     * and no service.
     */
    public boolean mayPreempt(JobSpec spec) {
        return !admits(spec)
                && priority.isHigherThan(spec.priority())
                && spec.kind() != JobKind.SERVICE;
    }

    public boolean allowsMachine(String type, String in) {
        return (allowedMachineTypes == null || allowedMachineTypes.contains(type))
                && (requiredZone == null || requiredZone.equals(in));
    }

    /** A job that would need the room, for what looks for room by jobs. */
    public JobSpec toPlaceholderJobSpec() {
        return new JobSpec(
                new JobId("reserved/" + name),
                jobClass == null ? "" : jobClass,
                team,
                JobKind.ARRAY,
                priority,
                taskCount,
                resourcesPerTask,
                allowedMachineTypes,
                requiredZone,
                false,
                false,
                allowsSpot,
                image,
                imageSizeGb,
                0,
                0,
                0,
                Double.NaN);
    }
}
