package org.meadowhollow.model;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Failures of a job's own tasks since one last completed, and the machines on which they happened.
 * Guarded like its job; lost at a failover.
 */
final class FailureHistory {
    /**
     * Failures of different tasks, or of one repeatedly, after which the job is suspected to be at
     * fault.
     */
    private static final int FAILURES_BEFORE_SUSPECTED = 3;

    private static final int MAX_MACHINES = 8;

    private int consecutiveFailures;
    private final Set<MachineId> machines = new LinkedHashSet<>();

    /** Counts a failure and returns how many there were since a task last completed. */
    int record(MachineId machine) {
        machines.add(machine);
        if (machines.size() > MAX_MACHINES) {
            machines.remove(machines.iterator().next());
        }
        return ++consecutiveFailures;
    }

    /** Starts counting again; the machines are kept. */
    void resetCount() {
        consecutiveFailures = 0;
    }

    /** Whether there were enough failures on several machines to suspect the job itself. */
    boolean suggestsFaultyJob() {
        return consecutiveFailures >= FAILURES_BEFORE_SUSPECTED && machines.size() > 1;
    }

    /** The last few machines on which tasks failed, in the order of the first failure on each. */
    Set<MachineId> machines() {
        return Collections.unmodifiableSet(machines);
    }
}
