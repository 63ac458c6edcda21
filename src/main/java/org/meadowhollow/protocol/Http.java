package org.meadowhollow.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/** What the protocols need of HTTP; the transport layer supplies it. */
public interface Http {
    /** An answer: a status, a body, and the headers that matter here. */
    record Reply(int status, byte[] body, int retryAfterSeconds, String contentType) {
        private static final String MESSAGE_PACK_CONTENT_TYPE = "application/msgpack";

        public Reply(int status, byte[] body, int retryAfterS) {
            this(status, body, retryAfterS, MESSAGE_PACK_CONTENT_TYPE);
        }

        public static Reply of(int status, Map<String, ?> body) {
            return new Reply(status, MessagePackCodec.encode(body), 0);
        }

        /** An answer that tells the caller when to come back. */
        public static Reply retryLater(int status, int afterS, String why) {
            return new Reply(status, MessagePackCodec.encode(Map.of("error", why)), afterS);
        }

        public static Reply error(int status, String why) {
            return new Reply(status, MessagePackCodec.encode(Map.of("error", why)), 0);
        }
    }

    /** The request never reached the other side. */
    class RequestNotSentException extends RuntimeException {
        public RequestNotSentException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * The other side's machine answered that nobody listens there, or that no more connections are
     * taken.
     */
    final class ConnectionRefusedException extends RequestNotSentException {
        public ConnectionRefusedException(String message) {
            super(message);
        }
    }

    /** The request went out but no answer came: it may have been executed, or may be yet. */
    final class NoResponseException extends RuntimeException {
        public NoResponseException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Sends a request to an address; fails with {@link RequestNotSentException} or {@link
     * NoResponseException}.
     */
    interface Client {
        CompletableFuture<Reply> send(
                String address, String method, String path, byte[] body, Duration timeout);
    }

    /**
     * A request as it came.
     *
     * @param query the values of each parameter, decoded, in their order
     * @param header the value of a header by its name, or null
     */
    record Request(
            String method,
            String path,
            Map<String, List<String>> query,
            UnaryOperator<String> header,
            byte[] body) {}

    /** Answers the requests that arrive at one listening address. */
    interface RequestHandler {
        CompletableFuture<Reply> answer(Request request);

        /** The answer to a body that is too large or was cut short. */
        default Reply invalidBodyReply() {
            return Reply.error(400, "the body is too large or was cut short");
        }
    }

    /** A service that needs no more than method, path and body. */
    interface SimpleRequestHandler extends RequestHandler {
        CompletableFuture<Reply> handle(String method, String path, byte[] body);

        @Override
        default CompletableFuture<Reply> answer(Request request) {
            return handle(request.method(), request.path(), request.body());
        }
    }
}
