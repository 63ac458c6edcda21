package org.meadowhollow.protocol.calendar;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.admission.Admission;
import org.meadowhollow.coordination.calendar.Admittance;
import org.meadowhollow.coordination.calendar.CalendarDesk;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.reservation.MaintenanceWindow;
import org.meadowhollow.model.reservation.Reservation;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Json;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.protocol.tes.TesTokens;
import org.meadowhollow.storage.CalendarSnapshot;
import org.meadowhollow.storage.KeyValueStoreException;

/**
 * What operators call: put, show, list and withdraw reservations and windows, and the plan; at
 * every node.
 */
public final class CalendarApi implements Http.Service {
    /** The name that tokens of those who may change the calendar have, in place of a team's. */
    public static final String OPERATOR = "operator";

    private static final String ROOT = "/calendar/v1/";
    private static final String JSON_TYPE = "application/json";
    private static final int COME_BACK_S = 1;
    private static final int DEFAULT_HOURS = 48;

    private final CalendarDesk desk;
    private final TesTokens tokens;

    public CalendarApi(CalendarDesk desk, TesTokens tokens) {
        this.desk = desk;
        this.tokens = tokens;
    }

    private static final class Wrong extends RuntimeException {
        private final int status;

        Wrong(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    @Override
    public Http.Reply refusal() {
        return reply(413, "the body is larger than 64 KiB or was cut short");
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        CompletableFuture<Http.Reply> reply;
        try {
            reply = route(request);
        } catch (Malformed | Wrong wrong) {
            reply = CompletableFuture.failedFuture(wrong);
        }
        return reply.exceptionally(CalendarApi::failure);
    }

    private static Http.Reply failure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof Wrong wrong) {
            return reply(wrong.status, wrong.getMessage());
        }
        if (cause instanceof Malformed) {
            return reply(400, cause.getMessage());
        }
        if (cause instanceof CalendarDesk.Refused refused) {
            return reply(
                    switch (refused.why()) {
                        case NEVER -> 422;
                        case NOT_MET, FULL -> 409;
                        case CONFLICT -> 412;
                        case ABSENT -> 404;
                    },
                    refused.getMessage());
        }
        if (cause instanceof Admission.TryLater || cause instanceof KeyValueStoreException) {
            return new Http.Reply(
                    503,
                    Json.encode(Fields.of("error", cause.getMessage())),
                    COME_BACK_S,
                    JSON_TYPE);
        }
        throw new CompletionException(cause);
    }

    private static Http.Reply reply(int status, String why) {
        return reply(status, Fields.of("error", why));
    }

    private static Http.Reply reply(int status, Map<String, Object> body) {
        return new Http.Reply(status, Json.encode(body), 0, JSON_TYPE);
    }

    private CompletableFuture<Http.Reply> route(Http.Request request) throws Malformed {
        if (!request.path().startsWith(ROOT)) {
            throw new Wrong(404, "no such path");
        }
        String who =
                tokens.teamOf(request.header().apply("Authorization"))
                        .orElseThrow(() -> new Wrong(401, "no token, or one that is not known"));
        boolean reads = request.method().equals("GET");
        if (!reads && !who.equals(OPERATOR)) {
            throw new Wrong(403, "this token may only read");
        }
        String[] parts = request.path().substring(ROOT.length()).split("/", -1);
        if (parts.length == 1 && parts[0].equals("plan") && reads) {
            return desk.plan(Duration.ofHours(hours(request)))
                    .thenApply(plan -> reply(200, CalendarCodec.encode(plan)));
        }
        boolean windows = parts[0].equals("windows");
        if (parts.length > 2 || !windows && !parts[0].equals("reservations")) {
            throw new Wrong(404, "no such path");
        }
        if (parts.length == 1) {
            if (!reads) {
                throw new Wrong(405, "wrong method");
            }
            return desk.read()
                    .thenApply(
                            calendarSnapshot ->
                                    reply(
                                            200,
                                            Fields.of(
                                                    parts[0],
                                                    all(calendarSnapshot, windows).stream()
                                                            .map(CalendarCodec::encode)
                                                            .toList())));
        }
        String name = CalendarCodec.name(parts[1]);
        return switch (request.method()) {
            case "GET" ->
                    desk.read()
                            .thenApply(
                                    calendarSnapshot ->
                                            all(calendarSnapshot, windows).stream()
                                                    .filter(held -> nameOf(held).equals(name))
                                                    .findFirst()
                                                    .map(
                                                            held ->
                                                                    reply(
                                                                            200,
                                                                            CalendarCodec.encode(
                                                                                    held)))
                                                    .orElseThrow(
                                                            () ->
                                                                    new Wrong(
                                                                            404,
                                                                            "there is none of this name")));
            case "PUT" -> put(name, windows, request);
            case "DELETE" ->
                    desk.withdraw(name, windows, expected(request)).thenApply(CalendarApi::done);
            default -> throw new Wrong(405, "wrong method");
        };
    }

    private static List<? extends CalendarSnapshot.CalendarEntry<?>> all(
            CalendarSnapshot calendarSnapshot, boolean windows) {
        return windows ? calendarSnapshot.windows() : calendarSnapshot.reservations();
    }

    private static String nameOf(CalendarSnapshot.CalendarEntry<?> calendarEntry) {
        return calendarEntry.item() instanceof MaintenanceWindow window
                ? window.name()
                : ((Reservation) calendarEntry.item()).name();
    }

    private CompletableFuture<Http.Reply> put(String name, boolean windows, Http.Request request)
            throws Malformed {
        Fields body = new Fields(Json.decode(request.body()));
        Revision expected = expected(request);
        return (windows
                        ? desk.declare(CalendarCodec.window(name, body), expected)
                        : desk.reserve(CalendarCodec.reservation(name, body), expected))
                .thenApply(CalendarApi::done);
    }

    private static Http.Reply done(CalendarDesk.Done done) {
        return reply(
                done.result() == CalendarDesk.Result.CREATED ? 201 : 200,
                Fields.of("version", done.version().value(), "notes", done.notes()));
    }

    /**
     * The version that a change is meant for, in the header that HTTP has for it, with quotes or
     * without.
     */
    private static Revision expected(Http.Request request) throws Malformed {
        String text = request.header().apply("If-Match");
        if (text == null) {
            return null;
        }
        try {
            return new Revision(Long.parseLong(text.replace("\"", "").trim()));
        } catch (NumberFormatException wrong) {
            throw new Malformed("If-Match is not a version that was shown");
        }
    }

    private static int hours(Http.Request request) throws Malformed {
        String text =
                Optional.ofNullable(request.query().get("hours"))
                        .map(values -> values.get(0))
                        .orElse(null);
        try {
            int hours = text == null ? DEFAULT_HOURS : Integer.parseInt(text);
            if (hours >= 1 && hours <= Admittance.HORIZON.toHours()) {
                return hours;
            }
        } catch (NumberFormatException notANumber) {
            // One message for every wrong number.
        }
        throw new Malformed("hours is not from 1 to " + Admittance.HORIZON.toHours());
    }
}
