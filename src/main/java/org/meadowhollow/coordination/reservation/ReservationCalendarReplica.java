package org.meadowhollow.coordination.reservation;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.CalendarRecordCodec;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;

/**
 * A leader's replica of the calendar: read once, then kept up to date by a watch; and the plan made
 * from it, which is made anew only when the calendar has changed or much of its span is past. Its
 * state is guarded by its own lock; store requests are made outside of it.
 */
public final class ReservationCalendarReplica {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    /** The plan reaches back to what another clock may not take for past. */
    private static final Duration PLAN_LOOKBACK = Duration.ofMinutes(10);

    /** Well beyond the time for which room is held. */
    private static final Duration PLAN_LOOKAHEAD = Duration.ofHours(6);

    private static final Duration REPLAN_INTERVAL = Duration.ofHours(1);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final BooleanSupplier leadershipEnded;

    @GuardedBy("this")
    private final Map<String, KeyValueStore.Entry> entries = new TreeMap<>();

    @GuardedBy("this")
    private boolean loaded;

    /** Null if it has to be made anew. */
    @GuardedBy("this")
    private ReservationPlan plan;

    @GuardedBy("this")
    private long plannedAtWallMillis;

    /**
     * Creates a replica that is not loaded.
     *
     * @param leadershipEnded whether the replica is not needed any more, so that it stops reading
     */
    public ReservationCalendarReplica(
            KeyValueStore store, EventLoop loop, BooleanSupplier leadershipEnded) {
        this.store = store;
        this.loop = loop;
        this.leadershipEnded = leadershipEnded;
    }

    /** Starts to read the calendar, then to watch it; again if changes were compacted. */
    public void start() {
        loadPage(null, null, new ArrayList<>());
    }

    /**
     * Reads one page.
     *
     * @param after the last key read, or null for the first page
     * @param firstRevision the revision of the first page, or null for the first page
     * @param read the entries of the pages before
     */
    private void loadPage(String after, Revision firstRevision, List<KeyValueStore.Entry> read) {
        if (leadershipEnded.getAsBoolean()) {
            return;
        }
        CompletableFuture<?> unused =
                store.list(
                                CalendarRecordCodec.CALENDAR_PREFIX,
                                after,
                                KeyValueStore.MAX_PAGE_SIZE,
                                RequestPriority.PLACEMENT)
                        .whenComplete(
                                (page, failure) -> {
                                    if (failure != null) {
                                        loop.schedule(RETRY_DELAY, this::start);
                                    } else {
                                        onPage(page, firstRevision, read);
                                    }
                                });
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
        CompletableFuture<?> unused =
                store.watch(CalendarRecordCodec.CALENDAR_PREFIX, after, WATCH_TIMEOUT)
                        .whenComplete(
                                (changes, failure) -> {
                                    if (failure == null) {
                                        applyChanges(changes);
                                        watchChanges(changes.revision());
                                    } else {
                                        retryWatch(after, failure);
                                    }
                                });
    }

    private void retryWatch(Revision after, Throwable failure) {
        boolean compacted = KeyValueStoreException.outcomeOf(failure) == Outcome.COMPACTED;
        loop.schedule(RETRY_DELAY, compacted ? this::start : () -> watchChanges(after));
    }

    private synchronized void applyChanges(KeyValueStore.ChangeBatch changes) {
        for (KeyValueStore.Change change : changes.changes()) {
            KeyValueStore.Entry known = entries.get(change.key());
            // Pages that were read after the first one may contain later changes already.
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

    /** Whether the calendar has been read; nothing may be placed before. */
    public synchronized boolean isLoaded() {
        return loaded;
    }

    /**
     * The plan around a wall-clock time; null while the calendar is empty.
     *
     * @param wallMillis milliseconds since the epoch
     */
    public synchronized ReservationPlan plan(ReservableCapacity capacity, long wallMillis) {
        if (entries.isEmpty()) {
            return null;
        }
        // The wall clock may also go back, by up to its bound at a failover.
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
