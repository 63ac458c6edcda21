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
import org.meadowhollow.coordination.admission.Admission;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.storage.CalendarRecordCodec;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.Transaction;
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
    public record Done(Result result, Revision version, List<String> notes) {}

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
            Revision was,
            Result result,
            List<String> notes) {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final Map<String, Integer> most;

    /**
     * @param most machines that the operators will have at a time, as in {@link Supply}
     */
    public CalendarDesk(
            KeyValueStore store,
            EventLoop loop,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            Map<String, Integer> most) {
        this.store = store;
        this.loop = loop;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.most = Map.copyOf(most);
    }

    public static Supply supply(
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            Map<String, Integer> most) {
        Map<String, Resources> limits = new HashMap<>();
        deploymentSettings
                .teamQuotas()
                .values()
                .forEach(teamQuota -> limits.put(teamQuota.name(), teamQuota.limit()));
        List<MachineType> types = new ArrayList<>();
        machineTypeCatalog.types().forEach(types::add);
        return new Supply(types, limits, most);
    }

    /** Fails with {@link Admission.TryLater} while the machine types are not known. */
    private Supply supply() {
        if (machineTypeCatalog.isEmpty()) {
            throw new Admission.TryLater("the machine types are not known yet");
        }
        return supply(machineTypeCatalog, deploymentSettings, most);
    }

    /** The calendar, whose stamp is no newer than anything else in it. */
    public CompletableFuture<CalendarSnapshot> read() {
        // The stamp first: read with the rest, it could be newer than an entry before it, and a
        // change that was decided
        // from the old entry would be applied.
        return store.get(CalendarRecordCodec.REVISION_KEY, RequestPriority.USER)
                .thenCompose(
                        stamp ->
                                page(null, new ArrayList<>())
                                        .thenApply(
                                                entries -> {
                                                    CalendarSnapshot calendarSnapshot =
                                                            CalendarSnapshot.fromRecords(entries);
                                                    return new CalendarSnapshot(
                                                            calendarSnapshot.reservations(),
                                                            calendarSnapshot.windows(),
                                                            stamp.map(KeyValueStore.Entry::revision)
                                                                    .orElse(Revision.ABSENT));
                                                }));
    }

    private CompletableFuture<List<KeyValueStore.Entry>> page(
            String after, List<KeyValueStore.Entry> all) {
        return store.list(
                        CalendarRecordCodec.CALENDAR_PREFIX,
                        after,
                        KeyValueStore.MAX_PAGE_SIZE,
                        RequestPriority.USER)
                .thenCompose(
                        page -> {
                            all.addAll(page.entries());
                            return page.hasMore()
                                    ? page(page.entries().get(page.entries().size() - 1).key(), all)
                                    : CompletableFuture.completedFuture(all);
                        });
    }

    /** The plan of some time ahead. */
    public CompletableFuture<Plan> plan(Duration ahead) {
        return read().thenApply(
                        calendarSnapshot ->
                                Plan.of(
                                        calendarSnapshot,
                                        supply(),
                                        loop.wallClockMillis(),
                                        loop.wallClockMillis() + ahead.toMillis()));
    }

    /**
     * @param expected the version that is to be changed, or null for a new reservation
     */
    public CompletableFuture<Done> reserve(Reservation asked, Revision expected) {
        return change(
                calendarSnapshot -> {
                    Optional<CalendarSnapshot.CalendarEntry<Reservation>> held =
                            calendarSnapshot.findReservation(asked.name());
                    if (held.isPresent() && held.get().item().equals(asked)) {
                        return same(held.get());
                    }
                    check(calendarSnapshot, held, expected);
                    Admittance.Verdict verdict =
                            Admittance.judge(
                                    calendarSnapshot,
                                    asked,
                                    supply(),
                                    Set.copyOf(deploymentSettings.zones()),
                                    loop.wallClockMillis());
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
                            CalendarRecordCodec.reservation(asked.name()),
                            CalendarRecordCodec.encode(asked, next(calendarSnapshot)),
                            versionOf(held),
                            result(held),
                            List.of());
                });
    }

    /**
     * @param expected the version that is to be changed, or null for a new window
     */
    public CompletableFuture<Done> declare(MaintenanceWindow asked, Revision expected) {
        return change(
                calendarSnapshot -> {
                    Optional<CalendarSnapshot.CalendarEntry<MaintenanceWindow>> held =
                            calendarSnapshot.findWindow(asked.name());
                    if (held.isPresent() && held.get().item().equals(asked)) {
                        return same(held.get());
                    }
                    check(calendarSnapshot, held, expected);
                    if (asked.scope() == MaintenanceWindow.Scope.ZONE
                            && !deploymentSettings.zones().containsAll(asked.targets())) {
                        throw new Refused(Refused.Why.NEVER, "there is no such zone");
                    }
                    List<String> notes =
                            Admittance.taken(
                                    calendarSnapshot, asked, supply(), loop.wallClockMillis());
                    return new Change(
                            CalendarRecordCodec.window(asked.name()),
                            CalendarRecordCodec.encode(asked, next(calendarSnapshot)),
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
    public CompletableFuture<Done> withdraw(String name, boolean window, Revision expected) {
        return change(
                calendarSnapshot -> {
                    Optional<? extends CalendarSnapshot.CalendarEntry<?>> held =
                            window
                                    ? calendarSnapshot.findWindow(name)
                                    : calendarSnapshot.findReservation(name);
                    if (held.isEmpty()) {
                        return new Change(null, null, Revision.ABSENT, Result.SAME, List.of());
                    }
                    if (expected != null && !expected.equals(held.get().revision())) {
                        throw conflict(held.get().revision());
                    }
                    return new Change(
                            window
                                    ? CalendarRecordCodec.window(name)
                                    : CalendarRecordCodec.reservation(name),
                            null,
                            held.get().revision(),
                            Result.CHANGED,
                            List.of());
                });
    }

    private static Change same(CalendarSnapshot.CalendarEntry<?> calendarEntry) {
        return new Change(null, null, calendarEntry.revision(), Result.SAME, List.of());
    }

    private static Refused conflict(Revision is) {
        return new Refused(Refused.Why.CONFLICT, "its version is " + is.value() + " by now");
    }

    private static <T> void check(
            CalendarSnapshot calendarSnapshot,
            Optional<CalendarSnapshot.CalendarEntry<T>> held,
            Revision expected) {
        if (held.isPresent() && !held.get().revision().equals(expected)) {
            throw conflict(held.get().revision());
        }
        if (held.isEmpty() && expected != null) {
            throw new Refused(Refused.Why.ABSENT, "there is none to change");
        }
        if (held.isEmpty() && calendarSnapshot.size() >= Admittance.MOST_ENTRIES) {
            throw new Refused(
                    Refused.Why.FULL,
                    "there are " + Admittance.MOST_ENTRIES + " entries; withdraw some");
        }
    }

    private static <T> Revision versionOf(Optional<CalendarSnapshot.CalendarEntry<T>> held) {
        return held.map(CalendarSnapshot.CalendarEntry::revision).orElse(Revision.ABSENT);
    }

    private static <T> Result result(Optional<CalendarSnapshot.CalendarEntry<T>> held) {
        return held.isPresent() ? Result.CHANGED : Result.CREATED;
    }

    /** Who comes later is later: the last of the orders, and one more. */
    private static long next(CalendarSnapshot calendarSnapshot) {
        long last = 0;
        for (CalendarSnapshot.CalendarEntry<?> calendarEntry : calendarSnapshot.reservations()) {
            last = Math.max(last, calendarEntry.acceptanceOrder());
        }
        for (CalendarSnapshot.CalendarEntry<?> calendarEntry : calendarSnapshot.windows()) {
            last = Math.max(last, calendarEntry.acceptanceOrder());
        }
        return last + 1;
    }

    private CompletableFuture<Done> change(Function<CalendarSnapshot, Change> decide) {
        return attempt(decide, 1);
    }

    private CompletableFuture<Done> attempt(Function<CalendarSnapshot, Change> decide, int tries) {
        return read().thenCompose(
                        calendarSnapshot -> {
                            Change change = decide.apply(calendarSnapshot);
                            if (change.key() == null) {
                                return CompletableFuture.completedFuture(
                                        new Done(change.result(), change.was(), change.notes()));
                            }
                            Transaction transaction =
                                    new Transaction()
                                            .requireRevision(
                                                    CalendarRecordCodec.REVISION_KEY,
                                                    calendarSnapshot.revision())
                                            .requireRevision(change.key(), change.was())
                                            .put(CalendarRecordCodec.REVISION_KEY, Map.of());
                            if (change.value() == null) {
                                transaction.delete(change.key());
                            } else {
                                transaction.put(change.key(), change.value());
                            }
                            return store.commit(transaction, RequestPriority.USER)
                                    .handle(
                                            (commitResult, failure) -> {
                                                if (failure == null && commitResult.isApplied()) {
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
                                                                    commitResult.revision(),
                                                                    change.notes()));
                                                }
                                                // Not applied, or not known: what is there by now
                                                // decides, and the guards keep a late one out.
                                                if (tries == MOST_TRIES
                                                        || failure != null
                                                                && KeyValueStoreException.outcomeOf(
                                                                                failure)
                                                                        == Outcome
                                                                                .INVALID_REQUEST) {
                                                    return CompletableFuture.<Done>failedFuture(
                                                            new Admission.TryLater(
                                                                    "the calendar keeps changing, or"
                                                                            + " the state service gives no answer"));
                                                }
                                                CompletableFuture<Done> later =
                                                        new CompletableFuture<>();
                                                loop.schedule(
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
