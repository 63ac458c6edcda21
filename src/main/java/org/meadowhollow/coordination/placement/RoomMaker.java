package org.meadowhollow.coordination.placement;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.calendar.SeatLimit;
import org.meadowhollow.model.Job;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Placement;
import org.meadowhollow.model.Priority;
import org.meadowhollow.model.Resources;

/** Finds what to stop for waiting jobs that no new machine could serve in time. */
public final class RoomMaker {
    /**
     * Time for a stop to take effect and the room to be used before more is stopped for the same
     * job.
     */
    private static final Duration AGAIN = Duration.ofSeconds(10);

    private final Cluster cluster;
    private final DeploymentSettings deploymentSettings;
    private final Aims aims;

    public RoomMaker(Cluster cluster, DeploymentSettings deploymentSettings, Aims aims) {
        this.cluster = cluster;
        this.deploymentSettings = deploymentSettings;
        this.aims = aims;
    }

    /**
     * The tasks to stop for one of the job's; their room goes to it in a later round, in which it
     * comes first.
     */
    public List<Placement> victims(
            Job job, Object2IntMap<String> zones, boolean guaranteed, MonotonicTime now) {
        JobSpec spec = job.spec();
        if (spec.kind() == JobKind.GANG && spec.taskCount() > 1
                || now.secondsSince(job.pendingSince()) < aims.patienceS(spec, guaranteed)
                || job.lastPreemptionAt() != null
                        && now.elapsedSince(job.lastPreemptionAt()).compareTo(AGAIN) < 0) {
            return List.of();
        }
        Map<String, Resources> used = cluster.used();
        List<Preemption.Place<Placement>> places = new ArrayList<>();
        for (Machine machine : cluster.machines().values()) {
            if (mayMakeRoom(machine, spec, zones, now) && machine.heldForGang(now) == null) {
                places.add(
                        new Preemption.Place<>(
                                machine.freeCapacity(),
                                machine.imageCache().contains(spec.image()),
                                running(machine, used, now)));
            }
        }
        return Preemption.victims(spec, guaranteed, places);
    }

    /**
     * The tasks of the lowest priority to stop for all of a job's that found no room, gangs
     * included: at once, since such work is there only for as long as nobody else needs its place,
     * and a fetch on an empty machine takes the time that there is.
     *
     * @param count how many tasks found no room
     */
    public List<Placement> idleVictims(
            Job job, Object2IntMap<String> zones, int count, MonotonicTime now) {
        JobSpec spec = job.spec();
        if (!spec.priority().isHigherThan(Priority.LOW)
                || job.lastPreemptionAt() != null
                        && now.elapsedSince(job.lastPreemptionAt()).compareTo(AGAIN) < 0) {
            return List.of();
        }
        Map<String, Resources> used = cluster.used();
        Map<String, List<Preemption.Place<Placement>>> byZone = new TreeMap<>();
        Map<Preemption.Place<Placement>, Machine> machines = new IdentityHashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (!mayMakeRoom(machine, spec, zones, now)
                    || spec.requiresSingleZone()
                            && !zones.isEmpty()
                            && zones.getInt(machine.zone()) == 0) {
                continue;
            }
            Preemption.Place<Placement> place =
                    new Preemption.Place<>(
                            machine.freeCapacity(),
                            machine.imageCache().contains(spec.image()),
                            running(machine, used, now));
            byZone.computeIfAbsent(machine.zone(), unused -> new ArrayList<>()).add(place);
            machines.put(place, machine);
        }
        boolean gang = spec.kind() == JobKind.GANG;
        List<Preemption.Gain<Placement>> best = List.of();
        if (spec.requiresSingleZone()) {
            double least = Double.MAX_VALUE;
            for (List<Preemption.Place<Placement>> places : byZone.values()) {
                List<Preemption.Gain<Placement>> gains =
                        Preemption.idleVictims(spec, count, gang, places);
                double lostS = gains.stream().mapToDouble(Preemption.Gain::lostS).sum();
                if (!gains.isEmpty() && lostS < least) {
                    best = gains;
                    least = lostS;
                }
            }
        } else {
            best =
                    Preemption.idleVictims(
                            spec,
                            count,
                            gang,
                            byZone.values().stream().flatMap(List::stream).toList());
        }
        List<Placement> victims = best.stream().flatMap(gain -> gain.stopped().stream()).toList();
        if (gang && !victims.isEmpty()) {
            // Small tasks that come first took a little of each machine that was cleared, and the
            // gang found none whole.
            best.forEach(gain -> machines.get(gain.place()).holdForGang(job.id(), now.plus(AGAIN)));
        }
        return victims;
    }

    /**
     * Whether the job could use room on a machine; what the calendar keeps it from needs no room
     * made for it.
     */
    private boolean mayMakeRoom(
            Machine machine, JobSpec spec, Object2IntMap<String> zones, MonotonicTime now) {
        SeatLimit limit = cluster.outlook().limit(machine.id());
        return (limit == null || limit.allows(spec, 0, machine.type().capacity()))
                && cluster.mayTake(machine, spec, now)
                && zones.getInt(machine.zone()) < spec.maxTasksPerZone();
    }

    private List<Preemption.Running<Placement>> running(
            Machine machine, Map<String, Resources> used, MonotonicTime now) {
        List<Preemption.Running<Placement>> running = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (spec.kind() == JobKind.SERVICE || placement.isStopping()) {
                continue;
            }
            double ranS =
                    placement.runningSince() == null
                            ? 0
                            : now.secondsSince(placement.runningSince());
            Resources guarantee = deploymentSettings.teamQuotas().get(spec.team()).guaranteed();
            Resources uses = used.get(spec.team());
            running.add(
                    new Preemption.Running<>(
                            placement,
                            spec.priority(),
                            spec.team(),
                            spec.resourcesPerTask(),
                            spec.usesCheckpoints()
                                    ? Math.min(ranS, spec.checkpointDurationSeconds())
                                    : ranS,
                            uses.gpu() > guarantee.gpu()
                                    && (guarantee.cpu() == 0 || uses.cpu() > guarantee.cpu())));
        }
        return running;
    }
}
