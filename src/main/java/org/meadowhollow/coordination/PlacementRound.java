package org.meadowhollow.coordination;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.bookkeeping.ImageCache;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.Resources;

/**
 * One round of placement, a pure function of a snapshot: each waiting task goes to the machine with
 * least risk, then most room, among those whose risk the policy allows.
 */
public final class PlacementRound {
    /** The paper's EfficiencyFirst: no violation with at least this chance. */
    private static final double LEAST_CHANCE = 0.8;
    /** A task that takes more than this share of a machine has it to itself. */
    private static final double LARGE = 0.5;
    /** Fetches that differ by less than this end at about the same time, for rates vary by a third. */
    private static final double FETCH_STEP_S = 5;

    /** A machine that can take tasks now. */
    public static final class Seat {
        private final MachineId id;
        private final String type;
        private final String zone;
        private final boolean spot;
        private final Resources whole;
        private final ImageCache cached;
        private final Object2DoubleMap<String> fetches;
        private final RiskTable risk;
        private final boolean forLarge;
        private final double fetchGbPerS;
        private Resources free;
        private int tasks;
        private int replicas;

        /**
         * @param tasks all tasks on the machine
         * @param replicas those of services among them
         * @param cached what is probably cached here
         * @param fetches the images on their way here, each with the seconds that it will still take
         * @param forLarge whether tasks that need most of such a machine are about
         */
        public Seat(MachineId id, String type, String zone, boolean spot, Resources whole, Resources free,
                int tasks, int replicas, ImageCache cached, Object2DoubleMap<String> fetches, double fetchGbPerS,
                RiskTable risk,
                boolean forLarge) {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.whole = whole;
            this.free = free;
            this.tasks = tasks;
            this.replicas = replicas;
            this.cached = cached;
            this.fetches = fetches;
            this.fetchGbPerS = fetchGbPerS;
            this.risk = risk;
            this.forLarge = forLarge;
        }

        /**
         * Whether the machine is better kept whole, since large tasks are about: an empty one is not for short
         * tasks, and one without a replica is not for replicas, which would block it for as long as they run.
         */
        private boolean keptFrom(JobSpec spec) {
            return forLarge && !isLarge(spec, whole) && (spec.kind() == Kind.SERVICE ? replicas : tasks) == 0;
        }

        private void take(JobSpec spec) {
            free = free.minus(spec.perTask());
            tasks++;
            replicas += spec.kind() == Kind.SERVICE ? 1 : 0;
            if (!cached.has(spec.image())) {
                fetches.putIfAbsent(spec.image(), spec.imageGb() / fetchGbPerS);
            }
        }

        /** About how many steps it takes until an image is here, on a line that fetches have to share. */
        private double fetchSteps(JobSpec spec) {
            if (cached.has(spec.image())) {
                return 0;
            }
            double aloneS = fetches.containsKey(spec.image()) ? fetches.getDouble(spec.image()) * fetches.size()
                    : spec.imageGb() / fetchGbPerS * (fetches.size() + 1);
            return 1 + Math.floor(aloneS / FETCH_STEP_S);
        }

        private void giveBack(JobSpec spec) {
            free = free.plus(spec.perTask());
            tasks--;
        }
    }

    /**
     * A job with waiting tasks.
     *
     * @param tasks the waiting tasks that may be placed now; all of them for a gang
     * @param zones how many tasks of the job may be in each zone already
     * @param desperate whether it has waited so long that the risk does not count any more
     */
    public record Waiting(JobSpec spec, int[] tasks, Object2IntMap<String> zones, boolean desperate) {
    }

    /** A team's use and its limit; a limit of 0 means none. */
    public static final class Share {
        private final Resources most;
        private Resources used;

        public Share(Resources used, Resources most) {
            this.used = used;
            this.most = most;
        }

        private boolean allows(Resources more) {
            Resources sum = used.plus(more);
            return (most.cpu() == 0 || sum.cpu() <= most.cpu()) && (most.gpu() == 0 || sum.gpu() <= most.gpu());
        }
    }

    /** A task and the machine it goes to; whether the table decided or room alone. */
    public record Decision(JobSpec spec, int task, MachineId machine, boolean byTable) {
    }

    private final List<Seat> seats;
    private final Map<String, Share> teams;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<JobId, Integer> unplaced = new HashMap<>();

    private PlacementRound(List<Seat> seats, Map<String, Share> teams) {
        this.seats = seats;
        this.teams = teams;
    }

    /** What a round decided, and how many tasks of each job found no machine for lack of room. */
    public record Outcome(List<Decision> decisions, Map<JobId, Integer> unplaced) {
    }

    /** Places jobs in the order given. The seats and shares are used up. */
    public static Outcome run(List<Seat> seats, Map<String, Share> teams, List<Waiting> jobs, int most) {
        PlacementRound round = new PlacementRound(seats, teams);
        for (Waiting job : jobs) {
            if (round.decisions.size() >= most) {
                break;
            }
            if (job.spec().kind() == Kind.GANG) {
                round.placeGang(job);
            } else {
                round.placeEach(job, most);
            }
        }
        return new Outcome(round.decisions, round.unplaced);
    }

    private void placeEach(Waiting job, int most) {
        Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>(job.zones());
        Share team = teams.get(job.spec().team());
        for (int at = 0; at < job.tasks().length; at++) {
            if (decisions.size() >= most || !team.allows(job.spec().perTask())) {
                return;
            }
            Choice choice = choose(job, zones, job.desperate(), false);
            if (choice == null) {
                unplaced.put(job.spec().id(), job.tasks().length - at);
                return;
            }
            take(choice.seat, job.spec(), zones, team);
            decisions.add(new Decision(job.spec(), job.tasks()[at], choice.seat.id, choice.byTable));
        }
    }

    private void placeGang(Waiting job) {
        JobSpec spec = job.spec();
        Share team = teams.get(spec.team());
        if (!team.allows(spec.perTask().times(job.tasks().length))) {
            return;
        }
        // All by the table, or all by room alone.
        if (!placeWhole(job, team, false) && !placeWhole(job, team, true)) {
            unplaced.put(spec.id(), job.tasks().length);
        }
    }

    private boolean placeWhole(Waiting job, Share team, boolean roomOnly) {
        JobSpec spec = job.spec();
        List<String> starts = new ArrayList<>();
        if (spec.oneZone()) {
            for (Seat seat : seats) {
                if (!starts.contains(seat.zone)) {
                    starts.add(seat.zone);
                }
            }
        } else {
            starts.add(null);
        }
        for (String zone : starts) {
            Object2IntOpenHashMap<String> zones = new Object2IntOpenHashMap<>(job.zones());
            List<Seat> taken = new ArrayList<>();
            for (int at = 0; at < job.tasks().length; at++) {
                Choice choice = choose(job, zones, job.desperate() || roomOnly, !roomOnly, zone);
                if (choice == null) {
                    break;
                }
                take(choice.seat, spec, zones, team);
                taken.add(choice.seat);
            }
            if (taken.size() == job.tasks().length) {
                for (int at = 0; at < taken.size(); at++) {
                    decisions.add(new Decision(spec, job.tasks()[at], taken.get(at).id, !roomOnly));
                }
                return true;
            }
            for (Seat seat : taken) {
                seat.giveBack(spec);
                team.used = team.used.minus(spec.perTask());
            }
        }
        return false;
    }

    private static void take(Seat seat, JobSpec spec, Object2IntOpenHashMap<String> zones, Share team) {
        seat.take(spec);
        zones.addTo(seat.zone, 1);
        team.used = team.used.plus(spec.perTask());
    }

    private record Choice(Seat seat, boolean byTable) {
    }

    private Choice choose(Waiting job, Object2IntMap<String> zones, boolean anyRisk, boolean tableOnly) {
        return choose(job, zones, anyRisk, tableOnly, null);
    }

    private Choice choose(Waiting job, Object2IntMap<String> zones, boolean anyRisk, boolean tableOnly,
            String onlyZone) {
        Seat best = null;
        double bestChance = 0;
        Seat roomiest = null;
        for (Seat seat : seats) {
            if (!allowed(job.spec(), zones, seat) || onlyZone != null && !onlyZone.equals(seat.zone)) {
                continue;
            }
            double share = seat.whole.minus(seat.free).plus(job.spec().perTask()).shareOf(seat.whole);
            double chance = seat.risk.chanceOfNone(seat.tasks + 1, share);
            if (chance >= LEAST_CHANCE) {
                if (best == null || chance > bestChance
                        || chance == bestChance && better(seat, best, job.spec())) {
                    best = seat;
                    bestChance = chance;
                }
            } else if (!tableOnly && (Double.isNaN(chance) || anyRisk)
                    && (roomiest == null || better(seat, roomiest, job.spec()))) {
                roomiest = seat;
            }
        }
        // An empty bucket is no reason to wait longer for an image.
        if (best != null && (roomiest == null
                || best.fetchSteps(job.spec()) <= roomiest.fetchSteps(job.spec()))) {
            return new Choice(best, true);
        }
        return roomiest == null ? null : new Choice(roomiest, false);
    }

    /**
     * At equal risk: where the image is; a spot machine for a task that may use one; where the image comes
     * soonest; for a replica, one more machine that will have its image; no machine that a large task could
     * take whole; then most room.
     */
    private static boolean better(Seat one, Seat other, JobSpec spec) {
        double steps = one.fetchSteps(spec);
        double otherSteps = other.fetchSteps(spec);
        if ((steps == 0) != (otherSteps == 0)) {
            return steps == 0;
        }
        boolean service = spec.kind() == Kind.SERVICE;
        if (!service && one.spot != other.spot) {
            return one.spot;
        }
        if (steps != otherSteps) {
            return steps < otherSteps;
        }
        if (service && steps > 0) {
            boolean coming = one.fetches.containsKey(spec.image());
            if (coming != other.fetches.containsKey(spec.image())) {
                return !coming;
            }
        }
        boolean kept = one.keptFrom(spec);
        if (kept != other.keptFrom(spec)) {
            return !kept;
        }
        return one.free.shareOf(one.whole) > other.free.shareOf(other.whole);
    }

    /** Whether a task needs so much of a machine that no second one fits beside it. */
    static boolean isLarge(JobSpec spec, Resources whole) {
        return spec.perTask().shareOf(whole) > LARGE;
    }

    private static boolean allowed(JobSpec spec, Object2IntMap<String> zones, Seat seat) {
        if (!spec.perTask().fitsIn(seat.free) || !spec.allowsType(seat.type) || !spec.allowsZone(seat.zone)
                || seat.spot && !spec.spot()) {
            return false;
        }
        if (spec.spread() && zones.getInt(seat.zone) >= spec.mostPerZone()) {
            return false;
        }
        if (spec.oneZone()) {
            for (Object2IntMap.Entry<String> entry : zones.object2IntEntrySet()) {
                if (entry.getIntValue() > 0 && !entry.getKey().equals(seat.zone)) {
                    return false;
                }
            }
        }
        return true;
    }
}
