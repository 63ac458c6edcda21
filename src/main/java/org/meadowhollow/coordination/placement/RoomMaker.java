package org.meadowhollow.coordination.placement;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.meadowhollow.bookkeeping.Job;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.Machine;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Placement;
import org.meadowhollow.bookkeeping.Priority;
import org.meadowhollow.bookkeeping.Resources;
import org.meadowhollow.coordination.calendar.SeatLimit;
import org.meadowhollow.coordination.platform.Platform;

/** Finds what to stop for waiting jobs that no new machine could serve in time. */
public final class RoomMaker {
    /**
     * Time for a stop to take effect and the room to be used before more is stopped for the same
     * job.
     */
    private static final Duration AGAIN = Duration.ofSeconds(10);

    private final Cluster cluster;
    private final Platform platform;
    private final Aims aims;

    public RoomMaker(Cluster cluster, Platform platform, Aims aims) {
        this.cluster = cluster;
        this.platform = platform;
        this.aims = aims;
    }

    /**
     * The tasks to stop for one of the job's; their room goes to it in a later round, in which it
     * comes first.
     */
    public List<Placement> victims(
            Job job, Object2IntMap<String> zones, boolean guaranteed, Moment now) {
        JobSpec spec = job.spec();
        if (spec.kind() == Kind.GANG && spec.tasks() > 1
                || now.secondsSince(job.waitingSince()) < aims.patienceS(spec, guaranteed)
                || job.roomMadeAt() != null && now.since(job.roomMadeAt()).compareTo(AGAIN) < 0) {
            return List.of();
        }
        Map<String, Resources> used = cluster.used();
        List<Preemption.Place<Placement>> places = new ArrayList<>();
        for (Machine machine : cluster.machines().values()) {
            if (mayMakeRoom(machine, spec, zones, now) && machine.heldFor(now) == null) {
                places.add(
                        new Preemption.Place<>(
                                machine.free(),
                                machine.images().has(spec.image()),
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
            Job job, Object2IntMap<String> zones, int count, Moment now) {
        JobSpec spec = job.spec();
        if (!spec.priority().above(Priority.LOW)
                || job.roomMadeAt() != null && now.since(job.roomMadeAt()).compareTo(AGAIN) < 0) {
            return List.of();
        }
        Map<String, Resources> used = cluster.used();
        Map<String, List<Preemption.Place<Placement>>> byZone = new TreeMap<>();
        Map<Preemption.Place<Placement>, Machine> machines = new IdentityHashMap<>();
        for (Machine machine : cluster.machines().values()) {
            if (!mayMakeRoom(machine, spec, zones, now)
                    || spec.oneZone() && !zones.isEmpty() && zones.getInt(machine.zone()) == 0) {
                continue;
            }
            Preemption.Place<Placement> place =
                    new Preemption.Place<>(
                            machine.free(),
                            machine.images().has(spec.image()),
                            running(machine, used, now));
            byZone.computeIfAbsent(machine.zone(), unused -> new ArrayList<>()).add(place);
            machines.put(place, machine);
        }
        boolean gang = spec.kind() == Kind.GANG;
        List<Preemption.Gain<Placement>> best = List.of();
        if (spec.oneZone()) {
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
            best.forEach(gain -> machines.get(gain.place()).holdFor(job.id(), now.plus(AGAIN)));
        }
        return victims;
    }

    /**
     * Whether the job could use room on a machine; what the calendar keeps it from needs no room
     * made for it.
     */
    private boolean mayMakeRoom(
            Machine machine, JobSpec spec, Object2IntMap<String> zones, Moment now) {
        SeatLimit limit = cluster.outlook().limit(machine.id());
        return (limit == null || limit.allows(spec, 0, machine.type().room()))
                && cluster.mayTake(machine, spec, now)
                && zones.getInt(machine.zone()) < spec.mostPerZone();
    }

    private List<Preemption.Running<Placement>> running(
            Machine machine, Map<String, Resources> used, Moment now) {
        List<Preemption.Running<Placement>> running = new ArrayList<>();
        for (Placement placement : machine.placements()) {
            JobSpec spec = placement.job().spec();
            if (spec.kind() == Kind.SERVICE || placement.stopping()) {
                continue;
            }
            double ranS =
                    placement.runningSince() == null
                            ? 0
                            : now.secondsSince(placement.runningSince());
            Resources guarantee = platform.teams().get(spec.team()).guaranteed();
            Resources uses = used.get(spec.team());
            running.add(
                    new Preemption.Running<>(
                            placement,
                            spec.priority(),
                            spec.team(),
                            spec.perTask(),
                            spec.saves() ? Math.min(ranS, spec.saveS()) : ranS,
                            uses.gpu() > guarantee.gpu()
                                    && (guarantee.cpu() == 0 || uses.cpu() > guarantee.cpu())));
        }
        return running;
    }
}
