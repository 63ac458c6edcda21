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
 * Derives from the service-level objectives and the machine types how long a job can wait, and of
 * which machine types the jobs recorded so far have large tasks. Not thread-safe: guarded by the
 * leader's lock.
 */
public final class ServiceLevelObjectives {
    /** A task that has been pending for longer is placed without regard to the predicted risk. */
    static final Duration RISK_IGNORED_AFTER = Duration.ofSeconds(30);

    /** Kind in the settings: an objective on the waiting time of a job class. */
    private static final String WAIT_TARGET_KIND = "wait";

    /** Kind in the settings: an objective on the waiting time within the guaranteed quota. */
    private static final String GUARANTEE_TARGET_KIND = "guarantee";

    private final DeploymentSettings deploymentSettings;
    private final MachineTypeCatalog machineTypeCatalog;
    private final Set<String> typesWithLargeTasks = new HashSet<>();
    private double largestImageGb;

    /** Creates the objectives for a new leadership, without any recorded job. */
    public ServiceLevelObjectives(
            DeploymentSettings deploymentSettings, MachineTypeCatalog machineTypeCatalog) {
        this.deploymentSettings = deploymentSettings;
        this.machineTypeCatalog = machineTypeCatalog;
    }

    /** Records the size of a job's image, and the machine types on which its tasks are large. */
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

    /** Whether a job was recorded whose tasks are large on machines of this type. */
    boolean hasLargeTasksFor(MachineType type) {
        return typesWithLargeTasks.contains(type.name());
    }

    /** The size of the largest image of a recorded job, in GB; 0 without recorded jobs. */
    public double largestImageGb() {
        return largestImageGb;
    }

    /**
     * Returns how many seconds a job can wait until a new machine would be too late for its
     * strictest objective, so that only preemption can still serve it in time; negative if a new
     * machine is always too late. A job without an objective can wait for {@link
     * #RISK_IGNORED_AFTER}.
     *
     * @param guaranteed whether the job is within the guaranteed quota of its team
     */
    double waitBudgetSeconds(JobSpec spec, boolean guaranteed) {
        double strictestThreshold = Double.MAX_VALUE;
        for (DeploymentSettings.ServiceLevelTarget target :
                deploymentSettings.serviceLevelTargets()) {
            if (appliesTo(target, spec, guaranteed)) {
                strictestThreshold = Math.min(strictestThreshold, target.thresholdSeconds());
            }
        }
        return strictestThreshold == Double.MAX_VALUE
                ? RISK_IGNORED_AFTER.toSeconds()
                : strictestThreshold - startupDelaySeconds(spec);
    }

    private static boolean appliesTo(
            DeploymentSettings.ServiceLevelTarget target, JobSpec spec, boolean guaranteed) {
        boolean matchesClass =
                target.kind().equals(WAIT_TARGET_KIND) && spec.jobClass().equals(target.jobClass());
        return matchesClass || (target.kind().equals(GUARANTEE_TARGET_KIND) && guaranteed);
    }

    /**
     * Returns the shortest time, in seconds, that a new machine takes to boot and pull the job's
     * image; {@link Double#MAX_VALUE} if no machine type fits.
     */
    public double startupDelaySeconds(JobSpec spec) {
        double shortestDelay = Double.MAX_VALUE;
        for (MachineType type : machineTypeCatalog.types()) {
            if (fits(spec, type)) {
                double pullSeconds = spec.imageSizeGb() / type.imagePullGbPerSecond();
                shortestDelay = Math.min(shortestDelay, type.bootSeconds() + pullSeconds);
            }
        }
        return shortestDelay;
    }

    /**
     * Whether the tasks of a job are large and could not be started in time on a new machine; never
     * for a service.
     */
    public boolean needsSpareMachines(JobSpec spec) {
        boolean large = false;
        for (MachineType type : machineTypeCatalog.types()) {
            large |= isLargeTask(spec, type);
        }
        return large && spec.kind() != JobKind.SERVICE && waitBudgetSeconds(spec, false) < 0;
    }
}
