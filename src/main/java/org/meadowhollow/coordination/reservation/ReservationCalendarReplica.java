package org.meadowhollow.coordination.reservation;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.CalendarRecordCodec;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;

/**
 * The leader's replica of the calendar, and the plan that is computed from it. The calendar is read
 * once and then kept up to date by a watch. The plan is recomputed only when the calendar has
 * changed or much of the span of the plan is past. The state is guarded by this object's lock;
 * store requests are made without the lock.
 */
public final class ReservationCalendarReplica {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    /**
     * How far the plan reaches back: occurrences that are past by one clock may not be past yet by
     * another.
     */
    private static final Duration PLAN_LOOKBACK = Duration.ofMinutes(10);

    /** How far the plan reaches ahead: well beyond the time for which capacity is held. */
    private static final Duration PLAN_LOOKAHEAD = Duration.ofHours(6);

    private static final Duration REPLAN_INTERVAL = Duration.ofHours(1);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final BooleanSupplier leadershipEnded;

    @GuardedBy("this")
    private final Map<String, KeyValueStore.Entry> entries = new TreeMap<>();

    @GuardedBy("this")
    private boolean loaded;

    /** The last computed plan; null if it has to be computed again. */
    @GuardedBy("this")
    private ReservationPlan plan;

    @GuardedBy("this")
    private long plannedAtWallMillis;

    /**
     * Creates a replica that has not been loaded.
     *
     * @param leadershipEnded returns true when the replica is no longer needed; it then stops
     *     reading
     */
    public ReservationCalendarReplica(
            KeyValueStore store, EventLoop loop, BooleanSupplier leadershipEnded) {
        this.store = store;
        this.loop = loop;
        this.leadershipEnded = leadershipEnded;
    }

    /**
     * Starts to read the calendar and then to watch it. If the changes to watch have been
     * compacted, the calendar is read again.
     */
    public void start() {
        loadPage(null, null, new ArrayList<>());
    }

    /**
     * Reads one page of the calendar.
     *
     * @param after the last key read, or null for the first page
     * @param firstRevision the revision of the first page, or null for the first page
     * @param read the entries of the previous pages
     */
    private void loadPage(String after, Revision firstRevision, List<KeyValueStore.Entry> read) {
        if (leadershipEnded.getAsBoolean()) {
            return;
        }
        RepeatingSteps.handle(
                loop,
                RepeatingStep.CALENDAR_WATCH,
                store.list(
                        CalendarRecordCodec.CALENDAR_PREFIX,
                        after,
                        KeyValueStore.MAX_PAGE_SIZE,
                        RequestPriority.PLACEMENT),
                (page, failure) -> {
                    if (failure != null) {
                        startLater();
                    } else {
                        onPage(page, firstRevision, read);
                    }
                },
                this::startLater);
    }

    private void startLater() {
        loop.schedule(RETRY_DELAY, this::start);
    }

    private void onPage(
            KeyValueStore.Page page, Revision firstRevision, List<KeyValueStore.Entry> read) {
        read.addAll(page.entries());
        Revision watchFrom = firstRevision == null ? page.revision() : firstRevision;
        if (page.hasMore()) {
            String last = page.entries().get(page.entries().size() - 1).key();
            loadPage(last, watchFrom, read);
        } else {
            replaceEntries(read);
            watchChanges(watchFrom);
        }
    }

    private synchronized void replaceEntries(List<KeyValueStore.Entry> read) {
        entries.clear();
        read.forEach(entry -> entries.put(entry.key(), entry));
        loaded = true;
        plan = null;
    }

    private void watchChanges(Revision after) {
        if (leadershipEnded.getAsBoolean()) {
            return;
        }
        RepeatingSteps.handle(
                loop,
                RepeatingStep.CALENDAR_WATCH,
                store.watch(CalendarRecordCodec.CALENDAR_PREFIX, after, WATCH_TIMEOUT),
                (changes, failure) -> {
                    if (failure == null) {
                        applyChanges(changes);
                        watchChanges(changes.revision());
                    } else {
                        retryWatch(after, failure);
                    }
                },
                this::startLater);
    }

    private void retryWatch(Revision after, Throwable failure) {
        boolean compacted = KeyValueStoreException.outcomeOf(failure) == Outcome.COMPACTED;
        loop.schedule(RETRY_DELAY, compacted ? this::start : () -> watchChanges(after));
    }

    private synchronized void applyChanges(KeyValueStore.ChangeBatch changes) {
        for (KeyValueStore.Change change : changes.changes()) {
            KeyValueStore.Entry known = entries.get(change.key());
            // Pages read after the first one may already contain this change or a later one.
            if (known != null && !change.revision().isAfter(known.revision())) {
                continue;
            }
            if (change.value() == null) {
                entries.remove(change.key());
            } else {
                entries.put(
                        change.key(),
                        new KeyValueStore.Entry(change.key(), change.value(), change.revision()));
            }
            plan = null;
        }
    }

    /** Whether the calendar has been read; no task may be placed before that. */
    public synchronized boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns the plan for the time around a wall-clock time; null while the calendar is empty.
     *
     * @param wallMillis milliseconds since the epoch
     */
    public synchronized ReservationPlan plan(ReservableCapacity capacity, long wallMillis) {
        if (entries.isEmpty()) {
            return null;
        }
        // The wall clock may also go back, at a failover by up to the bound on its skew.
        boolean outdated = Math.abs(wallMillis - plannedAtWallMillis) > REPLAN_INTERVAL.toMillis();
        if (plan == null || outdated) {
            plan =
                    ReservationPlan.of(
                            CalendarSnapshot.fromRecords(List.copyOf(entries.values())),
                            capacity,
                            wallMillis - PLAN_LOOKBACK.toMillis(),
                            wallMillis + PLAN_LOOKAHEAD.toMillis());
            plannedAtWallMillis = wallMillis;
        }
        return plan;
    }
}
