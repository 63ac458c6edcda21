package org.meadowhollow.coordination;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.meadowhollow.bookkeeping.Attempt;
import org.meadowhollow.bookkeeping.Catalog;
import org.meadowhollow.bookkeeping.Cause;
import org.meadowhollow.bookkeeping.Chunk;
import org.meadowhollow.bookkeeping.Companion;
import org.meadowhollow.bookkeeping.Digests;
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.Job;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.JobSpec;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.Ledger;
import org.meadowhollow.bookkeeping.Machine;
import org.meadowhollow.bookkeeping.MachineId;
import org.meadowhollow.bookkeeping.MachineType;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Observers;
import org.meadowhollow.bookkeeping.Order;
import org.meadowhollow.bookkeeping.Placement;
import org.meadowhollow.bookkeeping.Priority;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.bookkeeping.Session;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.TaskId;
import org.meadowhollow.bookkeeping.TaskState;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.admission.Admission;
import org.meadowhollow.coordination.fleet.FailureDetector;
import org.meadowhollow.coordination.fleet.Fleet;
import org.meadowhollow.coordination.fleet.GivingUp;
import org.meadowhollow.coordination.fleet.SilenceWatch;
import org.meadowhollow.coordination.fleet.TermHolder;
import org.meadowhollow.coordination.hearing.Deafness;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.placement.Aims;
import org.meadowhollow.coordination.placement.Cluster;
import org.meadowhollow.coordination.placement.Expected;
import org.meadowhollow.coordination.placement.PlacementRound;
import org.meadowhollow.coordination.placement.RoomMaker;
import org.meadowhollow.coordination.placement.Snapshot;
import org.meadowhollow.coordination.platform.Cloud;
import org.meadowhollow.coordination.platform.Peers;
import org.meadowhollow.coordination.platform.Platform;
import org.meadowhollow.coordination.platform.TableDelta;
import org.meadowhollow.coordination.platform.TableQuestion;
import org.meadowhollow.coordination.platform.Workers;
import org.meadowhollow.coordination.serving.Served;
import org.meadowhollow.coordination.succession.FirstDecision;
import org.meadowhollow.coordination.succession.Inheritance;
import org.meadowhollow.coordination.succession.Membership;
import org.meadowhollow.coordination.succession.TableFeed;
import org.meadowhollow.coordination.succession.TableSnapshots;
import org.meadowhollow.coordination.succession.Takeover;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leadership: everything that the leader of one term knows and does. A new term begins with a
 * new object, so nothing that an old term believed can leak into it.
 */
final class Leader implements Ledger.Listener, TermHolder {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** The design's round. */
    private static final Duration ROUND = Duration.ofSeconds(1);

    /** Jobs in a round for which others are stopped: what is stopped must be seen to help first. */
    private static final int MOST_PREEMPTING = 4;

    /**
     * Jobs in a round for which idle work is stopped; each is a look at all machines, and what is
     * stopped saves first.
     */
    private static final int MOST_MAKING_ROOM = 8;

    /**
     * How long a report of a machine with room is held: less than the three quarters of a report's
     * interval after which the next goes out, and well below the 4 s that a worker waits for its
     * answer.
     */
    private static final double HOLD_REPORTS = 0.6;

    private static final Duration MOST_HOLD = Duration.ofMillis(2500);

    /**
     * How long a report waits while no lease may be renewed, below the 4 s that a worker waits.
     * Sent on at once, hundreds of workers went round all nodes every second throughout an outage.
     */
    private static final Duration MOST_EARLY = Duration.ofSeconds(3);

    /**
     * Direct answers that can overtake a report on its way: one for each task that is stopped
     * meanwhile.
     */
    private static final int MOST_OVERTAKEN = 16;

    private static final Duration HOLD_SWEEP = Duration.ofMillis(250);

    /** Reports come up to a quarter late, and a worker turns to the next node a second later. */
    private static final double LATEST_REPORT = 1.25;

    private static final double NEXT_NODE_S = 1;

    /**
     * The share of the known machines whose reports make a full round. Among hundreds some are
     * always hung, dead or about to be taken, and are listed for long after; waiting for them took
     * each takeover the whole time.
     */
    private static final double NEARLY_ALL = 0.9;

    /**
     * The share of the machines that the last leader heard of which a warm leader's first round
     * needs. Most of them have waited at this node for a leader; for the rest it knows the tables
     * and what may run there.
     */
    private static final double ENOUGH = 0.5;

    /**
     * After the state service did not say which tables are noted there; until it does, none is
     * written over.
     */
    private static final Duration READ_AGAIN = Duration.ofSeconds(2);

    /** How often a warm leader looks whether its first round can be. */
    private static final Duration EARLY = Duration.ofMillis(200);

    /** Failures of a job's tasks after which it has to wait before the next start. */
    private static final int FAILURES_BEFORE_HOLD = 3;

    private static final int MOST_HOLD_S = 60;

    /** Failures of different tasks on a machine after which it counts as faulty. */
    private static final int FAULTY_AFTER = 3;

    private final EventLoop loop;
    private final StateStore store;
    private final Workers workers;
    private final Platform platform;
    private final Catalog catalog;
    private final Leadership leadership;
    private final Fleet fleet;
    private final Ledger ledger;
    private final ImageNotes images;
    private final HeldReports held = new HeldReports();

    /** Those that came while this leader did not know which jobs are cancelled. */
    private final HeldReports early = new HeldReports();

    private final Term term;
    private final Moment begunAt;
    private final Cluster cluster;
    private final Map<JobId, Job> jobs;
    private final Map<MachineId, Machine> machines;
    private final Aims aims;
    private final RoomMaker rooms;
    private final Loading loading;
    private final SilenceWatch silence;
    private final Reconciliation reconciliation;
    private final FailureDetector detector;
    private final GivingUp givingUp;
    private final CalendarKeeper calendar;
    private final Version leaderVersion;
    private final Inheritance inheritance;
    private final Takeover takeover;
    private final TableFeed feed;
    private final TableSnapshots snapshots;
    private final Membership members = new Membership();
    private final Object2IntOpenHashMap<MachineId> faults = new Object2IntOpenHashMap<>();
    private final Expected expected = new Expected();
    private final Served served = new Served();
    private boolean listed;
    private boolean gathered;
    private boolean begun;

    /**
     * Whether all tables are here that there are: a snapshot of fewer would take the place of a
     * better one.
     */
    private boolean tablesSettled;

    private boolean tablesAsked;
    private boolean closed;
    private long byTable;
    private long byRoom;

    public Leader(
            EventLoop loop,
            StateStore store,
            Workers workers,
            Cloud cloud,
            Peers peers,
            Platform platform,
            Catalog catalog,
            Leadership leadership,
            Term term,
            Version leaderVersion,
            Observers observers,
            CalendarSettings calendarSettings,
            Inheritance inheritance,
            Moment noticedAt) {
        this.loop = loop;
        this.store = store;
        this.workers = workers;
        this.platform = platform;
        this.catalog = catalog;
        this.leadership = leadership;
        this.term = term;
        this.leaderVersion = leaderVersion;
        this.inheritance = inheritance;
        this.begunAt = loop.now();
        this.takeover = new Takeover(term, noticedAt, begunAt);
        this.feed = new TableFeed(term, inheritance.isWarm());
        this.snapshots =
                new TableSnapshots(store, leaderVersion, platform.txnOps(), platform.valueBytes());
        this.cluster = new Cluster(platform, term);
        this.jobs = cluster.jobs();
        this.machines = cluster.machines();
        this.aims = new Aims(platform, catalog);
        this.rooms = new RoomMaker(cluster, platform, aims);
        this.ledger = new Ledger(store, loop, platform.txnOps(), leaderVersion, observers, this);
        this.images = new ImageNotes(store, leaderVersion, platform);
        this.loading =
                new Loading(
                        this,
                        store,
                        loop,
                        cluster,
                        aims,
                        expected,
                        ledger,
                        images,
                        term,
                        leaderVersion,
                        inheritance,
                        takeover);
        this.silence = new SilenceWatch(this, cluster, platform, term, begunAt);
        this.reconciliation =
                new Reconciliation(this, cluster, images, leadership, term, inheritance, feed);
        this.detector =
                new FailureDetector(this, cluster, platform, loop, peers, leadership, begunAt);
        this.givingUp = new GivingUp(detector, platform);
        this.calendar =
                new CalendarKeeper(
                        this, cluster, aims, catalog, platform, store, loop, calendarSettings);
        this.fleet = new Fleet(this, cloud, platform, catalog, loop, term, givingUp);
    }

    /** Loads all live jobs, then begins its rounds. */
    public void start() {
        loading.start();
        calendar.start();
        fleet.start();
        loop.after(ROUND, this::round);
        if (inheritance.isWarm()) {
            loop.after(EARLY, this::early);
        }
        loop.after(HOLD_SWEEP, this::sweepHeld);
    }

    public void close() {
        List<HeldReports.Held> unanswered;
        synchronized (this) {
            closed = true;
            ledger.close();
            fleet.close();
            unanswered = new ArrayList<>(held.takeAll());
            unanswered.addAll(early.takeAll());
        }
        // Whoever leads now may renew their leases; this leader must not.
        HeldReports.sendOn(unanswered, null);
    }

    /** A job was taken in, from a user or from the records. */
    void came(Job job) {
        served.came(job.spec());
    }

    void keepUp() {
        leadership.keepUp();
    }

    @Override
    public synchronized boolean isClosed() {
        return closed;
    }

    // ---- what the ledger tells ----

    @Override
    public synchronized void ended(Job job) {
        jobs.remove(job.id());
        served.ended(
                job.spec(), job.cancelled(), (loop.wallMillis() - job.acceptedAtMillis()) / 1000.0);
        LOG.info("job {} is {}", job.id(), job.cancelled() ? "cancelled and gone" : "done");
    }

    @Override
    public void changedElsewhere(JobId id) {
        store.get(Records.job(id), Urgency.PLACEMENT)
                .whenComplete(
                        (entry, failure) -> {
                            synchronized (this) {
                                Job job = jobs.get(id);
                                if (failure != null || closed || job == null) {
                                    return;
                                }
                                if (entry.isPresent()) {
                                    loading.takeJob(
                                            entry.get().key(),
                                            entry.get().value(),
                                            entry.get().version());
                                } else {
                                    // Only our own unanswered transaction can have moved it to its
                                    // final record.
                                    ledger.endedUnanswered(job);
                                }
                                ledger.flush();
                            }
                        });
    }

    @Override
    public void deposed() {
        leadership.lost();
    }

    // ---- reports ----

    /**
     * Answers a worker's report, so that its lease is kept: at once, or a little later if it has
     * room. While this leader cannot know of all cancellations nothing is answered that would renew
     * a lease, so reports wait until it does, or for as long as they can.
     */
    public synchronized CompletableFuture<Answer> report(Report report) {
        Moment now = loop.now();
        leadership.keepUp();
        if (report.token().isAfter(term)) {
            leadership.heardOf(report.token(), null);
            return CompletableFuture.completedFuture(new Answer.Elsewhere(leadership.leader()));
        }
        if (!leadership.mayAnswer()) {
            return early.hold(report, now.plus(MOST_EARLY));
        }
        Machine machine = machine(report);
        if (machine == null) {
            // What is not known as a machine gets no orders, so its lease is not renewed either.
            return CompletableFuture.completedFuture(new Answer.Elsewhere(null));
        }
        if (!reconciliation.take(machine, report, now)) {
            return CompletableFuture.completedFuture(stale(machine, report, now));
        }
        held.drop(report.machine());
        givingUp.reported(machine, now);
        machine.answered(now);
        List<Order> orders = reconciliation.orders(machine, report, now);
        ledger.flush();
        if (orders.isEmpty()
                && leadership.mayStart()
                && machine.hasRoom()
                && cluster.usable(machine, now)) {
            return held.hold(report, now.plus(holdFor()));
        }
        return CompletableFuture.completedFuture(new Answer.Orders(term, orders));
    }

    /**
     * The answer to a report that is older than what is known. One that a direct answer has
     * overtaken renews the lease, and so its machine counts as heard; any other is a late copy, or
     * comes from a machine that has begun anew: its lease must not be renewed, for its tasks are
     * taken for lost by its silence.
     */
    private Answer stale(Machine machine, Report report, Moment now) {
        if (report.token().equals(term)
                && report.session().equals(machine.session())
                && machine.seq() - report.seq() <= MOST_OVERTAKEN) {
            machine.heard(now);
            return new Answer.Orders(term, List.of());
        }
        return new Answer.Elsewhere(null);
    }

    private Duration holdFor() {
        Duration share = Duration.ofNanos((long) (platform.reportEvery().toNanos() * HOLD_REPORTS));
        return share.compareTo(MOST_HOLD) < 0 ? share : MOST_HOLD;
    }

    private void sweepHeld() {
        List<HeldReports.Held> due;
        List<HeldReports.Held> tooEarly;
        synchronized (this) {
            if (closed) {
                return;
            }
            due = held.due(loop.now());
            tooEarly = early.due(loop.now());
        }
        loop.after(HOLD_SWEEP, this::sweepHeld);
        due.forEach(this::answer);
        tooEarly.forEach(this::sendOn);
    }

    /** Sends a worker on whose lease may not be renewed; what it reports is news all the same. */
    private void sendOn(HeldReports.Held waited) {
        synchronized (this) {
            Moment now = loop.now();
            Machine machine = closed ? null : machine(waited.report());
            takeNews(machine, waited.report(), now);
        }
        waited.answer().complete(new Answer.Elsewhere(null));
    }

    /**
     * All cancellations up to a moment are known. With the first such moment those are answered
     * whose reports waited.
     *
     * @param upTo when the request was sent whose answer showed the last of them
     */
    synchronized void knows(Moment upTo) {
        leadership.knows(term, upTo);
        if (!early.isEmpty()) {
            loop.after(Duration.ZERO, this::answerEarly);
        }
    }

    private void answerEarly() {
        List<HeldReports.Held> waiting;
        synchronized (this) {
            waiting = early.takeAll();
        }
        waiting.forEach(each -> report(each.report()).thenAccept(each.answer()::complete));
    }

    /** Answers a report that was held, with the orders that there are by now. */
    private void answer(HeldReports.Held late) {
        Answer.Orders answer;
        synchronized (this) {
            Machine machine = machines.get(late.report().machine());
            answer =
                    new Answer.Orders(
                            term,
                            closed || machine == null
                                    ? List.of()
                                    : reconciliation.orders(machine, late.report(), loop.now()));
            ledger.flush();
        }
        late.answer().complete(answer);
    }

    @Override
    public void saved(Job job) {
        List<HeldReports.Held> waiting = new ArrayList<>();
        synchronized (this) {
            for (Placement placement : job.placements()) {
                HeldReports.Held report =
                        placement.startSentSeq() < 0 && placement.committed()
                                ? held.take(placement.machine())
                                : null;
                if (report != null) {
                    waiting.add(report);
                }
            }
        }
        waiting.forEach(this::answer);
    }

    private Machine machine(Report report) {
        Machine machine = machines.get(report.machine());
        if (machine == null) {
            MachineType type = catalog.type(report.type());
            if (type == null || fleet.isGone(report.machine())) {
                return null;
            }
            machine = add(new Machine(report.machine(), type, report.zone(), report.spot()));
        }
        machine.address(report.address());
        return machine;
    }

    private Machine add(Machine machine) {
        machine.knownSince(loop.now());
        cluster.add(machine);
        images.met(machine);
        return machine;
    }

    // ---- the end of placements ----

    void exited(Machine machine, Placement placement, Cause cause, Moment now) {
        Job job = placement.job();
        int task = placement.task().index();
        if (cause == Cause.DONE) {
            job.worked();
            if (placement.runningSince() != null) {
                calendar.ran(job.spec(), now.secondsSince(placement.runningSince()));
            }
            if (job.spec().kind() == Kind.GANG) {
                // The tasks of a gang complete together, so one that is done speaks for all.
                for (int other = 0; other < job.spec().tasks(); other++) {
                    job.complete(other);
                }
            } else {
                job.complete(task);
            }
        } else if (!placement.stopping() && !job.cancelled()) {
            LOG.info(
                    "task {} attempt {} on {} exited: {}",
                    placement.task(),
                    placement.attempt(),
                    machine.id(),
                    cause);
            if (cause == Cause.ERROR || cause == Cause.UNKNOWN || cause == Cause.NO_ROOM) {
                failed(machine, job, cause, now);
            }
        }
        attemptOver(placement, cause == Cause.STOPPED ? Companion.PREEMPTED : cause.name());
        long change = remove(machine, placement, now, true);
        machine.settling()
                .put(
                        placement.task(),
                        new Machine.Settling(placement.attempt(), job.chunkOf(task), change));
        if (job.allDone()) {
            ledger.ending(job);
        }
    }

    private void failed(Machine machine, Job job, Cause cause, Moment now) {
        int failures = job.failed(machine.id());
        if (failures >= FAILURES_BEFORE_HOLD) {
            int hold = Math.min(MOST_HOLD_S, 1 << Math.min(10, failures - FAILURES_BEFORE_HOLD));
            job.holdUntil(now.plus(Duration.ofSeconds(hold)));
        } else if (cause == Cause.ERROR
                && faults.addTo(machine.id(), 1) + 1 >= FAULTY_AFTER
                && !machine.draining()) {
            LOG.info("machine {} is taken out: {} tasks failed on it", machine.id(), FAULTY_AFTER);
            machine.drain();
        }
    }

    @Override
    public void lost(Machine machine, Placement placement, String why, Moment now) {
        LOG.info(
                "task {} attempt {} on {} is lost: {}",
                placement.task(),
                placement.attempt(),
                placement.machine(),
                why);
        if (machine != null) {
            machine.lost(1);
        }
        boolean taken = machine != null && machine.noticeEndsAt() != null;
        attemptOver(placement, taken ? Companion.PREEMPTED : Companion.LOST);
        // A gang that has not begun waits on for a replacement with the attempt's number.
        remove(
                machine,
                placement,
                now,
                placement.job().hasBegun() || placement.runningSince() != null);
    }

    /** Notes the end of an attempt for those who ask about the job through another interface. */
    private void attemptOver(Placement placement, String cause) {
        Companion companion = placement.job().companion();
        if (companion != null) {
            companion.over(placement.attempt(), cause, loop.wallMillis());
        }
    }

    /** A worker has reported a task as running. */
    void began(Placement placement) {
        served.began(placement.job().spec());
        Companion companion = placement.job().companion();
        if (companion != null && companion.started(placement.attempt(), loop.wallMillis())) {
            Chunk chunk = placement.job().chunkOf(placement.task().index());
            chunk.touch();
            ledger.changed(chunk);
        }
        Job job = placement.job();
        if (job.spec().kind() == Kind.GANG && !placement.stopping() && job.waitingCount() > 0) {
            // Its other tasks were lost before this leader heard that the gang had begun, so the
            // attempt cannot be completed;
            // it would keep its machine, and the gang would wait, for ever.
            stopOthers(job, new TaskId(job.id(), job.nextWaiting(0)));
        }
    }

    /**
     * @param endsAttempt whether a gang's attempt is over with this task; its others must then be
     *     gone before the next
     */
    long remove(Machine machine, Placement placement, Moment now, boolean endsAttempt) {
        if (machine != null) {
            machine.placements().remove(placement);
        }
        Job job = placement.job();
        long change = job.remove(placement);
        job.waitingSince(now);
        ledger.changed(job.chunkOf(placement.task().index()));
        if (endsAttempt && job.spec().kind() == Kind.GANG && !job.allDone()) {
            stopOthers(job, placement.task());
        }
        if ((job.cancelled() || job.isGivenUp()) && job.placements().isEmpty()) {
            ledger.ending(job);
        }
        return change;
    }

    private void stopOthers(Job gang, TaskId lost) {
        for (Placement other : List.copyOf(gang.placements())) {
            if (!other.stopping()) {
                stop(other, 0, "its gang lost task " + lost);
            }
        }
    }

    void stopAll(Job job, double graceS, String why) {
        for (Placement placement : List.copyOf(job.placements())) {
            stop(placement, graceS, why);
        }
        if (job.placements().isEmpty()) {
            ledger.ending(job);
            ledger.flush();
        }
    }

    private void stop(Placement placement, double graceS, String why) {
        Moment now = loop.now();
        if (!placement.stopping()) {
            LOG.info(
                    "task {} attempt {} on {} is stopped: {}",
                    placement.task(),
                    placement.attempt(),
                    placement.machine(),
                    why);
        }
        placement.stop(graceS);
        Machine machine = machines.get(placement.machine());
        if (!placement.committed()) {
            // Its start was never sent and cannot be: nothing to wait for.
            remove(machine, placement, now, true);
            return;
        }
        if (machine != null && machine.address() != null) {
            send(
                    machine,
                    placement.session(),
                    List.of(Order.stop(placement.task(), placement.attempt(), graceS)));
        }
    }

    @Override
    public void send(Machine machine, Session session, List<Order> orders) {
        Session knownSession = machine.session();
        long knownSeq = machine.seq();
        workers.send(machine.address(), term, session, orders)
                .whenComplete(
                        (report, failure) -> {
                            if (failure == null) {
                                direct(report, machine, knownSession, knownSeq);
                            }
                        });
    }

    /**
     * A report that answers a direct command: news as good as any, but it renews no lease.
     *
     * @param knownSession of the machine that was asked, when it was, or null
     * @param knownSeq the number of its latest report then
     */
    private synchronized void direct(
            Report report, Machine asked, Session knownSession, long knownSeq) {
        if (closed) {
            return;
        }
        if (report.token().isAfter(term)) {
            leadership.heardOf(report.token(), null);
            return;
        }
        Moment now = loop.now();
        Machine machine = machine(report);
        if (machine == asked
                && knownSession != null
                && !report.isNewerThan(knownSession, knownSeq)) {
            begunAnew(machine, now);
        } else {
            takeNews(machine, report, now);
        }
    }

    /**
     * Takes in a report that renews no lease, unless it is of no machine known here or older than
     * what is known.
     */
    private void takeNews(Machine machine, Report report, Moment now) {
        if (machine != null && reconciliation.take(machine, report, now)) {
            givingUp.reported(machine, now);
            machine.heard(now);
            ledger.flush();
        }
    }

    /**
     * A machine answered after it was asked, with a number below one that it had shown before:
     * numbers only grow, so it is in another life. Its reports cannot be told from late copies of
     * its other life's, and which of its tasks are of which life is not known either, so it is
     * returned, which proves all of them gone. Without this all its reports counted as copies, it
     * as silent, and a leader most of whose machines were back in this way as deaf.
     */
    private static void begunAnew(Machine machine, Moment now) {
        if (!machine.begunAnew()) {
            LOG.info("machine {} has begun anew and is to be returned", machine.id());
            machine.beginsAnew();
        }
        machine.heard(now);
    }

    // ---- rounds ----

    private void round() {
        synchronized (this) {
            if (closed) {
                return;
            }
            loop.after(ROUND, this::round);
            if (!loading.isDone()) {
                return;
            }
            Moment now = loop.now();
            leadership.keepUp();
            detector.round(now);
            silence.round(now);
            if (mayDecide(now)) {
                place(now);
            }
            served.account(jobs.values(), now, loop.wallMillis(), job -> cluster.waitsFor(job, now))
                    .forEach(LOG::info);
            ledger.flush();
            images.write(machines.values(), now);
            if (tablesSettled && leadership.mayStart()) {
                snapshots.write(
                        () -> TableFeed.all(cluster.machines(), cluster.risks(), now),
                        ledger.backlog() == 0,
                        now,
                        loop.wallMillis());
            }
        }
        detector.act();
        fleet.act();
    }

    /**
     * The first round of a warm leader, as soon as it may decide; its other rounds come every
     * second from its begin.
     */
    private void early() {
        synchronized (this) {
            if (closed) {
                return;
            }
            Moment now = loop.now();
            if (loading.isDone() && !begun && mayDecide(now)) {
                place(now);
                ledger.flush();
            }
            if (!begun) {
                loop.after(EARLY, this::early);
            }
            if (!loading.isDone() || tablesAsked) {
                return;
            }
            tablesAsked = true;
            tablesSettled = !inheritance.lacksTables();
        }
        if (!tablesSettled()) {
            readNotedTables();
        }
    }

    private void readNotedTables() {
        TableSnapshots.read(store, loop)
                .whenComplete(
                        (read, failure) -> {
                            if (failure != null) {
                                if (!isClosed()) {
                                    loop.after(READ_AGAIN, this::readNotedTables);
                                }
                                return;
                            }
                            synchronized (this) {
                                read.ifPresent(snapshot -> inheritance.noted(snapshot, loop.now()));
                            }
                            handOverNoted();
                        });
    }

    private synchronized boolean tablesSettled() {
        return tablesSettled;
    }

    /** Hands over what was noted in the state service, some tables at a time. */
    private void handOverNoted() {
        synchronized (this) {
            leadership.keepUp();
            if (closed) {
                return;
            }
            if (inheritance.handOverNoted(machines, cluster.risks(), loop.now())) {
                loop.after(EARLY, this::handOverNoted);
            } else {
                tablesSettled = true;
                LOG.info(
                        "{} tables of machines were noted in the state service and go on",
                        inheritance.tables());
            }
        }
    }

    /**
     * Whether a round may decide: for the first one all checks hold, for later ones those that can
     * fail again.
     */
    private boolean mayDecide(Moment now) {
        if (begun) {
            return mayAct() && calendar.isReady();
        }
        Set<FirstDecision.Check> failing =
                FirstDecision.failing(
                        new FirstDecision.Facts(
                                leadership.mayStart(),
                                term,
                                leadership.highest(),
                                leaderVersion,
                                loading.revision(),
                                !catalog.isEmpty(),
                                calendar.isReady(),
                                detector.hearing() != Deafness.Hearing.DEAF,
                                heard(),
                                needed(now)));
        takeover.waitsFor(failing);
        begun = failing.isEmpty();
        return begun;
    }

    private int heard() {
        return (int)
                machines.values().stream().filter(machine -> machine.heardAt() != null).count();
    }

    /**
     * Machines whose reports the first round needs; what then is only placed, and not rented or
     * made room for.
     */
    private int needed(Moment now) {
        if (hasGathered(now)) {
            return 0;
        }
        int awaited = inheritance.awaited(now);
        return awaited == 0 ? Integer.MAX_VALUE : (int) Math.ceil(ENOUGH * (awaited + heard()));
    }

    /**
     * Whether to place, stop, rent and return: the lease certainly holds, and the workers are
     * heard. To a deaf leader everything that waits seems to lack room, and what it would do about
     * it comes too early or hits what is healthy.
     */
    @Override
    public synchronized boolean mayAct() {
        return leadership.mayStart() && detector.hearing() != Deafness.Hearing.DEAF;
    }

    /** Whether what is silent is so for its own reasons, as far as can be told. */
    @Override
    public synchronized boolean hearsWell() {
        return detector.hearing() == Deafness.Hearing.GOOD;
    }

    @Override
    public synchronized boolean isSilent(Machine machine, Moment now) {
        return detector.isLate(machine, now);
    }

    /** Some workers' addresses, to see later whether this node hears them again. */
    synchronized List<String> someAddresses(int most) {
        return machines.values().stream()
                .map(Machine::address)
                .filter(Objects::nonNull)
                .limit(most)
                .toList();
    }

    /**
     * Whether a full round of reports is in, so that placements, rentals and stops are not decided
     * from the few machines that happened to report first. What was listed but is silent is not
     * waited for any longer.
     */
    private boolean hasGathered(Moment now) {
        if (!gathered) {
            double reportS = platform.reportEvery().toNanos() / 1e9;
            gathered =
                    now.secondsSince(begunAt) > reportS * LATEST_REPORT + NEXT_NODE_S
                            || listed && nearlyAllHeard();
        }
        return gathered;
    }

    private boolean nearlyAllHeard() {
        return heard() >= NEARLY_ALL * (machines.size() + cluster.unseen().size());
    }

    /** Stops a task so that it can save what it did. */
    @Override
    public void stopSaving(Placement placement, String why) {
        Job job = placement.job();
        if (job.spec().kind() == Kind.GANG) {
            // An orderly stop saves only if all tasks hear of it together.
            for (Placement each : List.copyOf(job.placements())) {
                stop(each, job.spec().saveS(), why);
            }
        } else {
            stop(placement, job.spec().saveS(), why);
        }
    }

    private void place(Moment now) {
        boolean full = hasGathered(now);
        calendar.look(now);
        Snapshot snapshot = new Snapshot(cluster, platform, aims, now);
        Map<Boolean, List<PlacementRound.Waiting>> byIdle =
                snapshot.waiting().stream()
                        .collect(
                                Collectors.partitioningBy(
                                        waiting -> waiting.spec().priority() == Priority.LOW));
        PlacementRound.Outcome outcome =
                PlacementRound.run(
                        snapshot.seats(), snapshot.shares(), byIdle.get(false), mostJobs());
        carryOut(outcome.decisions(), now);
        List<Fleet.Need> likelyNeeds = new ArrayList<>();
        Set<MachineId> reserved = full ? reserve(snapshot, likelyNeeds, now) : Set.of();
        // Idle work takes what neither others nor those that are likely to come need: it would soon
        // be stopped again.
        PlacementRound.Outcome idleOutcome =
                PlacementRound.run(
                        snapshot.seats(),
                        snapshot.shares(),
                        byIdle.get(true),
                        Math.max(0, recordsInRound() - ledger.backlog()));
        carryOut(idleOutcome.decisions(), now);
        if (!takeover.isTold()) {
            takeover.firstRound(
                    heard(),
                    needed(now),
                    outcome.decisions().size() + idleOutcome.decisions().size(),
                    now);
        }
        if (!full) {
            // From some of the machines it cannot be told what lacks room: nothing is rented,
            // stopped or given up for it.
            return;
        }
        takeover.fullRound(inheritance.tables(), now);
        List<Fleet.Need> needs = new ArrayList<>();
        int preempting = 0;
        int makingRoom = 0;
        long idle = idleTasks();
        for (PlacementRound.Waiting waiting : snapshot.waiting()) {
            Integer count =
                    (waiting.spec().priority() == Priority.LOW ? idleOutcome : outcome)
                            .unplaced()
                            .get(waiting.spec().id());
            if (count == null) {
                continue;
            }
            Job job = jobs.get(waiting.spec().id());
            if (idle > 0 && makingRoom < MOST_MAKING_ROOM) {
                List<Placement> victims = rooms.idleVictims(job, waiting.zones(), count, now);
                if (!victims.isEmpty()) {
                    victims.forEach(
                            victim -> stopSaving(victim, "idle work gives way to " + job.id()));
                    job.roomMadeAt(now);
                    idle -= victims.size();
                    makingRoom++;
                }
            }
            needs.add(
                    new Fleet.Need(
                            job.spec(),
                            count,
                            onlyZone(waiting),
                            (loop.wallMillis() - job.acceptedAtMillis()) / 1000.0));
            giveUpIncomplete(job, now);
            if (preempting < MOST_PREEMPTING) {
                List<Placement> victims =
                        rooms.victims(job, waiting.zones(), snapshot.isGuaranteed(job.id()), now);
                victims.forEach(victim -> stopSaving(victim, "room is needed for " + job.id()));
                if (!victims.isEmpty()) {
                    job.roomMadeAt(now);
                    preempting++;
                }
            }
        }
        calendar.carryOut(now);
        needs.addAll(likelyNeeds);
        reserved.addAll(cluster.outlook().kept());
        needs.addAll(calendar.needs());
        fleet.needs(needs, reserved);
    }

    /** Notes what a round decided; the starts go out once their records are written. */
    private void carryOut(List<PlacementRound.Decision> decisions, Moment now) {
        Map<JobId, Attempt> attempts = new HashMap<>();
        for (PlacementRound.Decision decision : decisions) {
            Job job = jobs.get(decision.spec().id());
            Machine machine = machines.get(decision.machine());
            Attempt attempt =
                    job.spec().kind() == Kind.GANG
                            ? attempts.computeIfAbsent(job.id(), unused -> job.gangAttempt())
                            : job.nextAttempt(decision.task());
            Placement placement =
                    job.place(decision.task(), attempt, machine.id(), machine.session(), now);
            if (job.companion() != null) {
                job.companion().placed(attempt, machine.id(), loop.wallMillis());
            }
            machine.placements().add(placement);
            machine.idleSince(null);
            ledger.changed(job.chunkOf(decision.task()));
            if (decision.byTable()) {
                byTable++;
            } else {
                byRoom++;
            }
            LOG.debug(
                    "task {} attempt {} goes to {} by {}",
                    placement.task(),
                    attempt,
                    machine.id(),
                    decision.byTable() ? "risk" : "room");
        }
        if (!decisions.isEmpty()) {
            LOG.info(
                    "placed {} tasks; so far {} by risk, {} by room alone",
                    decisions.size(),
                    byTable,
                    byRoom);
        }
    }

    /**
     * Looks for room for the jobs that are likely to come, after all that wait but idle work; what
     * finds none is rented for. Returns the machines that it would take, which are not to be
     * returned.
     */
    private Set<MachineId> reserve(Snapshot left, List<Fleet.Need> needs, Moment now) {
        List<PlacementRound.Waiting> likely = new ArrayList<>();
        for (JobSpec spec : expected.likely(now)) {
            int[] tasks = new int[spec.tasks()];
            likely.add(
                    new PlacementRound.Waiting(spec, tasks, new Object2IntOpenHashMap<>(), true));
        }
        PlacementRound.Outcome outcome =
                PlacementRound.run(left.seats(), left.shares(), likely, likely.size());
        Set<MachineId> reserved = new HashSet<>();
        outcome.decisions().forEach(decision -> reserved.add(decision.machine()));
        for (PlacementRound.Waiting job : likely) {
            Integer count = outcome.unplaced().get(job.spec().id());
            if (count != null) {
                needs.add(new Fleet.Need(job.spec(), count, job.spec().zone(), 0));
            }
        }
        return reserved;
    }

    /** Jobs to place in a round: what a round decides should be written before the next one. */
    private int mostJobs() {
        return Math.max(0, recordsInRound() - ledger.pressingBacklog());
    }

    /** Tasks of the lowest priority that may be running, and could make room. */
    private long idleTasks() {
        return jobs.values().stream()
                .filter(job -> job.spec().priority() == Priority.LOW)
                .mapToLong(job -> job.placements().size())
                .sum();
    }

    private int recordsInRound() {
        return (int) (platform.stateWriteRps() * ROUND.toSeconds());
    }

    /** The zone that a job with tasks in place is bound to, or null. */
    private static String onlyZone(PlacementRound.Waiting job) {
        return job.spec().oneZone() && !job.zones().isEmpty()
                ? job.zones().keySet().iterator().next()
                : job.spec().zone();
    }

    /**
     * Ends an attempt of a gang that no replacement was found for, so that it does not hold its
     * machines.
     */
    private void giveUpIncomplete(Job job, Moment now) {
        if (job.spec().kind() == Kind.GANG
                && now.since(job.waitingSince()).compareTo(platform.gangWait()) > 0) {
            int missing = job.nextWaiting(0);
            stopOthers(job, new TaskId(job.id(), missing));
        }
    }

    // ---- for the fleet ----

    @Override
    public synchronized List<Machine> machineList() {
        return List.copyOf(machines.values());
    }

    @Override
    public synchronized double readyS(JobSpec spec) {
        return aims.readyS(spec);
    }

    @Override
    public synchronized boolean isOut(String type, String zone) {
        return cluster.outlook().isOut(type, zone);
    }

    @Override
    public synchronized double largestImageGb() {
        return aims.largestImageGb();
    }

    @Override
    public synchronized boolean isLoaded() {
        return loading.isDone();
    }

    /**
     * Takes in what the cloud lists: machines not yet heard of, their addresses, and failed ones.
     */
    @Override
    public synchronized void listed(List<Cloud.Listed> list) {
        listed = true;
        Moment now = loop.now();
        detector.listed(now);
        for (Cloud.Listed item : list) {
            Machine machine = machines.get(item.id());
            if (machine == null
                    && item.phase() == Cloud.Phase.RUNNING
                    && catalog.type(item.type()) != null) {
                machine =
                        add(
                                new Machine(
                                        item.id(),
                                        catalog.type(item.type()),
                                        item.zone(),
                                        item.spot()));
            }
            if (machine != null) {
                machine.listed(now);
                if (machine.address() == null) {
                    machine.address(item.address());
                }
                if (item.phase() == Cloud.Phase.FAILED) {
                    machine.drain();
                }
            }
            if (item.phase() == Cloud.Phase.FAILED) {
                gone(item.id(), "the cloud lists its machine as failed", false);
            }
        }
    }

    /** Takes a machine, and all that was on it, as gone. */
    @Override
    public synchronized void gone(MachineId id, String why, boolean forget) {
        Moment now = loop.now();
        Machine machine = machines.get(id);
        List<Placement> placements =
                machine != null
                        ? List.copyOf(machine.placements())
                        : cluster.unseen().getOrDefault(id, List.of());
        for (Placement placement : List.copyOf(placements)) {
            lost(machine, placement, why, now);
        }
        cluster.unseen().remove(id);
        if (machine != null) {
            machine.strays().clear();
            if (forget) {
                machines.remove(id);
                cluster.risks().remove(id);
                silence.forget(id);
                faults.removeInt(id);
            }
        }
        ledger.flush();
    }

    // ---- for standbys ----

    /**
     * What the tables have come to know since a standby last asked; empty until the records are in.
     */
    synchronized Optional<TableDelta> tables(TableQuestion asked) {
        if (closed || !loading.isDone() || !inheritance.isWarm()) {
            return Optional.empty();
        }
        members.seen(asked.from(), loop.now());
        return Optional.of(feed.answer(asked, cluster.machines(), cluster.risks(), loop.now()));
    }

    synchronized Optional<Digests> digests() {
        if (closed || !loading.isDone()) {
            return Optional.empty();
        }
        Digests digests = new Digests();
        jobs.values().forEach(job -> Records.digest(job, digests));
        return Optional.of(digests);
    }

    /** The standby that could take over best, as far as is known. */
    synchronized Optional<String> heir() {
        return members.heir(Records.SCHEMA, loop.now());
    }

    /** Counts of a live job for display; empty when it is not known here. */
    public synchronized Optional<Admission.JobState> counts(JobId id) {
        Job job = jobs.get(id);
        if (job == null || !loading.isDone()) {
            return Optional.empty();
        }
        int running = 0;
        for (Placement placement : job.placements()) {
            if (placement.state() == TaskState.RUNNING) {
                running++;
            }
        }
        return Optional.of(
                new Admission.JobState(
                        id,
                        running > 0 ? Admission.Phase.RUNNING : Admission.Phase.QUEUED,
                        job.doneCount(),
                        running));
    }
}
