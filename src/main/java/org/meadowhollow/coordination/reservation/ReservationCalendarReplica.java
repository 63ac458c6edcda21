package org.meadowhollow.coordination.reservation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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
 * A leader's view of the calendar: read once, then followed by what changes, and the plan made from
 * it, which is made anew only when the calendar has changed or much of its span is past.
 */
public final class ReservationCalendarReplica {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    /**
     * The plan's span: what another clock may not take for past, and well beyond the time for which
     * room is kept.
     */
    private static final Duration PLAN_LOOKBACK = Duration.ofMinutes(10);

    private static final Duration PLAN_LOOKAHEAD = Duration.ofHours(6);
    private static final Duration REPLAN_INTERVAL = Duration.ofHours(1);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final BooleanSupplier leadershipEnded;
    private final Map<String, KeyValueStore.Entry> entries = new TreeMap<>();
    private boolean loaded;
    private ReservationPlan reservationPlan;
    private long plannedAtWallMillis;

    /**
     * @param over whether the leadership is, and with it the need to follow
     */
    public ReservationCalendarReplica(KeyValueStore store, EventLoop loop, BooleanSupplier over) {
        this.store = store;
        this.loop = loop;
        this.leadershipEnded = over;
    }

    public void start() {
        loadPage(null, null, new ArrayList<>());
    }

    private void loadPage(String after, Revision first, List<KeyValueStore.Entry> all) {
        if (leadershipEnded.getAsBoolean()) {
            return;
        }
        store.list(
                        CalendarRecordCodec.CALENDAR_PREFIX,
                        after,
                        KeyValueStore.MAX_PAGE_SIZE,
                        RequestPriority.PLACEMENT)
                .whenComplete(
                        (page, failure) -> {
                            if (failure != null) {
                                loop.schedule(RETRY_DELAY, this::start);
                                return;
                            }
                            all.addAll(page.entries());
                            Revision from = first == null ? page.revision() : first;
                            if (page.hasMore()) {
                                loadPage(
                                        page.entries().get(page.entries().size() - 1).key(),
                                        from,
                                        all);
                            } else {
                                apply(all);
                                watchChanges(from);
                            }
                        });
    }

    private synchronized void apply(List<KeyValueStore.Entry> all) {
        entries.clear();
        all.forEach(entry -> entries.put(entry.key(), entry));
        loaded = true;
        reservationPlan = null;
    }

    private void watchChanges(Revision after) {
        if (leadershipEnded.getAsBoolean()) {
            return;
        }
        store.watch(CalendarRecordCodec.CALENDAR_PREFIX, after, WATCH_TIMEOUT)
                .whenComplete(
                        (changeBatch, failure) -> {
                            if (failure == null) {
                                apply(changeBatch);
                                watchChanges(changeBatch.revision());
                            } else {
                                loop.schedule(
                                        RETRY_DELAY,
                                        KeyValueStoreException.outcomeOf(failure)
                                                        == Outcome.COMPACTED
                                                ? this::start
                                                : () -> watchChanges(after));
                            }
                        });
    }

    private synchronized void apply(KeyValueStore.ChangeBatch changeBatch) {
        for (KeyValueStore.Change change : changeBatch.changes()) {
            KeyValueStore.Entry was = entries.get(change.key());
            // Pages that were read after the first one may hold later changes already.
            if (was != null && !change.revision().isAfter(was.revision())) {
                continue;
            }
            if (change.value() == null) {
                entries.remove(change.key());
            } else {
                entries.put(
                        change.key(),
                        new KeyValueStore.Entry(change.key(), change.value(), change.revision()));
            }
            reservationPlan = null;
        }
    }

    /** Whether the calendar has been read; nothing may be placed before. */
    public synchronized boolean isLoaded() {
        return loaded;
    }

    /** What is planned around a time of day; null while nothing is reserved or declared. */
    public synchronized ReservationPlan plan(
            ReservableCapacity reservableCapacity, long wallMillis) {
        if (entries.isEmpty()) {
            return null;
        }
        // Also when the time of day goes back, as it may by its bound at a takeover.
        if (reservationPlan == null
                || Math.abs(wallMillis - plannedAtWallMillis) > REPLAN_INTERVAL.toMillis()) {
            reservationPlan =
                    ReservationPlan.of(
                            CalendarSnapshot.fromRecords(List.copyOf(entries.values())),
                            reservableCapacity,
                            wallMillis - PLAN_LOOKBACK.toMillis(),
                            wallMillis + PLAN_LOOKAHEAD.toMillis());
            plannedAtWallMillis = wallMillis;
        }
        return reservationPlan;
    }
}
