package org.meadowhollow.coordination.scheduling;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;

/**
 * What the service-level objectives and the machine types mean for the jobs recorded so far: how
 * long a job can wait, and which machines its tasks need most of. Not thread-safe: guarded by the
 * leader's lock.
 */
public final class ServiceLevelObjectives {
    /** After this long a pending task is placed by room alone (the design's starting value). */
    static final Duration RISK_IGNORED_AFTER = Duration.ofSeconds(30);

    /** Words of the settings: an objective on the wait of a class of jobs. */
    private static final String WAIT_TARGET = "wait";

    /** Words of the settings: an objective on the wait of jobs within the guaranteed quota. */
    private static final String GUARANTEE_TARGET = "guarantee";

    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final Set<String> typesWithLargeTasks = new HashSet<>();
    private double largestImageGb;

    /** Creates the objectives of a leadership that has recorded no job yet. */
    public ServiceLevelObjectives(
            DeploymentSettings deploymentSettings, MachineTypeCatalog machineTypeCatalog) {
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
    }

    /** Records the machine types that a job's tasks need most of, and the size of its image. */
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

    /** Whether a job was recorded whose tasks need most of such a machine. */
    boolean hasLargeTasksFor(MachineType type) {
        return typesWithLargeTasks.contains(type.name());
    }

    /** The size of the largest image of a recorded job, in GB; 0 if there is none. */
    public double largestImageGb() {
        return largestImageGb;
    }

    /**
     * How long a job can wait, in seconds, before only the place of a running task can still serve
     * it in time; negative if a new machine is always too late.
     *
     * @param guaranteed whether the job is within the guaranteed quota of its team
     */
    double waitBudgetSeconds(JobSpec spec, boolean guaranteed) {
        double strictest = Double.MAX_VALUE;
        for (DeploymentSettings.ServiceLevelTarget target :
                deploymentSettings.serviceLevelTargets()) {
            if (appliesTo(target, spec, guaranteed)) {
                strictest = Math.min(strictest, target.thresholdSeconds());
            }
        }
        return strictest == Double.MAX_VALUE
                ? RISK_IGNORED_AFTER.toSeconds()
                : strictest - startupDelaySeconds(spec);
    }

    private static boolean appliesTo(
            DeploymentSettings.ServiceLevelTarget target, JobSpec spec, boolean guaranteed) {
        boolean onItsClass =
                target.kind().equals(WAIT_TARGET) && spec.jobClass().equals(target.jobClass());
        return onItsClass || (target.kind().equals(GUARANTEE_TARGET) && guaranteed);
    }

    /**
     * How long a new machine takes at best until it can run one of the job's tasks, in seconds;
     * {@link Double#MAX_VALUE} if no machine type fits.
     */
    public double startupDelaySeconds(JobSpec spec) {
        double shortest = Double.MAX_VALUE;
        for (MachineType type : machineTypeCatalog.types()) {
            if (fits(spec, type)) {
                double pullSeconds = spec.imageSizeGb() / type.imagePullGbPerSecond();
                shortest = Math.min(shortest, type.bootSeconds() + pullSeconds);
            }
        }
        return shortest;
    }

    /** Whether a job needs most of a machine and could not be started in time on a new one. */
    public boolean needsSpareMachines(JobSpec spec) {
        boolean large = false;
        for (MachineType type : machineTypeCatalog.types()) {
            large |= isLargeTask(spec, type);
        }
        return large && spec.kind() != JobKind.SERVICE && waitBudgetSeconds(spec, false) < 0;
    }
}
