package org.meadowhollow.model.reservation;

import java.util.List;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * A reservation of capacity for jobs of a team.
 *
 * @param priority the priority of the reservation; tasks of a lower priority may be preempted for
 *     it
 * @param taskCount the number of tasks for which capacity is reserved
 * @param resourcesPerTask the reserved capacity per task; larger tasks may not use the reservation
 * @param allowedMachineTypes the names of the allowed machine types, or null for any
 * @param requiredZone the only allowed zone, or null for any
 * @param allowsSpot whether spot instances may be used
 * @param image the container image that the tasks are likely to need; the image and its size
 *     determine how early machines are rented
 * @param imageSizeGb the size of the image in gigabytes
 * @param jobClass the class of the jobs that may use the reservation, or null for any class
 * @param allowedJobs the identifiers of the jobs that may use the reservation, or null for any job
 *     of the team and class
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

    /** Whether a job's tasks may use the reserved capacity. */
    public boolean admits(JobSpec spec) {
        return spec.team().equals(team)
                && (jobClass == null || jobClass.equals(spec.jobClass()))
                && (allowedJobs == null || allowedJobs.contains(spec.id().value()))
                && spec.resourcesPerTask().fitsIn(resourcesPerTask);
    }

    /**
     * Whether a job's tasks may be preempted for the reservation: as the protocol requires, only
     * tasks of a lower priority, and none of a service.
     */
    public boolean mayPreempt(JobSpec spec) {
        return !admits(spec)
                && priority.isHigherThan(spec.priority())
                && spec.kind() != JobKind.SERVICE;
    }

    /** Whether the reservation may use machines of a type in a zone. */
    public boolean allowsMachine(String type, String zone) {
        return (allowedMachineTypes == null || allowedMachineTypes.contains(type))
                && (requiredZone == null || requiredZone.equals(zone));
    }

    /**
     * Creates the specification of a job that needs the reserved capacity, for code that finds
     * capacity for jobs.
     */
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
