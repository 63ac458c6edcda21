package org.meadowhollow.protocol.reservation;

import java.time.Duration;
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
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.tes.BearerTokens;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStoreException;

/**
 * What operators call: put, show, list and withdraw reservations and windows, and the plan; at
 * every node.
 */
public final class ReservationApi implements Http.RequestHandler {
    /** The name that tokens of those who may change the calendar have, in place of a team's. */
    public static final String OPERATOR = "operator";

    private static final String PATH_PREFIX = "/calendar/v1/";
    private static final String JSON_TYPE = "application/json";
    private static final int RETRY_AFTER_SECONDS = 1;
    private static final int DEFAULT_PLAN_HOURS = 48;

    private final ReservationService reservationService;
    private final BearerTokens tokens;

    public ReservationApi(ReservationService desk, BearerTokens tokens) {
        this.reservationService = desk;
        this.tokens = tokens;
    }

    private static final class HttpStatusException extends RuntimeException {
        private final int status;

        HttpStatusException(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    @Override
    public Http.Reply invalidBodyReply() {
        return reply(413, "the body is larger than 64 KiB or was cut short");
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        CompletableFuture<Http.Reply> reply;
        try {
            reply = route(request);
        } catch (MalformedMessageException | HttpStatusException wrong) {
            reply = CompletableFuture.failedFuture(wrong);
        }
        return reply.exceptionally(ReservationApi::errorReply);
    }

    private static Http.Reply errorReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof HttpStatusException httpStatusException) {
            return reply(httpStatusException.status, httpStatusException.getMessage());
        }
        if (cause instanceof MalformedMessageException) {
            return reply(400, cause.getMessage());
        }
        if (cause instanceof ReservationService.RejectedException rejectedException) {
            return reply(
                    switch (rejectedException.reason()) {
                        case INFEASIBLE -> 422;
                        case INSUFFICIENT_CAPACITY, CALENDAR_FULL -> 409;
                        case REVISION_MISMATCH -> 412;
                        case NOT_FOUND -> 404;
                    },
                    rejectedException.getMessage());
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

    private static Http.Reply reply(int status, String why) {
        return reply(status, MessageReader.mapOf("error", why));
    }

    private static Http.Reply reply(int status, Map<String, Object> body) {
        return new Http.Reply(status, JsonCodec.encode(body), 0, JSON_TYPE);
    }

    private CompletableFuture<Http.Reply> route(Http.Request request)
            throws MalformedMessageException {
        if (!request.path().startsWith(PATH_PREFIX)) {
            throw new HttpStatusException(404, "no such path");
        }
        String who =
                tokens.teamOf(request.header().apply("Authorization"))
                        .orElseThrow(
                                () ->
                                        new HttpStatusException(
                                                401, "no token, or one that is not known"));
        boolean reads = request.method().equals("GET");
        if (!reads && !who.equals(OPERATOR)) {
            throw new HttpStatusException(403, "this token may only read");
        }
        String[] parts = request.path().substring(PATH_PREFIX.length()).split("/", -1);
        if (parts.length == 1 && parts[0].equals("plan") && reads) {
            return reservationService
                    .planAhead(Duration.ofHours(parsePlanHours(request)))
                    .thenApply(
                            reservationPlan ->
                                    reply(200, ReservationCodec.encode(reservationPlan)));
        }
        boolean windows = parts[0].equals("windows");
        if (parts.length > 2 || !windows && !parts[0].equals("reservations")) {
            throw new HttpStatusException(404, "no such path");
        }
        if (parts.length == 1) {
            if (!reads) {
                throw new HttpStatusException(405, "wrong method");
            }
            return reservationService
                    .readCalendar()
                    .thenApply(
                            calendarSnapshot ->
                                    reply(
                                            200,
                                            MessageReader.mapOf(
                                                    parts[0],
                                                    entriesOf(calendarSnapshot, windows).stream()
                                                            .map(ReservationCodec::encode)
                                                            .toList())));
        }
        String name = ReservationCodec.requireValidName(parts[1]);
        return switch (request.method()) {
            case "GET" ->
                    reservationService
                            .readCalendar()
                            .thenApply(
                                    calendarSnapshot ->
                                            entriesOf(calendarSnapshot, windows).stream()
                                                    .filter(held -> nameOf(held).equals(name))
                                                    .findFirst()
                                                    .map(
                                                            held ->
                                                                    reply(
                                                                            200,
                                                                            ReservationCodec.encode(
                                                                                    held)))
                                                    .orElseThrow(
                                                            () ->
                                                                    new HttpStatusException(
                                                                            404,
                                                                            "there is none of this name")));
            case "PUT" -> putEntry(name, windows, request);
            case "DELETE" ->
                    reservationService
                            .withdraw(name, windows, parseExpectedRevision(request))
                            .thenApply(ReservationApi::changeReply);
            default -> throw new HttpStatusException(405, "wrong method");
        };
    }

    private static List<? extends CalendarSnapshot.CalendarEntry<?>> entriesOf(
            CalendarSnapshot calendarSnapshot, boolean windows) {
        return windows ? calendarSnapshot.windows() : calendarSnapshot.reservations();
    }

    private static String nameOf(CalendarSnapshot.CalendarEntry<?> calendarEntry) {
        return calendarEntry.item() instanceof MaintenanceWindow window
                ? window.name()
                : ((Reservation) calendarEntry.item()).name();
    }

    private CompletableFuture<Http.Reply> putEntry(
            String name, boolean windows, Http.Request request) throws MalformedMessageException {
        MessageReader body = new MessageReader(JsonCodec.decode(request.body()));
        Revision expected = parseExpectedRevision(request);
        return (windows
                        ? reservationService.declareWindow(
                                ReservationCodec.window(name, body), expected)
                        : reservationService.reserve(
                                ReservationCodec.reservation(name, body), expected))
                .thenApply(ReservationApi::changeReply);
    }

    private static Http.Reply changeReply(ReservationService.ChangeOutcome changeOutcome) {
        return reply(
                changeOutcome.result() == ReservationService.ChangeResult.CREATED ? 201 : 200,
                MessageReader.mapOf(
                        "version",
                        changeOutcome.revision().value(),
                        "notes",
                        changeOutcome.notes()));
    }

    /**
     * The version that a change is meant for, in the header that HTTP has for it, with quotes or
     * without.
     */
    private static Revision parseExpectedRevision(Http.Request request)
            throws MalformedMessageException {
        String text = request.header().apply("If-Match");
        if (text == null) {
            return null;
        }
        try {
            return new Revision(Long.parseLong(text.replace("\"", "").trim()));
        } catch (NumberFormatException wrong) {
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
            // One message for every wrong number.
        }
        throw new MalformedMessageException(
                "hours is not from 1 to " + ReservationAdmission.ADMISSION_HORIZON.toHours());
    }
}
