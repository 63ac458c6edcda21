package org.meadowhollow.bookkeeping.calendar;

import java.util.List;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.Priority;
import org.meadowhollow.bookkeeping.Resources;

/**
 * Room that is kept for some jobs of a team.
 *
 * @param priority work of a lower one may be stopped for it
 * @param tasks how many tasks of the size it has room for
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param spot whether spot machines will do
 * @param image that the tasks are likely to need, and its size; decides how early machines are
 *     rented
 * @param jobClass of the jobs that may use it, or null for any class
 * @param jobs that may use it, or null for any of the team and class
 */
public record Reservation(
        String name,
        String team,
        Priority priority,
        int tasks,
        Resources perTask,
        List<String> types,
        String zone,
        boolean spot,
        String image,
        double imageGb,
        String jobClass,
        List<String> jobs,
        Schedule schedule) {

    /** Whether a job's tasks may use it. */
    public boolean serves(JobSpec spec) {
        return spec.team().equals(team)
                && (jobClass == null || jobClass.equals(spec.jobClass()))
                && (jobs == null || jobs.contains(spec.id().value()))
                && spec.perTask().fitsIn(perTask);
    }

    /**
     * Whether a job's tasks may be stopped for it: as the protocol has it, for a higher priority,
     * and no service.
     */
    public boolean mayStop(JobSpec spec) {
        return !serves(spec) && priority.above(spec.priority()) && spec.kind() != Kind.SERVICE;
    }

    public boolean allows(String type, String in) {
        return (types == null || types.contains(type)) && (zone == null || zone.equals(in));
    }

    /** A job that would need the room, for what looks for room by jobs. */
    public JobSpec asJob() {
        return new JobSpec(
                new JobId("reserved/" + name),
                jobClass == null ? "" : jobClass,
                team,
                Kind.ARRAY,
                priority,
                tasks,
                perTask,
                types,
                zone,
                false,
                false,
                spot,
                image,
                imageGb,
                0,
                0,
                0,
                Double.NaN);
    }
}
