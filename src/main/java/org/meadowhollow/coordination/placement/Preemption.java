package org.meadowhollow.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/**
 * Which tasks to stop for one that finds no room: a pure function. Only work of lower priority may
 * be stopped, or, for a team within its guarantee, what another team runs beyond its own.
 */
final class Preemption {
    private Preemption() {}

    /**
     * A task that runs somewhere.
     *
     * @param lostS seconds of work that stopping it would lose
     * @param borrowed whether its team uses more than its guarantee
     */
    record Running<T>(
            T task,
            Priority priority,
            String team,
            Resources takes,
            double lostS,
            boolean borrowed) {}

    /** A machine that the waiting task may use, what is free on it, and what runs there. */
    record Place<T>(Resources free, boolean cached, List<Running<T>> running) {}

    /**
     * The tasks to stop, all on one machine, that lose least; empty if no machine can be made to
     * fit.
     */
    static <T> List<T> victims(JobSpec spec, boolean guaranteed, List<Place<T>> places) {
        List<T> best = List.of();
        double bestLoss = Double.MAX_VALUE;
        for (Place<T> place : places) {
            List<Running<T>> may = new ArrayList<>();
            for (Running<T> running : place.running()) {
                if (mayStop(spec, guaranteed, running)) {
                    may.add(running);
                }
            }
            may.sort(Comparator.comparingDouble(Running::lostS));
            Resources free = place.free();
            List<T> stopped = new ArrayList<>();
            double loss = place.cached() ? 0 : spec.imageSizeGb();
            for (Running<T> running : may) {
                if (spec.resourcesPerTask().fitsIn(free)) {
                    break;
                }
                free = free.plus(running.takes());
                stopped.add(running.task());
                loss += running.lostS();
            }
            if (!stopped.isEmpty() && spec.resourcesPerTask().fitsIn(free) && loss < bestLoss) {
                best = stopped;
                bestLoss = loss;
            }
        }
        return best;
    }

    /**
     * Room for one more task at a place: what has to be stopped for it, and how much that loses.
     */
    record Gain<T>(Place<T> place, List<T> stopped, double lostS) {}

    /**
     * What to stop so that several tasks find room: only work of the lowest priority, which waits
     * for what others leave. Least loss for each task goes first, and room that is free already
     * costs nothing.
     *
     * @param most tasks that want room
     * @param whole whether room for fewer is of no use, as for a gang
     */
    static <T> List<Gain<T>> idleVictims(
            JobSpec spec, int most, boolean whole, List<Place<T>> places) {
        if (!spec.priority().isHigherThan(Priority.LOW)) {
            return List.of();
        }
        List<Gain<T>> gains = new ArrayList<>();
        for (Place<T> place : places) {
            List<Running<T>> idle = new ArrayList<>();
            for (Running<T> running : place.running()) {
                if (running.priority() == Priority.LOW) {
                    idle.add(running);
                }
            }
            idle.sort(Comparator.comparingDouble(Running::lostS));
            Resources free = place.free();
            List<T> stopped = new ArrayList<>();
            double loss = place.cached() ? 0 : spec.imageSizeGb();
            int next = 0;
            for (int count = 0; count < most; count++) {
                while (!spec.resourcesPerTask().fitsIn(free) && next < idle.size()) {
                    free = free.plus(idle.get(next).takes());
                    stopped.add(idle.get(next).task());
                    loss += idle.get(next++).lostS();
                }
                if (!spec.resourcesPerTask().fitsIn(free)) {
                    break;
                }
                free = free.minus(spec.resourcesPerTask());
                gains.add(new Gain<>(place, stopped, loss));
                stopped = new ArrayList<>();
                loss = 0;
            }
        }
        if (whole && gains.size() < most) {
            return List.of();
        }
        gains.sort(Comparator.comparingDouble(Gain::lostS));
        return gains.subList(0, Math.min(most, gains.size()));
    }

    private static boolean mayStop(JobSpec spec, boolean guaranteed, Running<?> running) {
        return spec.priority().isHigherThan(running.priority())
                || guaranteed && running.borrowed() && !running.team().equals(spec.team());
    }
}
