package org.meadowhollow.coordination;

import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /** A machine that can take tasks now. */
    public static final class Seat {
        private final MachineId id;
        private final String type;
        private final String zone;
        private final boolean spot;
        private final Resources whole;
        private final Set<String> images;
        private final RiskTable risk;
        private final boolean forLarge;
        private final double fetchGbPerS;
        private Resources free;
        private int tasks;
        private int replicas;
        private int fetches;

        /**
         * @param tasks all tasks on the machine
         * @param replicas those of services among them
         * @param images what is cached here or being fetched
         * @param fetches how many images are being fetched
         * @param forLarge whether tasks that need most of such a machine are about
         */
        public Seat(MachineId id, String type, String zone, boolean spot, Resources whole, Resources free,
                int tasks, int replicas, Set<String> images, int fetches, double fetchGbPerS, RiskTable risk,
                boolean forLarge) {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.whole = whole;
            this.free = free;
            this.tasks = tasks;
            this.replicas = replicas;
            this.images = new HashSet<>(images);
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
            if (images.add(spec.image())) {
                fetches++;
            }
        }

        /** About how long an image takes to come, on a line that fetches may have to share. */
        private double fetchS(JobSpec spec) {
            return Math.rint(spec.imageGb() * (fetches + 1) / fetchGbPerS);
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
        // An empty bucket is no reason to fetch an image anew that the machine has.
        String image = job.spec().image();
        if (best != null && (roomiest == null || best.images.contains(image) || !roomiest.images.contains(image))) {
            return new Choice(best, true);
        }
        return roomiest == null ? null : new Choice(roomiest, false);
    }

    /**
     * At equal risk: where the image is; a spot machine for a task that may use one; no machine that a large
     * task could take whole; where the image comes soonest; then most room.
     */
    private static boolean better(Seat one, Seat other, JobSpec spec) {
        boolean cached = one.images.contains(spec.image());
        if (cached != other.images.contains(spec.image())) {
            return cached;
        }
        boolean keeps = one.keptFrom(spec) != other.keptFrom(spec);
        if (spec.kind() != Kind.SERVICE && one.spot != other.spot) {
            return one.spot;
        }
        if (spec.kind() != Kind.SERVICE && keeps) {
            return other.keptFrom(spec);
        }
        // Somebody waits for every replica, so its fetch comes before the room that is kept.
        int fetch = cached ? 0 : Double.compare(one.fetchS(spec), other.fetchS(spec));
        if (fetch != 0) {
            return fetch < 0;
        }
        if (keeps) {
            return other.keptFrom(spec);
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
