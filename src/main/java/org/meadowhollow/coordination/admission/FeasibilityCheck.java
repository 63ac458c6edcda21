package org.meadowhollow.coordination.admission;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.Resources;

/**
 * Decides whether a job could ever be scheduled, given the quotas, the machine types and the zones,
 * regardless of the load. The reasons are shown to users. Stateless.
 */
final class FeasibilityCheck {
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;

    FeasibilityCheck(MachineTypeCatalog machineTypeCatalog, DeploymentSettings deploymentSettings) {
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
    }

    /** The reason why a job can never run; empty if it can run. */
    Optional<String> infeasibleReason(JobSpec spec) {
        DeploymentSettings.TeamQuota quota = deploymentSettings.teamQuotas().get(spec.team());
        if (quota == null) {
            return Optional.of("there is no team " + spec.team());
        }
        if (exceeds(concurrentDemand(spec), quota.limit())) {
            return Optional.of("the job needs more than the limit of team " + spec.team());
        }
        Set<String> zones = zonesThatFit(spec);
        if (zones.isEmpty()) {
            return Optional.of(
                    isUnknownZone(spec.requiredZone())
                            ? "there is no zone " + spec.requiredZone()
                            : "a task fits no machine type that the job allows");
        }
        return isGangTooLargeForOneZone(spec, zones)
                ? Optional.of(
                        "its tasks run together, may only be in one zone, and only half of them may be in one")
                : Optional.empty();
    }

    /**
     * The minimum resources that a job needs at one time; the tasks of an array need not run
     * together.
     */
    private static Resources concurrentDemand(JobSpec spec) {
        return spec.kind() == JobKind.ARRAY
                ? spec.resourcesPerTask()
                : spec.resourcesPerTask().times(spec.taskCount());
    }

    /** Whether a demand exceeds a limit, of which a value of zero means no limit. */
    private static boolean exceeds(Resources demand, Resources limit) {
        return (limit.cpu() > 0 && demand.cpu() > limit.cpu())
                || (limit.gpu() > 0 && demand.gpu() > limit.gpu());
    }

    private Set<String> zonesThatFit(JobSpec spec) {
        Set<String> zones = new HashSet<>();
        for (MachineType type : machineTypeCatalog.types()) {
            if (spec.allowsMachineType(type.name())
                    && spec.resourcesPerTask().fitsIn(type.capacity())) {
                type.zones().stream().filter(spec::allowsZone).forEach(zones::add);
            }
        }
        return zones;
    }

    private boolean isUnknownZone(String requiredZone) {
        return requiredZone != null && !deploymentSettings.zones().contains(requiredZone);
    }

    /**
     * Whether a gang must run in one zone but has more tasks than one zone may take. All tasks of a
     * gang run at the same time, and each zone takes only a share of them; the tasks of an array or
     * a service may run one share after the other.
     */
    private static boolean isGangTooLargeForOneZone(JobSpec spec, Set<String> zones) {
        boolean inOneZone = spec.requiresSingleZone() || zones.size() == 1;
        return spec.kind() == JobKind.GANG
                && inOneZone
                && spec.taskCount() > spec.maxTasksPerZone();
    }
}
