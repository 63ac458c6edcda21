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
import org.meadowhollow.coordination.api.PortGuard;
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
 * Serves operators' requests for reservations and maintenance windows. Runs on every node and reads
 * and writes the key-value store directly. Every change requires that the calendar's revision key
 * is unchanged and rewrites it (compare-and-swap), so of two concurrent changes that were decided
 * from the same calendar, one fails and is decided again. Stateless; may be called on any thread.
 */
public final class ReservationService {
    private static final Logger LOG = LoggerFactory.getLogger(ReservationService.class);
    private static final int MAX_ATTEMPTS = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** The effect of a request on its entry. */
    public enum ChangeResult {
        CREATED,
        CHANGED,
        UNCHANGED
    }

    /**
     * The result of a request that was accepted.
     *
     * @param revision the current revision of the entry
     * @param notes the effects of the change on other entries, as text for the operator
     */
    public record ChangeOutcome(ChangeResult result, Revision revision, List<String> notes) {}

    /** Thrown when a request is rejected; the message gives the details. */
    public static final class RejectedException extends RuntimeException {
        /** The reasons for which requests are rejected. */
        public enum Reason {
            /** The request can never be met, even if the calendar were empty. */
            INFEASIBLE,
            /** Other entries leave too little capacity. */
            INSUFFICIENT_CAPACITY,
            /** The entry's revision differs from the one that the request expects. */
            REVISION_MISMATCH,
            /** The request changes an entry that does not exist. */
            NOT_FOUND,
            /** The calendar has no space for another entry. */
            CALENDAR_FULL
        }

        private final Reason reason;

        RejectedException(Reason reason, String message) {
            super(message, null, false, false);
            this.reason = reason;
        }

        /** Returns the reason for the rejection. */
        public Reason reason() {
            return reason;
        }
    }

    /** The decision on a request, based on one snapshot of the calendar. */
    private sealed interface Decision permits NothingToChange, EntryChange {}

    private record NothingToChange(Revision revision) implements Decision {}

    /**
     * A change of one entry.
     *
     * @param value the new record, or null to delete the entry
     * @param expectedRevision the revision that the entry must still have
     */
    private record EntryChange(
            String key,
            Map<String, Object> value,
            Revision expectedRevision,
            ChangeResult result,
            List<String> notes)
            implements Decision {}

    private final KeyValueStore store;
    private final EventLoop loop;
    private final MachineTypeCatalog machineTypeCatalog;
    private final DeploymentSettings deploymentSettings;
    private final Map<String, Integer> maxMachines;

    /**
     * Creates a service.
     *
     * @param maxMachines the largest number of machines that the operators allow at a time, as in
     *     {@link ReservableCapacity}
     */
    public ReservationService(
            KeyValueStore store,
            EventLoop loop,
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            Map<String, Integer> maxMachines) {
        this.store = PortGuard.guard(store);
        this.loop = loop;
        this.machineTypeCatalog = machineTypeCatalog;
        this.deploymentSettings = deploymentSettings;
        this.maxMachines = Map.copyOf(maxMachines);
    }

    /**
     * Returns the capacity that the machine types, the settings and the operators' limits allow.
     */
    public static ReservableCapacity reservableCapacity(
            MachineTypeCatalog machineTypeCatalog,
            DeploymentSettings deploymentSettings,
            Map<String, Integer> maxMachines) {
        Map<String, Resources> limits = new HashMap<>();
        for (DeploymentSettings.TeamQuota quota : deploymentSettings.teamQuotas().values()) {
            limits.put(quota.name(), quota.limit());
        }
        List<MachineType> types = new ArrayList<>();
        machineTypeCatalog.types().forEach(types::add);
        return new ReservableCapacity(types, limits, maxMachines);
    }

    /**
     * Returns the capacity that is known now.
     *
     * @throws AdmissionService.TemporarilyUnavailableException while no machine type is known
     */
    private ReservableCapacity currentCapacity() {
        if (machineTypeCatalog.isEmpty()) {
            throw new AdmissionService.TemporarilyUnavailableException(
                    "the machine types are not known yet");
        }
        return reservableCapacity(machineTypeCatalog, deploymentSettings, maxMachines);
    }

    /** Reads the calendar. The revision of the snapshot is no newer than any entry in it. */
    public CompletableFuture<CalendarSnapshot> readCalendar() {
        // The revision is read first. If it were read after an entry, it could be newer than
        // that entry, and a change that was decided from the outdated entry would be applied.
        return store.get(CalendarRecordCodec.REVISION_KEY, RequestPriority.USER)
                .thenCompose(
                        revisionEntry ->
                                readPages(null, new ArrayList<>())
                                        .thenApply(entries -> snapshot(entries, revisionEntry)));
    }

    private static CalendarSnapshot snapshot(
            List<KeyValueStore.Entry> entries, Optional<KeyValueStore.Entry> revisionEntry) {
        CalendarSnapshot read = CalendarSnapshot.fromRecords(entries);
        Revision revision =
                revisionEntry.map(KeyValueStore.Entry::revision).orElse(Revision.ABSENT);
        return new CalendarSnapshot(read.reservations(), read.windows(), revision);
    }

    private CompletableFuture<List<KeyValueStore.Entry>> readPages(
            String after, List<KeyValueStore.Entry> entries) {
        return store.list(
                        CalendarRecordCodec.CALENDAR_PREFIX,
                        after,
                        KeyValueStore.MAX_PAGE_SIZE,
                        RequestPriority.USER)
                .thenCompose(
                        page -> {
                            entries.addAll(page.entries());
                            if (!page.hasMore()) {
                                return CompletableFuture.completedFuture(entries);
                            }
                            String last = page.entries().get(page.entries().size() - 1).key();
                            return readPages(last, entries);
                        });
    }

    /** Returns the plan from now to the end of a time span. */
    public CompletableFuture<ReservationPlan> planAhead(Duration span) {
        return readCalendar()
                .thenApply(
                        calendar ->
                                ReservationPlan.of(
                                        calendar,
                                        currentCapacity(),
                                        loop.wallClockMillis(),
                                        loop.wallClockMillis() + span.toMillis()));
    }

    /**
     * Creates or changes a reservation; the future fails with {@link RejectedException} if the
     * reservation cannot be admitted. Idempotent: a repeated request changes nothing.
     *
     * @param expected the current revision of the reservation to change, or null for a new
     *     reservation
     */
    public CompletableFuture<ChangeOutcome> reserve(Reservation requested, Revision expected) {
        return attemptChange(calendar -> decideReserve(calendar, requested, expected), 1);
    }

    private Decision decideReserve(
            CalendarSnapshot calendar, Reservation requested, Revision expected) {
        Optional<CalendarSnapshot.CalendarEntry<Reservation>> existing =
                calendar.findReservation(requested.name());
        if (existing.isPresent() && existing.get().item().equals(requested)) {
            return new NothingToChange(existing.get().revision());
        }
        checkExpectedRevision(calendar, existing, expected);
        requireAdmitted(
                ReservationAdmission.evaluate(
                        calendar,
                        requested,
                        currentCapacity(),
                        Set.copyOf(deploymentSettings.zones()),
                        loop.wallClockMillis()));
        return new EntryChange(
                CalendarRecordCodec.reservationKey(requested.name()),
                CalendarRecordCodec.encode(requested, nextAcceptanceOrder(calendar)),
                revisionOf(existing),
                resultFor(existing),
                List.of());
    }

    private static void requireAdmitted(ReservationAdmission.AdmissionResult admission) {
        if (admission.infeasibleReason() != null) {
            throw new RejectedException(
                    RejectedException.Reason.INFEASIBLE, admission.infeasibleReason());
        }
        if (!admission.isAdmitted()) {
            String nearest =
                    admission.nearestStart() == null
                            ? "; no later start was found"
                            : "; the nearest start that could be met is "
                                    + admission.nearestStart();
            throw new RejectedException(
                    RejectedException.Reason.INSUFFICIENT_CAPACITY,
                    String.join("; ", admission.conflicts()) + nearest);
        }
    }

    /**
     * Creates or changes a maintenance window, regardless of the reservations that it affects; the
     * notes of the outcome name these. Idempotent: a repeated request changes nothing.
     *
     * @param expected the current revision of the window to change, or null for a new window
     */
    public CompletableFuture<ChangeOutcome> declareWindow(
            MaintenanceWindow requested, Revision expected) {
        return attemptChange(calendar -> decideDeclare(calendar, requested, expected), 1);
    }

    private Decision decideDeclare(
            CalendarSnapshot calendar, MaintenanceWindow requested, Revision expected) {
        Optional<CalendarSnapshot.CalendarEntry<MaintenanceWindow>> existing =
                calendar.findWindow(requested.name());
        if (existing.isPresent() && existing.get().item().equals(requested)) {
            return new NothingToChange(existing.get().revision());
        }
        checkExpectedRevision(calendar, existing, expected);
        if (requested.scope() == MaintenanceWindow.Scope.ZONE
                && !deploymentSettings.zones().containsAll(requested.targets())) {
            throw new RejectedException(
                    RejectedException.Reason.INFEASIBLE, "there is no such zone");
        }
        List<String> notes =
                ReservationAdmission.describeAffectedReservations(
                        calendar, requested, currentCapacity(), loop.wallClockMillis());
        return new EntryChange(
                CalendarRecordCodec.windowKey(requested.name()),
                CalendarRecordCodec.encode(requested, nextAcceptanceOrder(calendar)),
                revisionOf(existing),
                resultFor(existing),
                notes);
    }

    /**
     * Deletes an entry; does nothing if the entry does not exist.
     *
     * @param window true to delete a maintenance window, false to delete a reservation
     * @param expected the current revision of the entry, or null to delete any revision
     */
    public CompletableFuture<ChangeOutcome> withdraw(
            String name, boolean window, Revision expected) {
        return attemptChange(calendar -> decideWithdraw(calendar, name, window, expected), 1);
    }

    private static Decision decideWithdraw(
            CalendarSnapshot calendar, String name, boolean window, Revision expected) {
        Optional<? extends CalendarSnapshot.CalendarEntry<?>> existing =
                window ? calendar.findWindow(name) : calendar.findReservation(name);
        if (existing.isEmpty()) {
            return new NothingToChange(Revision.ABSENT);
        }
        Revision revision = existing.get().revision();
        if (expected != null && !expected.equals(revision)) {
            throw revisionMismatch(revision);
        }
        String key =
                window
                        ? CalendarRecordCodec.windowKey(name)
                        : CalendarRecordCodec.reservationKey(name);
        return new EntryChange(key, null, revision, ChangeResult.CHANGED, List.of());
    }

    private static RejectedException revisionMismatch(Revision current) {
        return new RejectedException(
                RejectedException.Reason.REVISION_MISMATCH,
                "its version is " + current.value() + " by now");
    }

    private static <T> void checkExpectedRevision(
            CalendarSnapshot calendar,
            Optional<CalendarSnapshot.CalendarEntry<T>> existing,
            Revision expected) {
        if (existing.isPresent() && !existing.get().revision().equals(expected)) {
            throw revisionMismatch(existing.get().revision());
        }
        if (existing.isEmpty() && expected != null) {
            throw new RejectedException(
                    RejectedException.Reason.NOT_FOUND, "there is none to change");
        }
        if (existing.isEmpty() && calendar.size() >= ReservationAdmission.MAX_ENTRIES) {
            throw new RejectedException(
                    RejectedException.Reason.CALENDAR_FULL,
                    "there are " + ReservationAdmission.MAX_ENTRIES + " entries; withdraw some");
        }
    }

    private static <T> Revision revisionOf(Optional<CalendarSnapshot.CalendarEntry<T>> existing) {
        return existing.map(CalendarSnapshot.CalendarEntry::revision).orElse(Revision.ABSENT);
    }

    private static <T> ChangeResult resultFor(
            Optional<CalendarSnapshot.CalendarEntry<T>> existing) {
        return existing.isPresent() ? ChangeResult.CHANGED : ChangeResult.CREATED;
    }

    /**
     * Returns one more than the largest acceptance order, so that an entry that is accepted later
     * is planned later.
     */
    private static long nextAcceptanceOrder(CalendarSnapshot calendar) {
        long last = 0;
        for (CalendarSnapshot.CalendarEntry<?> entry : calendar.reservations()) {
            last = Math.max(last, entry.acceptanceOrder());
        }
        for (CalendarSnapshot.CalendarEntry<?> entry : calendar.windows()) {
            last = Math.max(last, entry.acceptanceOrder());
        }
        return last + 1;
    }

    /**
     * Reads the calendar, decides on the request and commits the change, if any.
     *
     * @param attempt the number of this attempt, from 1 to {@link #MAX_ATTEMPTS}
     */
    private CompletableFuture<ChangeOutcome> attemptChange(
            Function<CalendarSnapshot, Decision> decide, int attempt) {
        return readCalendar()
                .thenCompose(
                        calendar -> {
                            Decision decision = decide.apply(calendar);
                            if (decision instanceof EntryChange change) {
                                return commit(change, calendar.revision(), decide, attempt);
                            }
                            Revision revision = ((NothingToChange) decision).revision();
                            return CompletableFuture.completedFuture(
                                    new ChangeOutcome(ChangeResult.UNCHANGED, revision, List.of()));
                        });
    }

    // thenCompose unwraps the future that the handler returns, so none is ignored.
    @SuppressWarnings("FutureReturnValueIgnored")
    private CompletableFuture<ChangeOutcome> commit(
            EntryChange change,
            Revision calendarRevision,
            Function<CalendarSnapshot, Decision> decide,
            int attempt) {
        return store.commit(toTransaction(change, calendarRevision), RequestPriority.USER)
                .handle(
                        (commitResult, failure) -> {
                            if (failure == null && commitResult.isApplied()) {
                                return CompletableFuture.completedFuture(
                                        onApplied(change, commitResult.revision()));
                            }
                            // Not applied, or the outcome is unknown: decide again from what the
                            // store holds now. If the transaction is executed later, its
                            // revision conditions make it fail.
                            return retry(decide, attempt, failure);
                        })
                .thenCompose(outcome -> outcome);
    }

    private static Transaction toTransaction(EntryChange change, Revision calendarRevision) {
        Transaction transaction =
                new Transaction()
                        .requireRevision(CalendarRecordCodec.REVISION_KEY, calendarRevision)
                        .requireRevision(change.key(), change.expectedRevision())
                        .put(CalendarRecordCodec.REVISION_KEY, Map.of());
        if (change.value() == null) {
            transaction.delete(change.key());
        } else {
            transaction.put(change.key(), change.value());
        }
        return transaction;
    }

    private static ChangeOutcome onApplied(EntryChange change, Revision revision) {
        LOG.info(
                "calendar changed key={} result={} notes={}",
                change.key(),
                change.value() == null ? "WITHDRAWN" : change.result(),
                change.notes());
        return new ChangeOutcome(change.result(), revision, change.notes());
    }

    private CompletableFuture<ChangeOutcome> retry(
            Function<CalendarSnapshot, Decision> decide, int attempt, Throwable failure) {
        boolean invalid =
                failure != null
                        && KeyValueStoreException.outcomeOf(failure) == Outcome.INVALID_REQUEST;
        if (attempt == MAX_ATTEMPTS || invalid) {
            return CompletableFuture.failedFuture(
                    new AdmissionService.TemporarilyUnavailableException(
                            "the calendar keeps changing, or the state service gives no answer"));
        }
        CompletableFuture<ChangeOutcome> result = new CompletableFuture<>();
        loop.schedule(RETRY_DELAY, () -> completeWith(attemptChange(decide, attempt + 1), result));
        return result;
    }

    private static void completeWith(
            CompletableFuture<ChangeOutcome> source, CompletableFuture<ChangeOutcome> target) {
        CompletableFuture<?> unused =
                source.whenComplete(
                        (outcome, failure) -> {
                            if (failure == null) {
                                target.complete(outcome);
                            } else {
                                target.completeExceptionally(failure);
                            }
                        });
    }
}
