package org.meadowhollow.coordination.placement;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.meadowhollow.coordination.calendar.SeatLimit;
import org.meadowhollow.model.ImageCache;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobKind;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Resources;

/**
 * One round of placement, a pure function of a snapshot: each waiting task goes to the machine with
 * least risk, then most room, among those whose risk the policy allows.
 */
public final class PlacementRound {
    /** The paper's EfficiencyFirst: no violation with at least this chance. */
    private static final double LEAST_CHANCE = 0.8;

    /** A task that takes more than this share of a machine has it to itself. */
    private static final double LARGE = 0.5;

    /**
     * Fetches that differ by less than this end at about the same time, for rates vary by a third.
     */
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
        private final int order;
        private SeatLimit limit;
        private JobId heldFor;
        private Resources free;
        private int tasks;
        private int replicas;

        /** How the seat rates for the job being placed; see {@link #rate}. */
        private double chance;

        private double steps;
        private boolean preferredSpot;
        private boolean coming;
        private boolean kept;
        private boolean failed;
        private double roomShare;

        /**
         * @param order decides between equals
         * @param tasks all tasks on the machine
         * @param replicas those of services among them
         * @param cached what is probably cached here
         * @param fetches the images on their way here, each with the seconds that it will still
         *     take
         * @param forLarge whether tasks that need most of such a machine are about
         */
        public Seat(
                int order,
                MachineId id,
                String type,
                String zone,
                boolean spot,
                Resources whole,
                Resources free,
                int tasks,
                int replicas,
                ImageCache cached,
                Object2DoubleMap<String> fetches,
                double fetchGbPerS,
                RiskTable risk,
                boolean forLarge) {
            this.order = order;
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
         * @param now what the calendar says of the machine, or null if nothing
         */
        Seat limited(SeatLimit now) {
            limit = now;
            return this;
        }

        /**
         * @param gang the only job that may take what is free here, or null
         */
        Seat heldFor(JobId gang) {
            heldFor = gang;
            return this;
        }

        MachineId id() {
            return id;
        }

        String zone() {
            return zone;
        }

        /** Works out all that the order of the seats depends on, for one more task of this kind. */
        private void rate(JobSpec spec, Set<MachineId> failedOn) {
            failed = failedOn.contains(id);
            chance =
                    risk.chanceOfNone(
                            tasks + 1,
                            whole.minus(free).plus(spec.resourcesPerTask()).dominantShareOf(whole));
            steps = fetchSteps(spec);
            // Somebody waits for every replica, so its fetch comes before the price.
            preferredSpot = spot && spec.kind() != JobKind.SERVICE;
            coming =
                    spec.kind() == JobKind.SERVICE
                            && steps > 0
                            && fetches.containsKey(spec.image());
            kept = keptFrom(spec);
            roomShare = free.dominantShareOf(whole);
        }

        /**
         * Whether the machine is better kept whole, since large tasks are about: an empty one is
         * not for short tasks, and one without a replica is not for replicas, which would block it
         * for as long as they run.
         */
        private boolean keptFrom(JobSpec spec) {
            return forLarge
                    && !isLarge(spec, whole)
                    && (spec.kind() == JobKind.SERVICE ? replicas : tasks) == 0;
        }

        /** Takes a task in; true if its image has to be fetched for it. */
        private boolean take(JobSpec spec) {
            free = free.minus(spec.resourcesPerTask());
            tasks++;
            replicas += spec.kind() == JobKind.SERVICE ? 1 : 0;
            if (limit != null) {
                limit.took(spec);
            }
            if (cached.contains(spec.image()) || fetches.containsKey(spec.image())) {
                return false;
            }
            fetches.put(spec.image(), spec.imageSizeGb() / fetchGbPerS);
            return true;
        }

        /**
         * About how many steps it takes until an image is here, on a line that fetches have to
         * share.
         */
        private double fetchSteps(JobSpec spec) {
            if (cached.contains(spec.image())) {
                return 0;
            }
            double aloneS =
                    fetches.containsKey(spec.image())
                            ? fetches.getDouble(spec.image()) * fetches.size()
                            : spec.imageSizeGb() / fetchGbPerS * (fetches.size() + 1);
            return 1 + Math.floor(aloneS / FETCH_STEP_S);
        }

        private void giveBack(JobSpec spec, boolean fetched) {
            free = free.plus(spec.resourcesPerTask());
            tasks--;
            if (limit != null) {
                limit.gaveBack(spec);
            }
            if (fetched) {
                fetches.removeDouble(spec.image());
            }
        }
    }

    /**
     * A job with waiting tasks.
     *
     * @param tasks the waiting tasks that may be placed now; all of them for a gang
     * @param zones how many tasks of the job may be in each zone already
     * @param desperate whether it has waited so long that the risk does not count any more
     * @param failedOn machines on which its tasks failed, which come behind others of equal risk
     */
    public record Waiting(
            JobSpec spec,
            int[] tasks,
            Object2IntMap<String> zones,
            boolean desperate,
            Set<MachineId> failedOn) {
        public Waiting(JobSpec spec, int[] tasks, Object2IntMap<String> zones, boolean desperate) {
            this(spec, tasks, zones, desperate, Set.of());
        }
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
            return (most.cpu() == 0 || sum.cpu() <= most.cpu())
                    && (most.gpu() == 0 || sum.gpu() <= most.gpu());
        }
    }

    /** A task and the machine it goes to; whether the table decided or room alone. */
    public record Decision(JobSpec spec, int task, MachineId machine, boolean byTable) {}

    private final List<Seat> seats;
    private final Map<String, Share> teams;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<JobId, Integer> unplaced = new HashMap<>();

    private PlacementRound(List<Seat> seats, Map<String, Share> teams) {
        this.seats = seats;
        this.teams = teams;
    }

    /** What a round decided, and how many tasks of each job found no machine for lack of room. */
    public record Outcome(List<Decision> decisions, Map<JobId, Integer> unplaced) {}

    /**
     * Places jobs in the order given, and decides for the first {@code mostJobs} that find room.
     * The others are placed only to see who finds none. The seats and shares are used up.
     */
    public static Outcome run(
            List<Seat> seats, Map<String, Share> teams, List<Waiting> jobs, int mostJobs) {
        PlacementRound round = new PlacementRound(seats, teams);
        int decided = 0;
        int placed = 0;
        for (Waiting job : jobs) {
            int before = round.decisions.size();
            if (job.spec().kind() == JobKind.GANG) {
                round.placeGang(job);
            } else {
                round.placeEach(job);
            }
            if (round.decisions.size() > before && placed++ < mostJobs) {
                decided = round.decisions.size();
            }
        }
        return new Outcome(List.copyOf(round.decisions.subList(0, decided)), round.unplaced);
    }

    private void placeEach(Waiting job) {
        Share team = teams.get(job.spec().team());
        if (!team.allows(job.spec().resourcesPerTask())) {
            return;
        }
        Candidates candidates = new Candidates(seats, job, job.desperate(), false, null);
        for (int at = 0; at < job.tasks().length; at++) {
            if (!team.allows(job.spec().resourcesPerTask())) {
                return;
            }
            Choice choice = candidates.next();
            if (choice == null) {
                unplaced.put(job.spec().id(), job.tasks().length - at);
                return;
            }
            candidates.take(choice);
            team.used = team.used.plus(job.spec().resourcesPerTask());
            decisions.add(
                    new Decision(job.spec(), job.tasks()[at], choice.seat.id, choice.byTable));
        }
    }

    private void placeGang(Waiting job) {
        JobSpec spec = job.spec();
        Share team = teams.get(spec.team());
        Resources all = spec.resourcesPerTask().times(job.tasks().length);
        if (!team.allows(all)) {
            return;
        }
        // All by the table, or all by room alone.
        if (placeWhole(job, false) || placeWhole(job, true)) {
            team.used = team.used.plus(all);
        } else {
            unplaced.put(spec.id(), job.tasks().length);
        }
    }

    private boolean placeWhole(Waiting job, boolean roomOnly) {
        List<String> starts = new ArrayList<>();
        if (job.spec().requiresSingleZone()) {
            for (Seat seat : seats) {
                if (!starts.contains(seat.zone)) {
                    starts.add(seat.zone);
                }
            }
        } else {
            starts.add(null);
        }
        List<Choice> best = List.of();
        double bestSteps = Double.MAX_VALUE;
        for (String zone : starts) {
            Candidates candidates =
                    new Candidates(seats, job, job.desperate() || roomOnly, !roomOnly, zone);
            List<Choice> taken = new ArrayList<>();
            List<Boolean> fetched = new ArrayList<>();
            double steps = 0;
            while (taken.size() < job.tasks().length) {
                Choice choice = candidates.next();
                if (choice == null) {
                    break;
                }
                steps = Math.max(steps, choice.seat.steps);
                fetched.add(candidates.take(choice));
                taken.add(choice);
            }
            for (int at = 0; at < taken.size(); at++) {
                taken.get(at).seat.giveBack(job.spec(), fetched.get(at));
            }
            // A gang starts when the last of its images has come.
            if (taken.size() == job.tasks().length && steps < bestSteps) {
                best = taken;
                bestSteps = steps;
            }
        }
        for (int at = 0; at < best.size(); at++) {
            best.get(at).seat.take(job.spec());
            decisions.add(
                    new Decision(job.spec(), job.tasks()[at], best.get(at).seat.id, !roomOnly));
        }
        return !best.isEmpty();
    }

    private record Choice(Seat seat, boolean byTable) {}

    /**
     * The seats that one job's tasks may go to, best first. A task changes only the seat that takes
     * it, so each seat is rated once for the job and once more for each of its tasks that it takes.
     */
    private static final class Candidates {
        private final JobSpec spec;
        private final boolean anyRisk;
        private final boolean tableOnly;
        private final Set<MachineId> failedOn;
        private final Object2IntOpenHashMap<String> zones;

        /** Seats whose risk the policy allows. */
        private final PriorityQueue<Seat> passing = new PriorityQueue<>(PlacementRound::leastRisk);

        /** Seats that are judged by room alone. */
        private final PriorityQueue<Seat> others = new PriorityQueue<>(PlacementRound::better);

        Candidates(
                List<Seat> seats,
                Waiting job,
                boolean anyRisk,
                boolean tableOnly,
                String onlyZone) {
            this.spec = job.spec();
            this.anyRisk = anyRisk;
            this.tableOnly = tableOnly;
            this.failedOn = job.failedOn();
            this.zones = new Object2IntOpenHashMap<>(job.zones());
            for (Seat seat : seats) {
                if (onlyZone == null || onlyZone.equals(seat.zone)) {
                    offer(seat);
                }
            }
        }

        private void offer(Seat seat) {
            if (!allowed(spec, zones, seat)) {
                return;
            }
            seat.rate(spec, failedOn);
            if (seat.chance >= LEAST_CHANCE) {
                passing.add(seat);
            } else if (!tableOnly && (Double.isNaN(seat.chance) || anyRisk)) {
                others.add(seat);
            }
        }

        /** The best seat, or null if there is none. */
        Choice next() {
            Seat best = first(passing);
            Seat roomiest = first(others);
            // An empty bucket is no reason to wait longer for an image.
            if (best != null && (roomiest == null || best.steps <= roomiest.steps)) {
                return new Choice(best, true);
            }
            return roomiest == null ? null : new Choice(roomiest, false);
        }

        /** The tasks placed since may have filled a seat's zone; for this job it stays filled. */
        private Seat first(PriorityQueue<Seat> queue) {
            Seat seat;
            while ((seat = queue.peek()) != null && !allowed(spec, zones, seat)) {
                queue.poll();
            }
            return seat;
        }

        /** Takes the seat that came next; true if the image has to be fetched for it. */
        boolean take(Choice choice) {
            (choice.byTable ? passing : others).poll();
            boolean fetched = choice.seat.take(spec);
            zones.addTo(choice.seat.zone, 1);
            offer(choice.seat);
            return fetched;
        }
    }

    /**
     * At equal risk: where no task of the job failed, so that a faulty machine is told from a
     * faulty job; where the image is; a spot machine for a task that may use one; where the image
     * comes soonest; for a replica, one more machine that will have its image; no machine that a
     * large task could take whole; then most room.
     */
    private static int better(Seat one, Seat other) {
        int order = Boolean.compare(one.failed, other.failed);
        if (order == 0) {
            order = Boolean.compare(one.steps > 0, other.steps > 0);
        }
        if (order == 0) {
            order = Boolean.compare(other.preferredSpot, one.preferredSpot);
        }
        if (order == 0) {
            order = Double.compare(one.steps, other.steps);
        }
        if (order == 0) {
            order = Boolean.compare(one.coming, other.coming);
        }
        if (order == 0) {
            order = Boolean.compare(one.kept, other.kept);
        }
        if (order == 0) {
            order = Double.compare(other.roomShare, one.roomShare);
        }
        return order != 0 ? order : Integer.compare(one.order, other.order);
    }

    /** The paper's order: least risk, then what is better at equal risk. */
    private static int leastRisk(Seat one, Seat other) {
        int order = Double.compare(other.chance, one.chance);
        return order != 0 ? order : better(one, other);
    }

    /** Whether a task needs so much of a machine that no second one fits beside it. */
    static boolean isLarge(JobSpec spec, Resources whole) {
        return spec.resourcesPerTask().dominantShareOf(whole) > LARGE;
    }

    private static boolean allowed(JobSpec spec, Object2IntMap<String> zones, Seat seat) {
        if (!spec.resourcesPerTask().fitsIn(seat.free)
                || !spec.allowsMachineType(seat.type)
                || !spec.allowsZone(seat.zone)
                || seat.spot && !spec.allowsSpot()) {
            return false;
        }
        if (seat.heldFor != null && !seat.heldFor.equals(spec.id())) {
            return false;
        }
        if (seat.limit != null
                && !seat.limit.allows(
                        spec,
                        seat.cached.contains(spec.image())
                                ? 0
                                : spec.imageSizeGb() / seat.fetchGbPerS,
                        seat.free)) {
            return false;
        }
        if (spec.spreadsAcrossZones() && zones.getInt(seat.zone) >= spec.maxTasksPerZone()) {
            return false;
        }
        if (spec.requiresSingleZone()) {
            for (Object2IntMap.Entry<String> entry : zones.object2IntEntrySet()) {
                if (entry.getIntValue() > 0 && !entry.getKey().equals(seat.zone)) {
                    return false;
                }
            }
        }
        return true;
    }
}
