package org.meadowhollow.coordination.calendar;

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
public final class Diary {
    private static final Duration RETRY = Duration.ofSeconds(1);
    private static final Duration WATCH = Duration.ofSeconds(20);

    /**
     * The plan's span: what another clock may not take for past, and well beyond the time for which
     * room is kept.
     */
    private static final Duration BACK = Duration.ofMinutes(10);

    private static final Duration AHEAD = Duration.ofHours(6);
    private static final Duration REPLAN = Duration.ofHours(1);

    private final KeyValueStore store;
    private final EventLoop loop;
    private final BooleanSupplier over;
    private final Map<String, KeyValueStore.Entry> entries = new TreeMap<>();
    private boolean known;
    private Plan plan;
    private long plannedAt;

    /**
     * @param over whether the leadership is, and with it the need to follow
     */
    public Diary(KeyValueStore store, EventLoop loop, BooleanSupplier over) {
        this.store = store;
        this.loop = loop;
        this.over = over;
    }

    public void start() {
        read(null, null, new ArrayList<>());
    }

    private void read(String after, Revision first, List<KeyValueStore.Entry> all) {
        if (over.getAsBoolean()) {
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
                                loop.schedule(RETRY, this::start);
                                return;
                            }
                            all.addAll(page.entries());
                            Revision from = first == null ? page.revision() : first;
                            if (page.hasMore()) {
                                read(
                                        page.entries().get(page.entries().size() - 1).key(),
                                        from,
                                        all);
                            } else {
                                take(all);
                                watch(from);
                            }
                        });
    }

    private synchronized void take(List<KeyValueStore.Entry> all) {
        entries.clear();
        all.forEach(entry -> entries.put(entry.key(), entry));
        known = true;
        plan = null;
    }

    private void watch(Revision after) {
        if (over.getAsBoolean()) {
            return;
        }
        store.watch(CalendarRecordCodec.CALENDAR_PREFIX, after, WATCH)
                .whenComplete(
                        (changeBatch, failure) -> {
                            if (failure == null) {
                                take(changeBatch);
                                watch(changeBatch.revision());
                            } else {
                                loop.schedule(
                                        RETRY,
                                        KeyValueStoreException.outcomeOf(failure)
                                                        == Outcome.COMPACTED
                                                ? this::start
                                                : () -> watch(after));
                            }
                        });
    }

    private synchronized void take(KeyValueStore.ChangeBatch changeBatch) {
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
            plan = null;
        }
    }

    /** Whether the calendar has been read; nothing may be placed before. */
    public synchronized boolean isKnown() {
        return known;
    }

    /** What is planned around a time of day; null while nothing is reserved or declared. */
    public synchronized Plan plan(Supply supply, long wallMillis) {
        if (entries.isEmpty()) {
            return null;
        }
        // Also when the time of day goes back, as it may by its bound at a takeover.
        if (plan == null || Math.abs(wallMillis - plannedAt) > REPLAN.toMillis()) {
            plan =
                    Plan.of(
                            CalendarSnapshot.fromRecords(List.copyOf(entries.values())),
                            supply,
                            wallMillis - BACK.toMillis(),
                            wallMillis + AHEAD.toMillis());
            plannedAt = wallMillis;
        }
        return plan;
    }
}
