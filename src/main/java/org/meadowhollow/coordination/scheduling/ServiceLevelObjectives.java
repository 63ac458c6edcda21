package org.meadowhollow.coordination.scheduling;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;

/** What the objectives and the machine types mean for the jobs that have come so far. */
public final class ServiceLevelObjectives {
    /** A task without a machine that passes goes by room alone after this long (DESIGN's value). */
    static final Duration RISK_IGNORED_AFTER = Duration.ofSeconds(30);

    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final Set<String> typesWithLargeTasks = new HashSet<>();
    private double largestImageGb;

    public ServiceLevelObjectives(
            DeploymentSettings deploymentSettings, MachineTypeCatalog machineTypeCatalog) {
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
    }

    /** Notes the machine types that a job's tasks need most of, and the size of its image. */
    public void recordJob(JobSpec spec) {
        largestImageGb = Math.max(largestImageGb, spec.imageSizeGb());
        for (MachineType type : machineTypeCatalog.types()) {
            if (isLargeTask(spec, type)) {
                typesWithLargeTasks.add(type.name());
            }
        }
    }

    private static boolean fits(JobSpec spec, MachineType type) {
        return spec.allowsMachineType(type.name())
                && spec.resourcesPerTask().fitsIn(type.capacity());
    }

    private static boolean isLargeTask(JobSpec spec, MachineType type) {
        return fits(spec, type) && PlacementOrder.isLargeTask(spec, type.capacity());
    }

    /** Whether tasks that need most of such a machine are about. */
    boolean hasLargeTasksFor(MachineType type) {
        return typesWithLargeTasks.contains(type.name());
    }

    public double largestImageGb() {
        return largestImageGb;
    }

    /** How long a job can wait before only a running task's place can still serve it in time. */
    double waitBudgetSeconds(JobSpec spec, boolean guaranteed) {
        double withinS = Double.MAX_VALUE;
        for (DeploymentSettings.ServiceLevelTarget serviceLevelTarget :
                deploymentSettings.serviceLevelTargets()) {
            if (serviceLevelTarget.kind().equals("wait")
                            && spec.jobClass().equals(serviceLevelTarget.jobClass())
                    || serviceLevelTarget.kind().equals("guarantee") && guaranteed) {
                withinS = Math.min(withinS, serviceLevelTarget.thresholdSeconds());
            }
        }
        return withinS == Double.MAX_VALUE
                ? RISK_IGNORED_AFTER.toSeconds()
                : withinS - startupDelaySeconds(spec);
    }

    /** How long a new machine takes at best until it can run one of the job's tasks. */
    public double startupDelaySeconds(JobSpec spec) {
        double readyS = Double.MAX_VALUE;
        for (MachineType type : machineTypeCatalog.types()) {
            if (fits(spec, type)) {
                readyS =
                        Math.min(
                                readyS,
                                type.bootSeconds()
                                        + spec.imageSizeGb() / type.imagePullGbPerSecond());
            }
        }
        return readyS;
    }

    /** Whether a job needs machines of its own and could not be started in time on new ones. */
    public boolean needsSpareMachines(JobSpec spec) {
        boolean large = false;
        for (MachineType type : machineTypeCatalog.types()) {
            large |= isLargeTask(spec, type);
        }
        return large && spec.kind() != JobKind.SERVICE && waitBudgetSeconds(spec, false) < 0;
    }
}
