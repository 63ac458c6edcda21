package org.meadowhollow.protocol.reservation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.reservation.ReservationAdmission;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.tes.BearerTokens;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStoreException;

/**
 * The operators' HTTP interface to reservations and maintenance windows, on every node: create,
 * change, show, list and withdraw entries, and show the plan. Stateless; may be called on any
 * thread.
 */
public final class ReservationApi implements Http.RequestHandler {
    /**
     * The name that takes the place of a team's name in the tokens that may change the calendar.
     */
    public static final String OPERATOR = "operator";

    private static final String PATH_PREFIX = "/calendar/v1/";
    private static final String PLAN_PATH = "plan";
    private static final String RESERVATIONS_PATH = "reservations";
    private static final String WINDOWS_PATH = "windows";
    private static final String JSON_TYPE = "application/json";
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final int DEFAULT_PLAN_HOURS = 48;

    private final ReservationService reservationService;
    private final BearerTokens tokens;

    /**
     * Creates the interface.
     *
     * @param tokens the accepted tokens: those of {@link #OPERATOR} may change the calendar, all
     *     others may only read it
     */
    public ReservationApi(ReservationService reservationService, BearerTokens tokens) {
        this.reservationService = reservationService;
        this.tokens = tokens;
    }

    private static final class HttpStatusException extends RuntimeException {
        private final int status;

        HttpStatusException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    @Override
    public Http.Reply invalidBodyReply() {
        return errorReply(413, "the body is larger than 64 KiB or was cut short");
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        CompletableFuture<Http.Reply> reply;
        try {
            reply = route(request);
        } catch (MalformedMessageException | HttpStatusException invalid) {
            reply = CompletableFuture.failedFuture(invalid);
        }
        return reply.exceptionally(ReservationApi::replyToFailure);
    }

    private static Http.Reply replyToFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof HttpStatusException withStatus) {
            return errorReply(withStatus.status, withStatus.getMessage());
        }
        if (cause instanceof MalformedMessageException malformed) {
            return errorReply(400, malformed.getMessage()).refusedFor(malformed);
        }
        if (cause instanceof ReservationService.RejectedException rejected) {
            return errorReply(statusOf(rejected.reason()), rejected.getMessage());
        }
        if (cause instanceof AdmissionService.TemporarilyUnavailableException
                || cause instanceof KeyValueStoreException) {
            return new Http.Reply(
                    503,
                    JsonCodec.encode(MessageReader.mapOf("error", cause.getMessage())),
                    RETRY_AFTER_SECONDS,
                    JSON_TYPE);
        }
        throw new CompletionException(cause);
    }

    private static int statusOf(ReservationService.RejectedException.Reason reason) {
        return switch (reason) {
            case INFEASIBLE -> 422;
            case INSUFFICIENT_CAPACITY, CALENDAR_FULL -> 409;
            case REVISION_MISMATCH -> 412;
            case NOT_FOUND -> 404;
        };
    }

    private static Http.Reply errorReply(int status, String message) {
        return reply(status, MessageReader.mapOf("error", message));
    }

    private static Http.Reply reply(int status, Map<String, Object> body) {
        return new Http.Reply(status, JsonCodec.encode(body), 0, JSON_TYPE);
    }

    private CompletableFuture<Http.Reply> route(Http.Request request)
            throws MalformedMessageException {
        if (!request.path().startsWith(PATH_PREFIX)) {
            throw new HttpStatusException(404, "no such path");
        }
        boolean isRead = request.method().equals("GET");
        authorize(request, isRead);
        String[] parts = request.path().substring(PATH_PREFIX.length()).split("/", -1);
        if (parts.length == 1 && parts[0].equals(PLAN_PATH) && isRead) {
            return showPlan(request);
        }
        boolean windows = parts[0].equals(WINDOWS_PATH);
        if (parts.length > 2 || (!windows && !parts[0].equals(RESERVATIONS_PATH))) {
            throw new HttpStatusException(404, "no such path");
        }
        if (parts.length == 1) {
            if (!isRead) {
                throw new HttpStatusException(405, "wrong method");
            }
            return listEntries(windows);
        }
        String name = ReservationCodec.requireValidName(parts[1]);
        return switch (request.method()) {
            case "GET" -> showEntry(name, windows);
            case "PUT" -> putEntry(name, windows, request);
            case "DELETE" ->
                    reservationService
                            .withdraw(name, windows, parseExpectedRevision(request))
                            .thenApply(ReservationApi::changeReply);
            default -> throw new HttpStatusException(405, "wrong method");
        };
    }

    private void authorize(Http.Request request, boolean isRead) {
        String holder =
                tokens.teamOf(request.header().apply("Authorization"))
                        .orElseThrow(
                                () ->
                                        new HttpStatusException(
                                                401, "no token, or one that is not known"));
        if (!isRead && !holder.equals(OPERATOR)) {
            throw new HttpStatusException(403, "this token may only read");
        }
    }

    private CompletableFuture<Http.Reply> showPlan(Http.Request request)
            throws MalformedMessageException {
        return reservationService
                .planAhead(Duration.ofHours(parsePlanHours(request)))
                .thenApply(plan -> reply(200, ReservationCodec.encode(plan)));
    }

    private CompletableFuture<Http.Reply> listEntries(boolean windows) {
        return reservationService
                .readCalendar()
                .thenApply(
                        calendar -> {
                            List<Map<String, Object>> entries = new ArrayList<>();
                            entriesOf(calendar, windows)
                                    .forEach(entry -> entries.add(ReservationCodec.encode(entry)));
                            String field = windows ? WINDOWS_PATH : RESERVATIONS_PATH;
                            return reply(200, MessageReader.mapOf(field, entries));
                        });
    }

    private CompletableFuture<Http.Reply> showEntry(String name, boolean windows) {
        return reservationService
                .readCalendar()
                .thenApply(
                        calendar ->
                                entriesOf(calendar, windows).stream()
                                        .filter(entry -> nameOf(entry).equals(name))
                                        .findFirst()
                                        .map(entry -> reply(200, ReservationCodec.encode(entry)))
                                        .orElseThrow(
                                                () ->
                                                        new HttpStatusException(
                                                                404,
                                                                "there is none of this name")));
    }

    private static List<? extends CalendarSnapshot.CalendarEntry<?>> entriesOf(
            CalendarSnapshot calendar, boolean windows) {
        return windows ? calendar.windows() : calendar.reservations();
    }

    private static String nameOf(CalendarSnapshot.CalendarEntry<?> entry) {
        return entry.item() instanceof MaintenanceWindow window
                ? window.name()
                : ((Reservation) entry.item()).name();
    }

    private CompletableFuture<Http.Reply> putEntry(
            String name, boolean windows, Http.Request request) throws MalformedMessageException {
        MessageReader body = new MessageReader(JsonCodec.decode(request.body()));
        Revision expected = parseExpectedRevision(request);
        return (windows
                        ? reservationService.declareWindow(
                                ReservationCodec.decodeWindow(name, body), expected)
                        : reservationService.reserve(
                                ReservationCodec.decodeReservation(name, body), expected))
                .thenApply(ReservationApi::changeReply);
    }

    private static Http.Reply changeReply(ReservationService.ChangeOutcome outcome) {
        return reply(
                outcome.result() == ReservationService.ChangeResult.CREATED ? 201 : 200,
                MessageReader.mapOf(
                        "version",
                        MessagePackCodec.ofUnsigned(outcome.revision().value()),
                        "notes",
                        outcome.notes()));
    }

    /**
     * Returns the revision that the request expects, from the If-Match header with or without
     * quotes; null if the header is absent.
     */
    private static Revision parseExpectedRevision(Http.Request request)
            throws MalformedMessageException {
        String text = request.header().apply("If-Match");
        if (text == null) {
            return null;
        }
        try {
            return new Revision(Long.parseUnsignedLong(text.replace("\"", "").trim()));
        } catch (NumberFormatException invalid) {
            throw new MalformedMessageException("If-Match is not a version that was shown");
        }
    }

    private static int parsePlanHours(Http.Request request) throws MalformedMessageException {
        String text =
                Optional.ofNullable(request.query().get("hours"))
                        .map(values -> values.get(0))
                        .orElse(null);
        try {
            int hours = text == null ? DEFAULT_PLAN_HOURS : Integer.parseInt(text);
            if (hours >= 1 && hours <= ReservationAdmission.ADMISSION_HORIZON.toHours()) {
                return hours;
            }
        } catch (NumberFormatException notANumber) {
            // Rejected below with the same message as a number out of range.
        }
        throw new MalformedMessageException(
                "hours is not from 1 to " + ReservationAdmission.ADMISSION_HORIZON.toHours());
    }
}
