package org.meadowhollow.model;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Counts the failures that a job's tasks caused themselves since a task last completed, and keeps
 * the machines on which they happened. Not thread-safe: guarded like its job. The history is lost
 * at a failover.
 */
final class FailureHistory {
    /**
     * The number of failures, of different tasks or of one task repeatedly, after which the job is
     * suspected to be at fault.
     */
    private static final int FAILURES_BEFORE_SUSPECTED = 3;

    private static final int MAX_MACHINES = 8;

    private int consecutiveFailures;
    private final Set<MachineId> machines = new LinkedHashSet<>();

    /** Records a failure and returns the number of failures since a task last completed. */
    int record(MachineId machine) {
        machines.add(machine);
        if (machines.size() > MAX_MACHINES) {
            machines.remove(machines.iterator().next());
        }
        return ++consecutiveFailures;
    }

    /** Resets the number of failures to zero; the machines are kept. */
    void resetCount() {
        consecutiveFailures = 0;
    }

    /** Whether there were enough failures, on several machines, to suspect the job itself. */
    boolean suggestsFaultyJob() {
        return consecutiveFailures >= FAILURES_BEFORE_SUSPECTED && machines.size() > 1;
    }

    /** The last few machines on which tasks failed, in the order of the first failure on each. */
    Set<MachineId> machines() {
        return Collections.unmodifiableSet(machines);
    }
}
