package org.meadowhollow.coordination.calendar;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.meadowhollow.bookkeeping.Catalog;
import org.meadowhollow.bookkeeping.EventLoop;
import org.meadowhollow.bookkeeping.MachineType;
import org.meadowhollow.bookkeeping.Resources;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.bookkeeping.calendar.Calendar;
import org.meadowhollow.bookkeeping.calendar.CalendarRecords;
import org.meadowhollow.bookkeeping.calendar.Reservation;
import org.meadowhollow.bookkeeping.calendar.Window;
import org.meadowhollow.coordination.admission.Admission;
import org.meadowhollow.coordination.platform.Platform;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What operators ask of the calendar, answered by any node straight from the state service. Every
 * change guards and writes one key, so that of two changes that were decided from the same calendar
 * one is decided again.
 */
public final class CalendarDesk {
    private static final Logger LOG = LoggerFactory.getLogger(CalendarDesk.class);
    private static final int MOST_TRIES = 5;
    private static final Duration RETRY = Duration.ofMillis(200);

    /** What became of a request. */
    public enum Result {
        CREATED,
        CHANGED,
        SAME
    }

    /**
     * @param version of the entry as it is now
     * @param notes what it does to others, for the operator to read
     */
    public record Done(Result result, Version version, List<String> notes) {}

    /** The request is not carried out; the text says why. */
    public static final class Refused extends RuntimeException {
        /** Why, in general. */
        public enum Why {
            NEVER,
            NOT_MET,
            CONFLICT,
            ABSENT,
            FULL
        }

        private final Why why;

        Refused(Why why, String text) {
            super(text, null, false, false);
            this.why = why;
        }

        public Why why() {
            return why;
        }
    }

    private record Change(
            String key,
            Map<String, Object> value,
            Version was,
            Result result,
            List<String> notes) {}

    private final StateStore store;
    private final EventLoop loop;
    private final Catalog catalog;
    private final Platform platform;
    private final Map<String, Integer> most;

    /**
     * @param most machines that the operators will have at a time, as in {@link Supply}
     */
    public CalendarDesk(
            StateStore store,
            EventLoop loop,
            Catalog catalog,
            Platform platform,
            Map<String, Integer> most) {
        this.store = store;
        this.loop = loop;
        this.catalog = catalog;
        this.platform = platform;
        this.most = Map.copyOf(most);
    }

    public static Supply supply(Catalog catalog, Platform platform, Map<String, Integer> most) {
        Map<String, Resources> limits = new HashMap<>();
        platform.teams().values().forEach(team -> limits.put(team.name(), team.most()));
        List<MachineType> types = new ArrayList<>();
        catalog.types().forEach(types::add);
        return new Supply(types, limits, most);
    }

    /** Fails with {@link Admission.TryLater} while the machine types are not known. */
    private Supply supply() {
        if (catalog.isEmpty()) {
            throw new Admission.TryLater("the machine types are not known yet");
        }
        return supply(catalog, platform, most);
    }

    /** The calendar, whose stamp is no newer than anything else in it. */
    public CompletableFuture<Calendar> read() {
        // The stamp first: read with the rest, it could be newer than an entry before it, and a
        // change that was decided
        // from the old entry would be applied.
        return store.get(CalendarRecords.STAMP, Urgency.USER)
                .thenCompose(
                        stamp ->
                                page(null, new ArrayList<>())
                                        .thenApply(
                                                entries -> {
                                                    Calendar calendar = Calendar.of(entries);
                                                    return new Calendar(
                                                            calendar.reservations(),
                                                            calendar.windows(),
                                                            stamp.map(StateStore.Entry::version)
                                                                    .orElse(Version.ABSENT));
                                                }));
    }

    private CompletableFuture<List<StateStore.Entry>> page(
            String after, List<StateStore.Entry> all) {
        return store.list(CalendarRecords.PREFIX, after, StateStore.MOST_LISTED, Urgency.USER)
                .thenCompose(
                        page -> {
                            all.addAll(page.entries());
                            return page.more()
                                    ? page(page.entries().get(page.entries().size() - 1).key(), all)
                                    : CompletableFuture.completedFuture(all);
                        });
    }

    /** The plan of some time ahead. */
    public CompletableFuture<Plan> plan(Duration ahead) {
        return read().thenApply(
                        calendar ->
                                Plan.of(
                                        calendar,
                                        supply(),
                                        loop.wallMillis(),
                                        loop.wallMillis() + ahead.toMillis()));
    }

    /**
     * @param expected the version that is to be changed, or null for a new reservation
     */
    public CompletableFuture<Done> reserve(Reservation asked, Version expected) {
        return change(
                calendar -> {
                    Optional<Calendar.Held<Reservation>> held = calendar.reservation(asked.name());
                    if (held.isPresent() && held.get().what().equals(asked)) {
                        return same(held.get());
                    }
                    check(calendar, held, expected);
                    Admittance.Verdict verdict =
                            Admittance.judge(
                                    calendar,
                                    asked,
                                    supply(),
                                    Set.copyOf(platform.zones()),
                                    loop.wallMillis());
                    if (verdict.never() != null) {
                        throw new Refused(Refused.Why.NEVER, verdict.never());
                    }
                    if (!verdict.isMet()) {
                        throw new Refused(
                                Refused.Why.NOT_MET,
                                String.join("; ", verdict.against())
                                        + (verdict.nearest() == null
                                                ? "; no later start was found"
                                                : "; the nearest start that could be met is "
                                                        + verdict.nearest()));
                    }
                    return new Change(
                            CalendarRecords.reservation(asked.name()),
                            CalendarRecords.encode(asked, next(calendar)),
                            versionOf(held),
                            result(held),
                            List.of());
                });
    }

    /**
     * @param expected the version that is to be changed, or null for a new window
     */
    public CompletableFuture<Done> declare(Window asked, Version expected) {
        return change(
                calendar -> {
                    Optional<Calendar.Held<Window>> held = calendar.window(asked.name());
                    if (held.isPresent() && held.get().what().equals(asked)) {
                        return same(held.get());
                    }
                    check(calendar, held, expected);
                    if (asked.scope() == Window.Scope.ZONE
                            && !platform.zones().containsAll(asked.targets())) {
                        throw new Refused(Refused.Why.NEVER, "there is no such zone");
                    }
                    List<String> notes =
                            Admittance.taken(calendar, asked, supply(), loop.wallMillis());
                    return new Change(
                            CalendarRecords.window(asked.name()),
                            CalendarRecords.encode(asked, next(calendar)),
                            versionOf(held),
                            result(held),
                            notes);
                });
    }

    /**
     * Takes an entry out; one that is not there is none any more.
     *
     * @param expected the version that is to go, or null for any
     */
    public CompletableFuture<Done> withdraw(String name, boolean window, Version expected) {
        return change(
                calendar -> {
                    Optional<? extends Calendar.Held<?>> held =
                            window ? calendar.window(name) : calendar.reservation(name);
                    if (held.isEmpty()) {
                        return new Change(null, null, Version.ABSENT, Result.SAME, List.of());
                    }
                    if (expected != null && !expected.equals(held.get().version())) {
                        throw conflict(held.get().version());
                    }
                    return new Change(
                            window
                                    ? CalendarRecords.window(name)
                                    : CalendarRecords.reservation(name),
                            null,
                            held.get().version(),
                            Result.CHANGED,
                            List.of());
                });
    }

    private static Change same(Calendar.Held<?> held) {
        return new Change(null, null, held.version(), Result.SAME, List.of());
    }

    private static Refused conflict(Version is) {
        return new Refused(Refused.Why.CONFLICT, "its version is " + is.value() + " by now");
    }

    private static <T> void check(
            Calendar calendar, Optional<Calendar.Held<T>> held, Version expected) {
        if (held.isPresent() && !held.get().version().equals(expected)) {
            throw conflict(held.get().version());
        }
        if (held.isEmpty() && expected != null) {
            throw new Refused(Refused.Why.ABSENT, "there is none to change");
        }
        if (held.isEmpty() && calendar.size() >= Admittance.MOST_ENTRIES) {
            throw new Refused(
                    Refused.Why.FULL,
                    "there are " + Admittance.MOST_ENTRIES + " entries; withdraw some");
        }
    }

    private static <T> Version versionOf(Optional<Calendar.Held<T>> held) {
        return held.map(Calendar.Held::version).orElse(Version.ABSENT);
    }

    private static <T> Result result(Optional<Calendar.Held<T>> held) {
        return held.isPresent() ? Result.CHANGED : Result.CREATED;
    }

    /** Who comes later is later: the last of the orders, and one more. */
    private static long next(Calendar calendar) {
        long last = 0;
        for (Calendar.Held<?> held : calendar.reservations()) {
            last = Math.max(last, held.order());
        }
        for (Calendar.Held<?> held : calendar.windows()) {
            last = Math.max(last, held.order());
        }
        return last + 1;
    }

    private CompletableFuture<Done> change(Function<Calendar, Change> decide) {
        return attempt(decide, 1);
    }

    private CompletableFuture<Done> attempt(Function<Calendar, Change> decide, int tries) {
        return read().thenCompose(
                        calendar -> {
                            Change change = decide.apply(calendar);
                            if (change.key() == null) {
                                return CompletableFuture.completedFuture(
                                        new Done(change.result(), change.was(), change.notes()));
                            }
                            Transaction transaction =
                                    new Transaction()
                                            .guard(CalendarRecords.STAMP, calendar.stamp())
                                            .guard(change.key(), change.was())
                                            .put(CalendarRecords.STAMP, Map.of());
                            if (change.value() == null) {
                                transaction.delete(change.key());
                            } else {
                                transaction.put(change.key(), change.value());
                            }
                            return store.commit(transaction, Urgency.USER)
                                    .handle(
                                            (commit, failure) -> {
                                                if (failure == null && commit.applied()) {
                                                    LOG.info(
                                                            "the calendar's {} is {}; {}",
                                                            change.key(),
                                                            change.value() == null
                                                                    ? "withdrawn"
                                                                    : change.result(),
                                                            change.notes());
                                                    return CompletableFuture.completedFuture(
                                                            new Done(
                                                                    change.result(),
                                                                    commit.revision(),
                                                                    change.notes()));
                                                }
                                                // Not applied, or not known: what is there by now
                                                // decides, and the guards keep a late one out.
                                                if (tries == MOST_TRIES
                                                        || failure != null
                                                                && StateException.of(failure)
                                                                        == Outcome.INVALID) {
                                                    return CompletableFuture.<Done>failedFuture(
                                                            new Admission.TryLater(
                                                                    "the calendar keeps changing, or"
                                                                            + " the state service gives no answer"));
                                                }
                                                CompletableFuture<Done> later =
                                                        new CompletableFuture<>();
                                                loop.after(
                                                        RETRY,
                                                        () ->
                                                                attempt(decide, tries + 1)
                                                                        .whenComplete(
                                                                                (done, lost) -> {
                                                                                    if (lost
                                                                                            == null) {
                                                                                        later
                                                                                                .complete(
                                                                                                        done);
                                                                                    } else {
                                                                                        later
                                                                                                .completeExceptionally(
                                                                                                        lost);
                                                                                    }
                                                                                }));
                                                return later;
                                            })
                                    .thenCompose(outcome -> outcome);
                        });
    }
}
