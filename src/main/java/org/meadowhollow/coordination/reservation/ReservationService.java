package org.meadowhollow.coordination.reservation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.meadowhollow.coordination.admission.AdmissionService;
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
public final class ReservationService {
    private static final Logger LOG = LoggerFactory.getLogger(ReservationService.class);
    private static final int MAX_ATTEMPTS = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** What became of a request. */
    public enum ChangeResult {
        CREATED,
        CHANGED,
        UNCHANGED
    }

    /**
     * @param revision of the entry as it is now
     * @param notes what it does to others, for the operator to read
     */
    public record ChangeOutcome(ChangeResult result, Revision revision, List<String> notes) {}

    /** The request is not carried out; the text says why. */
    public static final class RejectedException extends RuntimeException {
        /** Why, in general. */
        public enum Reason {
            INFEASIBLE,
            INSUFFICIENT_CAPACITY,
            REVISION_MISMATCH,
            NOT_FOUND,
            CALENDAR_FULL
        }

        private final Reason reason;

        RejectedException(Reason reason, String text) {
            super(text, null, false, false);
            this.reason = reason;
        }

        public Reason reason() {
            return reason;
        }
    }

    private record PendingChange(
            String key,
            Map<String, Object> value,
            Revision expectedRevision,
            ChangeResult result,
            List<String> notes) {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final Map<String, Integer> maxMachines;

    /**
     * @param most machines that the operators will have at a time, as in {@link ReservableCapacity}
     */
    public ReservationService(
            KeyValueStore store,
            EventLoop loop,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            Map<String, Integer> most) {
        this.store = store;
        this.loop = loop;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.maxMachines = Map.copyOf(most);
    }

    public static ReservableCapacity reservableCapacity(
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
        return new ReservableCapacity(types, limits, most);
    }

    /**
     * Fails with {@link AdmissionService.TemporarilyUnavailableException} while the machine types
     * are not known.
     */
    private ReservableCapacity reservableCapacity() {
        if (machineTypeCatalog.isEmpty()) {
            throw new AdmissionService.TemporarilyUnavailableException(
                    "the machine types are not known yet");
        }
        return reservableCapacity(machineTypeCatalog, deploymentSettings, maxMachines);
    }

    /** The calendar, whose stamp is no newer than anything else in it. */
    public CompletableFuture<CalendarSnapshot> readCalendar() {
        // The stamp first: read with the rest, it could be newer than an entry before it, and a
        // change that was decided
        // from the old entry would be applied.
        return store.get(CalendarRecordCodec.REVISION_KEY, RequestPriority.USER)
                .thenCompose(
                        stamp ->
                                readPages(null, new ArrayList<>())
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

    private CompletableFuture<List<KeyValueStore.Entry>> readPages(
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
                                    ? readPages(
                                            page.entries().get(page.entries().size() - 1).key(),
                                            all)
                                    : CompletableFuture.completedFuture(all);
                        });
    }

    /** The plan of some time ahead. */
    public CompletableFuture<ReservationPlan> planAhead(Duration ahead) {
        return readCalendar()
                .thenApply(
                        calendarSnapshot ->
                                ReservationPlan.of(
                                        calendarSnapshot,
                                        reservableCapacity(),
                                        loop.wallClockMillis(),
                                        loop.wallClockMillis() + ahead.toMillis()));
    }

    /**
     * @param expected the version that is to be changed, or null for a new reservation
     */
    public CompletableFuture<ChangeOutcome> reserve(Reservation asked, Revision expected) {
        return applyChange(
                calendarSnapshot -> {
                    Optional<CalendarSnapshot.CalendarEntry<Reservation>> held =
                            calendarSnapshot.findReservation(asked.name());
                    if (held.isPresent() && held.get().item().equals(asked)) {
                        return unchanged(held.get());
                    }
                    checkExpectedRevision(calendarSnapshot, held, expected);
                    ReservationAdmission.AdmissionResult admissionResult =
                            ReservationAdmission.evaluate(
                                    calendarSnapshot,
                                    asked,
                                    reservableCapacity(),
                                    Set.copyOf(deploymentSettings.zones()),
                                    loop.wallClockMillis());
                    if (admissionResult.infeasibleReason() != null) {
                        throw new RejectedException(
                                RejectedException.Reason.INFEASIBLE,
                                admissionResult.infeasibleReason());
                    }
                    if (!admissionResult.isAdmitted()) {
                        throw new RejectedException(
                                RejectedException.Reason.INSUFFICIENT_CAPACITY,
                                String.join("; ", admissionResult.conflicts())
                                        + (admissionResult.nearestStart() == null
                                                ? "; no later start was found"
                                                : "; the nearest start that could be met is "
                                                        + admissionResult.nearestStart()));
                    }
                    return new PendingChange(
                            CalendarRecordCodec.reservation(asked.name()),
                            CalendarRecordCodec.encode(
                                    asked, nextAcceptanceOrder(calendarSnapshot)),
                            revisionOf(held),
                            resultFor(held),
                            List.of());
                });
    }

    /**
     * @param expected the version that is to be changed, or null for a new window
     */
    public CompletableFuture<ChangeOutcome> declareWindow(
            MaintenanceWindow asked, Revision expected) {
        return applyChange(
                calendarSnapshot -> {
                    Optional<CalendarSnapshot.CalendarEntry<MaintenanceWindow>> held =
                            calendarSnapshot.findWindow(asked.name());
                    if (held.isPresent() && held.get().item().equals(asked)) {
                        return unchanged(held.get());
                    }
                    checkExpectedRevision(calendarSnapshot, held, expected);
                    if (asked.scope() == MaintenanceWindow.Scope.ZONE
                            && !deploymentSettings.zones().containsAll(asked.targets())) {
                        throw new RejectedException(
                                RejectedException.Reason.INFEASIBLE, "there is no such zone");
                    }
                    List<String> notes =
                            ReservationAdmission.describeAffectedReservations(
                                    calendarSnapshot,
                                    asked,
                                    reservableCapacity(),
                                    loop.wallClockMillis());
                    return new PendingChange(
                            CalendarRecordCodec.window(asked.name()),
                            CalendarRecordCodec.encode(
                                    asked, nextAcceptanceOrder(calendarSnapshot)),
                            revisionOf(held),
                            resultFor(held),
                            notes);
                });
    }

    /**
     * Takes an entry out; one that is not there is none any more.
     *
     * @param expected the version that is to go, or null for any
     */
    public CompletableFuture<ChangeOutcome> withdraw(
            String name, boolean window, Revision expected) {
        return applyChange(
                calendarSnapshot -> {
                    Optional<? extends CalendarSnapshot.CalendarEntry<?>> held =
                            window
                                    ? calendarSnapshot.findWindow(name)
                                    : calendarSnapshot.findReservation(name);
                    if (held.isEmpty()) {
                        return new PendingChange(
                                null, null, Revision.ABSENT, ChangeResult.UNCHANGED, List.of());
                    }
                    if (expected != null && !expected.equals(held.get().revision())) {
                        throw revisionMismatch(held.get().revision());
                    }
                    return new PendingChange(
                            window
                                    ? CalendarRecordCodec.window(name)
                                    : CalendarRecordCodec.reservation(name),
                            null,
                            held.get().revision(),
                            ChangeResult.CHANGED,
                            List.of());
                });
    }

    private static PendingChange unchanged(CalendarSnapshot.CalendarEntry<?> calendarEntry) {
        return new PendingChange(
                null, null, calendarEntry.revision(), ChangeResult.UNCHANGED, List.of());
    }

    private static RejectedException revisionMismatch(Revision is) {
        return new RejectedException(
                RejectedException.Reason.REVISION_MISMATCH,
                "its version is " + is.value() + " by now");
    }

    private static <T> void checkExpectedRevision(
            CalendarSnapshot calendarSnapshot,
            Optional<CalendarSnapshot.CalendarEntry<T>> held,
            Revision expected) {
        if (held.isPresent() && !held.get().revision().equals(expected)) {
            throw revisionMismatch(held.get().revision());
        }
        if (held.isEmpty() && expected != null) {
            throw new RejectedException(
                    RejectedException.Reason.NOT_FOUND, "there is none to change");
        }
        if (held.isEmpty() && calendarSnapshot.size() >= ReservationAdmission.MAX_ENTRIES) {
            throw new RejectedException(
                    RejectedException.Reason.CALENDAR_FULL,
                    "there are " + ReservationAdmission.MAX_ENTRIES + " entries; withdraw some");
        }
    }

    private static <T> Revision revisionOf(Optional<CalendarSnapshot.CalendarEntry<T>> held) {
        return held.map(CalendarSnapshot.CalendarEntry::revision).orElse(Revision.ABSENT);
    }

    private static <T> ChangeResult resultFor(Optional<CalendarSnapshot.CalendarEntry<T>> held) {
        return held.isPresent() ? ChangeResult.CHANGED : ChangeResult.CREATED;
    }

    /** Who comes later is later: the last of the orders, and one more. */
    private static long nextAcceptanceOrder(CalendarSnapshot calendarSnapshot) {
        long last = 0;
        for (CalendarSnapshot.CalendarEntry<?> calendarEntry : calendarSnapshot.reservations()) {
            last = Math.max(last, calendarEntry.acceptanceOrder());
        }
        for (CalendarSnapshot.CalendarEntry<?> calendarEntry : calendarSnapshot.windows()) {
            last = Math.max(last, calendarEntry.acceptanceOrder());
        }
        return last + 1;
    }

    private CompletableFuture<ChangeOutcome> applyChange(
            Function<CalendarSnapshot, PendingChange> decide) {
        return attemptChange(decide, 1);
    }

    private CompletableFuture<ChangeOutcome> attemptChange(
            Function<CalendarSnapshot, PendingChange> decide, int tries) {
        return readCalendar()
                .thenCompose(
                        calendarSnapshot -> {
                            PendingChange pendingChange = decide.apply(calendarSnapshot);
                            if (pendingChange.key() == null) {
                                return CompletableFuture.completedFuture(
                                        new ChangeOutcome(
                                                pendingChange.result(),
                                                pendingChange.expectedRevision(),
                                                pendingChange.notes()));
                            }
                            Transaction transaction =
                                    new Transaction()
                                            .requireRevision(
                                                    CalendarRecordCodec.REVISION_KEY,
                                                    calendarSnapshot.revision())
                                            .requireRevision(
                                                    pendingChange.key(),
                                                    pendingChange.expectedRevision())
                                            .put(CalendarRecordCodec.REVISION_KEY, Map.of());
                            if (pendingChange.value() == null) {
                                transaction.delete(pendingChange.key());
                            } else {
                                transaction.put(pendingChange.key(), pendingChange.value());
                            }
                            return store.commit(transaction, RequestPriority.USER)
                                    .handle(
                                            (commitResult, failure) -> {
                                                if (failure == null && commitResult.isApplied()) {
                                                    LOG.info(
                                                            "the calendar's {} is {}; {}",
                                                            pendingChange.key(),
                                                            pendingChange.value() == null
                                                                    ? "withdrawn"
                                                                    : pendingChange.result(),
                                                            pendingChange.notes());
                                                    return CompletableFuture.completedFuture(
                                                            new ChangeOutcome(
                                                                    pendingChange.result(),
                                                                    commitResult.revision(),
                                                                    pendingChange.notes()));
                                                }
                                                // Not applied, or not known: what is there by now
                                                // decides, and the guards keep a late one out.
                                                if (tries == MAX_ATTEMPTS
                                                        || failure != null
                                                                && KeyValueStoreException.outcomeOf(
                                                                                failure)
                                                                        == Outcome
                                                                                .INVALID_REQUEST) {
                                                    return CompletableFuture
                                                            .<ChangeOutcome>failedFuture(
                                                                    new AdmissionService
                                                                            .TemporarilyUnavailableException(
                                                                            "the calendar keeps changing, or"
                                                                                    + " the state service gives no answer"));
                                                }
                                                CompletableFuture<ChangeOutcome> later =
                                                        new CompletableFuture<>();
                                                loop.schedule(
                                                        RETRY_DELAY,
                                                        () ->
                                                                attemptChange(decide, tries + 1)
                                                                        .whenComplete(
                                                                                (changeOutcome,
                                                                                        lost) -> {
                                                                                    if (lost
                                                                                            == null) {
                                                                                        later
                                                                                                .complete(
                                                                                                        changeOutcome);
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
