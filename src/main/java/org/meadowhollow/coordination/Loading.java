package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.Job;
import org.meadowhollow.bookkeeping.JobId;
import org.meadowhollow.bookkeeping.Ledger;
import org.meadowhollow.bookkeeping.Moment;
import org.meadowhollow.bookkeeping.Placement;
import org.meadowhollow.bookkeeping.RecordImage;
import org.meadowhollow.bookkeeping.Records;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.coordination.placement.Aims;
import org.meadowhollow.coordination.placement.Cluster;
import org.meadowhollow.coordination.placement.Expected;
import org.meadowhollow.coordination.succession.Inheritance;
import org.meadowhollow.coordination.succession.Takeover;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what the state service holds into a new leader's memory, page by page, and then follows
 * what users change. Guarded by the leader's lock.
 */
final class Loading {
    private static final Logger LOG = LoggerFactory.getLogger(Loading.class);
    private static final Duration RETRY = Duration.ofMillis(500);

    /**
     * A watch's answer shows that all was known up to when the watch was sent. Its length is
     * therefore how old that is at most, which is taken off the time for which workers are answered
     * in an outage.
     */
    private static final Duration WATCH = Duration.ofSeconds(1);

    /**
     * How long watches may fail, while other calls may be answered, before all jobs are read
     * instead.
     */
    private static final Duration BLIND = Duration.ofSeconds(6);

    private final Leader leader;
    private final StateStore store;
    private final EventLoop loop;
    private final Cluster cluster;
    private final Aims aims;
    private final Expected expected;
    private final Ledger ledger;
    private final ImageNotes images;
    private final Term term;
    private final Version keyTakenAt;
    private final Inheritance inheritance;
    private final Takeover takeover;
    private int records;
    private Version revision;
    private boolean loaded;

    /** When the last look that was answered was begun. */
    private Moment lookedAt;

    Loading(
            Leader leader,
            StateStore store,
            EventLoop loop,
            Cluster cluster,
            Aims aims,
            Expected expected,
            Ledger ledger,
            ImageNotes images,
            Term term,
            Version keyTakenAt,
            Inheritance inheritance,
            Takeover takeover) {
        this.leader = leader;
        this.store = store;
        this.loop = loop;
        this.cluster = cluster;
        this.aims = aims;
        this.expected = expected;
        this.ledger = ledger;
        this.images = images;
        this.term = term;
        this.keyTakenAt = keyTakenAt;
        this.inheritance = inheritance;
        this.takeover = takeover;
    }

    /** Takes the records in that this node has followed, or else reads them page by page. */
    void start() {
        if (!inheritance.isWarm()) {
            loadJobs(this::loadTasks);
            return;
        }
        inheritance
                .records(keyTakenAt)
                .thenAccept(
                        images -> {
                            synchronized (leader) {
                                if (leader.isClosed()) {
                                    return;
                                }
                                if (images.isEmpty()) {
                                    LOG.info(
                                            "term {} reads all records: what was followed here does not reach to its key",
                                            term);
                                    loadJobs(this::loadTasks);
                                } else {
                                    take(images.get());
                                }
                            }
                        });
    }

    private void take(Map<String, RecordImage> followed) {
        RecordImage jobs = followed.get(Records.JOBS);
        jobs.entries().forEach(entry -> takeJob(entry.key(), entry.value(), entry.version()));
        leader.keepUp();
        takeTasks(followed.get(Records.TASKS).entries());
        leader.keepUp();
        takeImages(List.copyOf(followed.get(Records.IMAGES).entries()));
        followed.values().forEach(image -> records += image.size());
        loaded(
                jobs.revision(),
                "the image",
                followed.values().stream()
                        .map(RecordImage::revision)
                        .min(Comparator.comparingLong(Version::value))
                        .orElseThrow());
    }

    /** The revision up to which all is in, or null before that. */
    Version revision() {
        return revision;
    }

    /** Whether all that a predecessor wrote is known. */
    boolean isDone() {
        return loaded;
    }

    /**
     * Reads all records under a prefix, page by page, then goes on with the revision of the first
     * page.
     */
    private void read(
            String prefix,
            String after,
            Version first,
            Consumer<List<StateStore.Entry>> take,
            Consumer<Version> then) {
        store.list(prefix, after, Urgency.PLACEMENT)
                .whenComplete(
                        (page, failure) -> {
                            synchronized (leader) {
                                if (leader.isClosed()) {
                                    return;
                                }
                                if (failure != null) {
                                    loop.after(RETRY, () -> read(prefix, after, first, take, then));
                                    return;
                                }
                                records += page.entries().size();
                                take.accept(page.entries());
                                leader.keepUp();
                                Version from = first == null ? page.revision() : first;
                                if (page.more()) {
                                    read(
                                            prefix,
                                            page.entries().get(page.entries().size() - 1).key(),
                                            from,
                                            take,
                                            then);
                                } else {
                                    then.accept(from);
                                }
                            }
                        });
    }

    private void loadJobs(Consumer<Version> then) {
        read(
                Records.JOBS,
                null,
                null,
                jobRecords ->
                        jobRecords.forEach(
                                entry -> takeJob(entry.key(), entry.value(), entry.version())),
                then);
    }

    private void loadTasks(Version watchFrom) {
        read(Records.TASKS, null, null, this::takeTasks, unused -> loadImages(watchFrom));
    }

    private void takeTasks(Collection<StateStore.Entry> tasks) {
        for (StateStore.Entry entry : tasks) {
            if (!Records.load(entry, cluster.jobs(), loop.now())) {
                ledger.leftover(entry.key());
            }
        }
    }

    private void loadImages(Version watchFrom) {
        read(
                Records.IMAGES,
                null,
                null,
                this::takeImages,
                unused -> loaded(watchFrom, "pages", watchFrom));
    }

    private void takeImages(List<StateStore.Entry> notes) {
        images.load(notes, loop.now());
        cluster.machines().values().forEach(images::met);
    }

    /**
     * @param from what the records were taken from
     * @param reached the revision up to which all is in
     */
    private void loaded(Version watchFrom, String from, Version reached) {
        int placed = 0;
        for (Job job : cluster.jobs().values()) {
            ledger.restored(job);
            for (Placement placement : job.placements()) {
                cluster.restore(placement);
                placed++;
            }
            if (job.cancelled()) {
                leader.stopAll(job, 0, "its user cancelled the job");
            } else if (job.allDone()) {
                // The predecessor noted the end of the last attempt but did not get to write the
                // job's end.
                ledger.ending(job);
            }
        }
        loaded = true;
        revision = reached;
        takeover.recordsIn(from, records, loop.now());
        LOG.info(
                "term {} has loaded {} jobs with {} tasks that may be running",
                term,
                cluster.jobs().size(),
                placed);
        look(watchFrom);
    }

    /** Asks for what has changed by now, which is answered at once, and goes on to watch. */
    private void look(Version after) {
        watch(after, Duration.ZERO);
    }

    private void watch(Version after, Duration wait) {
        Moment sentAt = loop.now();
        if (lookedAt == null) {
            lookedAt = sentAt;
        }
        store.watch(Records.JOBS, after, wait)
                .whenComplete(
                        (changes, failure) -> {
                            synchronized (leader) {
                                if (leader.isClosed()) {
                                    return;
                                }
                                if (failure == null && after.isAfter(changes.revision())) {
                                    LOG.info(
                                            "the state service shows changes up to {}, and has shown {}: not taken in",
                                            changes.revision(),
                                            after);
                                    loop.after(RETRY, () -> look(after));
                                } else if (failure == null) {
                                    for (StateStore.Change change : changes.changes()) {
                                        if (change.value() != null) {
                                            takeJob(change.key(), change.value(), change.version());
                                        }
                                    }
                                    lookedAt = sentAt;
                                    leader.knows(sentAt);
                                    watch(changes.revision(), WATCH);
                                } else if (StateException.of(failure) == Outcome.TOO_OLD
                                        || isBlind(sentAt)) {
                                    Moment begun = loop.now();
                                    lookedAt = begun;
                                    loadJobs(
                                            from -> {
                                                leader.knows(begun);
                                                look(from);
                                            });
                                } else {
                                    loop.after(RETRY, () -> look(after));
                                }
                            }
                        });
    }

    /**
     * Whether other calls are answered, but watches have not been for long: their answer may be too
     * large to take.
     */
    private boolean isBlind(Moment now) {
        return !store.seemsOut() && now.since(lookedAt).compareTo(BLIND) > 0;
    }

    void takeJob(String key, Map<String, Object> record, Version version) {
        JobId id = Records.jobOfKey(key);
        Job job = cluster.jobs().get(id);
        Moment now = loop.now();
        if (job == null) {
            job = Records.job(id, record, version, now);
            job.waitingSince(now);
            cluster.jobs().put(id, job);
            aims.note(job.spec());
            leader.came(job);
            LOG.info(
                    "job {}: {} of {} tasks of about {} s for team {}, class {}, due in {} s",
                    id,
                    job.spec().kind(),
                    job.spec().tasks(),
                    job.spec().estimateS(),
                    job.spec().team(),
                    job.spec().jobClass(),
                    job.spec().deadlineS());
            if (aims.needsReserve(job.spec())) {
                long ageMillis = Math.max(0, loop.wallMillis() - job.acceptedAtMillis());
                expected.came(
                        job.spec(),
                        new Moment(now.nanos() - ageMillis * 1_000_000),
                        Duration.ofMillis((long) (aims.readyS(job.spec()) * 1000)));
            }
            if (job.cancelled() && loaded) {
                // Taken in and cancelled between two looks: there is nothing to stop, but its end
                // is still to be written.
                ledger.ending(job);
                ledger.flush();
            }
            return;
        }
        if (!version.isAfter(job.version())) {
            return;
        }
        job.version(version);
        if (Records.isCancelled(record) && !job.cancelled()) {
            job.cancel(now);
            leader.stopAll(job, 0, "its user cancelled the job");
        }
    }
}
