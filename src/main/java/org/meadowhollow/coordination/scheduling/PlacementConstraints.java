package org.meadowhollow.coordination.scheduling;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import org.meadowhollow.model.JobSpec;

/** The hard constraints of a placement: a machine that violates one cannot take the task at all. */
final class PlacementConstraints {
    private PlacementConstraints() {}

    /**
     * Whether one more task of a job may be assigned to a machine.
     *
     * @param tasksByZone the number of tasks of the job that may be running in each zone already
     */
    static boolean areSatisfied(
            JobSpec spec, Object2IntMap<String> tasksByZone, MachineCandidate candidate) {
        return fits(spec, candidate)
                && !candidate.isHeldForOtherJob(spec)
                && candidate.isAllowedByReservations(spec)
                && allowsZoneSpread(spec, tasksByZone, candidate.zone())
                && allowsSingleZone(spec, tasksByZone, candidate.zone());
    }

    private static boolean fits(JobSpec spec, MachineCandidate candidate) {
        MachineCandidate.Profile profile = candidate.profile();
        return candidate.fits(spec)
                && spec.allowsMachineType(profile.machineType())
                && spec.allowsZone(profile.zone())
                && (!profile.spot() || spec.allowsSpot());
    }

    private static boolean allowsZoneSpread(
            JobSpec spec, Object2IntMap<String> tasksByZone, String zone) {
        return !spec.spreadsAcrossZones() || tasksByZone.getInt(zone) < spec.maxTasksPerZone();
    }

    /** Whether a job that must stay in one zone certainly has no task in another zone. */
    private static boolean allowsSingleZone(
            JobSpec spec, Object2IntMap<String> tasksByZone, String zone) {
        if (!spec.requiresSingleZone()) {
            return true;
        }
        for (Object2IntMap.Entry<String> entry : tasksByZone.object2IntEntrySet()) {
            if (entry.getIntValue() > 0 && !entry.getKey().equals(zone)) {
                return false;
            }
        }
        return true;
    }
}
