package org.meadowhollow.simulation;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.meadowhollow.model.RepeatingStep;

/**
 * Runs the repeating steps of all nodes, and lets chosen executions fail. An exception that no test
 * has asked for is a defect, which ends the test. Not thread-safe.
 */
public final class StepFaults {
    private final Set<RepeatingStep> failNext = EnumSet.noneOf(RepeatingStep.class);
    private final Map<RepeatingStep, Integer> runsSinceFailure = new EnumMap<>(RepeatingStep.class);
    private RepeatingStep alwaysFailing;
    private RepeatingStep countedStep;
    private int executionsUntilFailure;
    private RuntimeException defect;

    /** Lets the next execution of each of these steps throw an exception, on any node. */
    public void failNextOf(Set<RepeatingStep> steps) {
        failNext.addAll(steps);
    }

    /** Lets all executions of a step throw an exception; null ends the fault. */
    public void failAllOf(RepeatingStep step) {
        alwaysFailing = step;
    }

    /** Lets one later execution of a step throw an exception: the first from now on is number 1. */
    public void failExecutionOf(RepeatingStep step, int number) {
        countedStep = step;
        executionsUntilFailure = number;
    }

    /** Whether the execution that was chosen by its number has failed. */
    public boolean hasCountedExecutionFailed() {
        return countedStep == null;
    }

    /** The steps that were to fail and have not been executed yet. */
    Set<RepeatingStep> notYetFailed() {
        return Set.copyOf(failNext);
    }

    /** The steps that have failed as a test asked, and have not been executed since. */
    Set<RepeatingStep> notRepeated() {
        Set<RepeatingStep> steps = EnumSet.noneOf(RepeatingStep.class);
        runsSinceFailure.forEach(
                (step, runs) -> {
                    if (runs == 0) {
                        steps.add(step);
                    }
                });
        return steps;
    }

    /** Runs one execution of a step as the event loop of a process does. */
    boolean run(RepeatingStep step, Runnable body) {
        if (step == alwaysFailing || isCountedExecution(step)) {
            return false;
        }
        if (failNext.remove(step)) {
            runsSinceFailure.put(step, 0);
            return false;
        }
        runsSinceFailure.computeIfPresent(step, (unused, runs) -> runs + 1);
        try {
            body.run();
            return true;
        } catch (RuntimeException unexpected) {
            defect = defect == null ? unexpected : defect;
            return false;
        }
    }

    private boolean isCountedExecution(RepeatingStep step) {
        if (step != countedStep) {
            return false;
        }
        executionsUntilFailure--;
        countedStep = executionsUntilFailure == 0 ? null : countedStep;
        return countedStep == null;
    }

    /** Throws the first exception that no test has asked for. */
    void throwDefect() {
        if (defect != null) {
            throw new AssertionError("a repeating step failed", defect);
        }
    }
}
