package org.meadowhollow.coordination.reservation;

import java.util.Collection;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;

/**
 * The inputs of a {@link ReservationView} besides the plan.
 *
 * @param machines the machines that have been in contact
 * @param schedulable whether a machine can take tasks now
 * @param pendingTasks how many tasks of each job are pending
 * @param startupDelaySeconds the time that a new machine takes until it can run a task of the job
 */
record RoundInputs(
        Collection<Machine> machines,
        Predicate<Machine> schedulable,
        Map<JobSpec, Integer> pendingTasks,
        RuntimeEstimator runtimeEstimator,
        ToDoubleFunction<JobSpec> startupDelaySeconds,
        ReservationView.RoundClocks clocks) {}
