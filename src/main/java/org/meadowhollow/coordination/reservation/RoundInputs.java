package org.meadowhollow.coordination.reservation;

import java.util.Collection;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;

/**
 * What a {@link ReservationView} is computed from besides the plan.
 *
 * @param machines all that have been in contact
 * @param schedulable whether a machine can take tasks now
 * @param pendingTasks how many tasks of each job are pending
 * @param startupDelaySeconds how long a new machine takes until it can run one of a job's tasks
 */
record RoundInputs(
        Collection<Machine> machines,
        Predicate<Machine> schedulable,
        Map<JobSpec, Integer> pendingTasks,
        RuntimeEstimator runtimeEstimator,
        ToDoubleFunction<JobSpec> startupDelaySeconds,
        ReservationView.RoundClocks clocks) {}
