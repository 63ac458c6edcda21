package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.bookkeeping.Cause;
import org.meadowhollow.bookkeeping.Kind;
import org.meadowhollow.bookkeeping.Machine;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Order;
import org.meadowhollow.bookkeeping.Placement;
import org.meadowhollow.bookkeeping.Report;
import org.meadowhollow.bookkeeping.TaskId;
import org.meadowhollow.bookkeeping.TaskState;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.coordination.placement.Cluster;
import org.meadowhollow.coordination.succession.Inheritance;
import org.meadowhollow.coordination.succession.TableFeed;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares what a worker reports with what the records say, and finds the orders that bring them
 * together. Guarded by the leader's lock.
 */
final class Reconciliation {
    private static final Logger LOG = LoggerFactory.getLogger(Reconciliation.class);

    /** Orders in one answer; keeps it below the protocol's 64 KiB. */
    private static final int MOST_ORDERS = 400;

    private final Leader leader;
    private final Cluster cluster;
    private final ImageNotes images;
    private final Leadership leadership;
    private final Term term;
    private final Inheritance inheritance;
    private final TableFeed feed;

    Reconciliation(
            Leader leader,
            Cluster cluster,
            ImageNotes images,
            Leadership leadership,
            Term term,
            Inheritance inheritance,
            TableFeed feed) {
        this.leader = leader;
        this.cluster = cluster;
        this.images = images;
        this.leadership = leadership;
        this.term = term;
        this.inheritance = inheritance;
        this.feed = feed;
    }

    /** Takes a report's news in; false if it is older than what is known. */
    boolean take(Machine machine, Report report, Moment now) {
        if (machine.session() != null && !report.isNewerThan(machine.session(), machine.seq())) {
            return false;
        }
        if (machine.session() == null) {
            inheritance
                    .table(report, now)
                    .ifPresent(table -> cluster.risks().put(machine.id(), table));
        }
        machine.reported(report);
        if (!leader.isLoaded()) {
            return true;
        }
        if (!Double.isNaN(report.noticeS()) && machine.noticeEndsAt() == null) {
            machine.noticeEndsAt(now.plus(Duration.ofMillis((long) (report.noticeS() * 1000))));
            LOG.info("machine {} will be taken back in {} s", machine.id(), report.noticeS());
            machine.drain();
        }
        Map<TaskId, Report.Task> listed = new HashMap<>();
        for (Report.Task task : report.tasks()) {
            listed.put(task.id(), task);
        }
        for (Placement placement : List.copyOf(machine.placements())) {
            Report.Task task = listed.get(placement.task());
            if (report.session().isAfter(placement.session())) {
                if (!report.token().equals(term)) {
                    // It may be a copy from before a machine that is back began its sessions anew;
                    // the next one will tell.
                    continue;
                }
                leader.lost(machine, placement, "the worker's lease ran out", now);
            } else if (placement.session().isAfter(report.session())) {
                if (report.token().equals(term) && report.seq() > placement.startSentSeq()) {
                    // It shows our token, so it was sent after the session of the record was seen,
                    // and sessions only grow: the
                    // machine has begun anew. Without this its task would be waited for, and its
                    // job with it, for ever.
                    leader.lost(machine, placement, "its machine has begun anew", now);
                }
                // Otherwise it is a copy from before the placement: the same attempt of a gang may
                // have ended here then.
            } else if (task != null && task.attempt().equals(placement.attempt())) {
                if (task.state() == TaskState.EXITED && isOver(placement, task.cause(), report)) {
                    leader.exited(machine, placement, task.cause(), now);
                } else {
                    if (placement.state() != task.state()) {
                        LOG.debug("task {} on {} is {}", task.id(), machine.id(), task.state());
                    }
                    placement.state(task.state(), now);
                    if (task.state() == TaskState.RUNNING) {
                        leader.began(placement);
                    }
                    if (task.state() != TaskState.FETCHING && task.state() != TaskState.EXITED) {
                        images.has(
                                machine,
                                placement.job().spec().image(),
                                placement.job().spec().imageGb());
                    }
                }
            }
        }
        machine.strays().clear();
        for (Report.Task task : report.tasks()) {
            if (task.state() != TaskState.EXITED && placementOf(machine, task) == null) {
                machine.strays().add(task.id());
            }
        }
        machine.settling().keySet().removeIf(task -> !listed.containsKey(task));
        int sample =
                cluster.risks()
                        .get(machine.id())
                        .add(
                                machine.placements().size(),
                                machine.booked().shareOf(machine.type().room()),
                                machine.takeLost(),
                                now);
        feed.sampled(machine, sample, now);
        return true;
    }

    private static Placement placementOf(Machine machine, Report.Task task) {
        for (Placement placement : machine.placements()) {
            if (placement.task().equals(task.id()) && placement.attempt().equals(task.attempt())) {
                return placement;
            }
        }
        return null;
    }

    List<Order> orders(Machine machine, Report report, Moment now) {
        List<Order> orders = new ArrayList<>();
        Map<TaskId, Report.Task> listed = new HashMap<>();
        // All that is listed counts as listed, however many orders there is room for: what seems
        // not to be there is let go.
        report.tasks().forEach(task -> listed.put(task.id(), task));
        for (Report.Task task : report.tasks()) {
            if (orders.size() >= MOST_ORDERS) {
                break;
            }
            Placement placement = placementOf(machine, task);
            if (placement != null) {
                if (placement.stopping()
                        && (task.state() != TaskState.SAVING || placement.graceS() == 0)) {
                    orders.add(Order.stop(task.id(), task.attempt(), placement.graceS()));
                } else if (task.state() == TaskState.EXITED
                        && mayStart(placement, machine, report)) {
                    // It gave up waiting for its gang, whose fetches go on; its record stands, so
                    // it may wait anew.
                    placement.startSent(report.seq());
                    orders.add(Order.forget(task.id(), task.attempt()));
                    orders.add(Order.start(task.id(), task.attempt()));
                }
            } else if (task.state() != TaskState.EXITED) {
                // Nobody's record knows of it, so nobody would ever stop it or count it.
                orders.add(Order.stop(task.id(), task.attempt(), 0));
            } else {
                Machine.Settling settling = machine.settling().get(task.id());
                if (settling == null
                        || !settling.attempt().equals(task.attempt())
                        || settling.isSaved()) {
                    orders.add(Order.forget(task.id(), task.attempt()));
                }
            }
        }
        for (Placement placement : List.copyOf(machine.placements())) {
            Report.Task task = listed.get(placement.task());
            if (task != null && task.attempt().equals(placement.attempt())) {
                continue;
            }
            if (placement.stopping() || placement.job().cancelled()) {
                if (neverStarts(placement, machine, report)) {
                    leader.remove(machine, placement, now, true);
                }
            } else if (orders.size() < MOST_ORDERS && mayStart(placement, machine, report)) {
                placement.startSent(report.seq());
                orders.add(Order.start(placement.task(), placement.attempt()));
            }
        }
        return orders;
    }

    /**
     * Whether a placement that a report does not list can never start any more. A start goes out
     * only in the answer to a report, and a worker has one report in flight at a time; so a later
     * report without the task proves that no answer with its start will be heeded, once the worker
     * has shown our token, which shuts out the answers of earlier leaders.
     */
    private boolean neverStarts(Placement placement, Machine machine, Report report) {
        return report.token().equals(term)
                && report.session().equals(placement.session())
                && report.seq() > placement.startSentSeq()
                && machine.heardAt() != null;
    }

    /**
     * Whether the answer to a report may start a placement. Not in another session than that which
     * it was placed in: the next report would prove that session over, and the task just started
     * would be one that no record knows of.
     */
    private boolean mayStart(Placement placement, Machine machine, Report report) {
        return leadership.maySendStarts()
                && placement.committed()
                && !machine.releasing()
                && placement.session().equals(report.session())
                && wholeGangCommitted(placement);
    }

    /**
     * Whether an exit that a report of the placement's session lists is its end. One that only lost
     * patience with its gang is started anew in the same attempt, for images differ by more than a
     * gang's patience, and ending the attempt would give up the fetches of all its other tasks.
     * Where it is not wanted any more, its exit is proof only if nobody can have taken it back: an
     * old report that reached the next leader first let a cancelled gang end while it ran.
     */
    private boolean isOver(Placement placement, Cause cause, Report report) {
        if (cause != Cause.ALONE) {
            return true;
        }
        return (placement.stopping() || placement.job().cancelled())
                && report.token().equals(term)
                && report.seq() > placement.startSentSeq();
    }

    private static boolean wholeGangCommitted(Placement placement) {
        if (placement.job().spec().kind() != Kind.GANG) {
            return true;
        }
        for (Placement other : placement.job().placements()) {
            if (!other.committed()) {
                return false;
            }
        }
        return placement.job().placements().size() == placement.job().spec().tasks();
    }
}
