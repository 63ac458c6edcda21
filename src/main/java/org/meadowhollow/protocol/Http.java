package org.meadowhollow.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/** What the protocols need of HTTP: the ports that the transport layer implements or calls. */
public interface Http {
    /**
     * A response.
     *
     * @param retryAfterSeconds for the header {@code Retry-After}, 0 for none
     */
    // The body is handed on as it is; no response is compared with another.
    @SuppressWarnings("ArrayRecordComponent")
    record Reply(int status, byte[] body, int retryAfterSeconds, String contentType) {
        private static final String MESSAGE_PACK_CONTENT_TYPE = "application/msgpack";

        /** A response with a MessagePack body. */
        public Reply(int status, byte[] body, int retryAfterSeconds) {
            this(status, body, retryAfterSeconds, MESSAGE_PACK_CONTENT_TYPE);
        }

        /** A response with a body that is encoded as MessagePack. */
        public static Reply of(int status, Map<String, ?> body) {
            return new Reply(status, MessagePackCodec.encode(body), 0);
        }

        /** An error that may pass: the caller is told when to retry. */
        public static Reply retryLater(int status, int afterSeconds, String reason) {
            return new Reply(status, encodeError(reason), afterSeconds);
        }

        /** An error that a retry would meet again, or that passes at no known time. */
        public static Reply error(int status, String reason) {
            return new Reply(status, encodeError(reason), 0);
        }

        private static byte[] encodeError(String reason) {
            return MessagePackCodec.encode(Map.of("error", reason));
        }
    }

    /** The request certainly did not reach the other side. */
    class RequestNotSentException extends RuntimeException {
        /** An error without a stack trace. */
        public RequestNotSentException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * The other side's machine refused the connection: nothing listens there, or no more
     * connections are accepted.
     */
    final class ConnectionRefusedException extends RequestNotSentException {
        /** An error without a stack trace. */
        public ConnectionRefusedException(String message) {
            super(message);
        }
    }

    /** The request was sent but got no response: it may have been executed, or may be yet. */
    final class NoResponseException extends RuntimeException {
        /** An error without a stack trace. */
        public NoResponseException(String message) {
            super(message, null, false, false);
        }
    }

    /** Sends requests. */
    interface Client {
        /**
         * Sends a request; fails with {@link RequestNotSentException} or {@link
         * NoResponseException}.
         *
         * @param address host and port
         * @param path with the query
         * @param body or null
         */
        CompletableFuture<Reply> send(
                String address, String method, String path, byte[] body, Duration timeout);
    }

    /**
     * A request as it was received.
     *
     * @param query the values of each parameter, decoded, in their order of arrival
     * @param header the value of a header by its name, or null
     */
    // The body is handed on as it is; no request is compared with another.
    @SuppressWarnings("ArrayRecordComponent")
    record Request(
            String method,
            String path,
            Map<String, List<String>> query,
            UnaryOperator<String> header,
            byte[] body) {}

    /** Handles the requests that arrive at one listening address, on the event loop's thread. */
    interface RequestHandler {
        /** Responds to a request, whatever it is; a failed future is a defect. */
        CompletableFuture<Reply> answer(Request request);

        /** The response to a body that is too large or was cut short. */
        default Reply invalidBodyReply() {
            return Reply.error(400, "the body is too large or was cut short");
        }
    }

    /** A handler that needs no more than method, path and body. */
    interface SimpleRequestHandler extends RequestHandler {
        /** Responds to a request; see {@link RequestHandler#answer}. */
        CompletableFuture<Reply> handle(String method, String path, byte[] body);

        @Override
        default CompletableFuture<Reply> answer(Request request) {
            return handle(request.method(), request.path(), request.body());
        }
    }
}
