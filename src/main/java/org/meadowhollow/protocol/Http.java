package org.meadowhollow.protocol;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/**
 * The HTTP ports of the protocols: the transport layer implements {@link Client} and calls {@link
 * RequestHandler}.
 */
public interface Http {
    /**
     * Why a request was refused as malformed, for the log; not part of the response.
     *
     * @param reason one line that names the field or byte
     */
    record Refusal(MalformedMessageException.Defect cause, String reason) {}

    /**
     * An HTTP response.
     *
     * @param retryAfterSeconds the value of the {@code Retry-After} header, 0 to omit it
     * @param refusal why the request was refused as malformed, or null if it was not
     */
    // The body is passed on without a copy, and responses are never compared.
    @SuppressWarnings("ArrayRecordComponent")
    record Reply(
            int status, byte[] body, int retryAfterSeconds, String contentType, Refusal refusal) {
        private static final String MESSAGE_PACK_CONTENT_TYPE = "application/msgpack";
        private static final int BAD_REQUEST = 400;

        /** Creates a response to a request that was not refused as malformed. */
        public Reply(int status, byte[] body, int retryAfterSeconds, String contentType) {
            this(status, body, retryAfterSeconds, contentType, null);
        }

        /** Creates a response with a MessagePack body. */
        public Reply(int status, byte[] body, int retryAfterSeconds) {
            this(status, body, retryAfterSeconds, MESSAGE_PACK_CONTENT_TYPE);
        }

        /** Returns a response with a map encoded as MessagePack. */
        public static Reply of(int status, Map<String, ?> body) {
            return new Reply(status, MessagePackCodec.encode(body), 0);
        }

        /**
         * Returns the response to a request that failed temporarily and tells the client when to
         * retry.
         */
        public static Reply retryLater(int status, int afterSeconds, String reason) {
            return new Reply(status, encodeError(reason), afterSeconds);
        }

        /** Returns the response to a request that would fail again, or for an unknown time. */
        public static Reply error(int status, String reason) {
            return new Reply(status, encodeError(reason), 0);
        }

        /** Returns the response to a malformed request. */
        public static Reply malformed(MalformedMessageException malformed) {
            return error(BAD_REQUEST, malformed.getMessage()).refusedFor(malformed);
        }

        /** Returns this response with the reason why the request is malformed. */
        public Reply refusedFor(MalformedMessageException malformed) {
            return new Reply(
                    status,
                    body,
                    retryAfterSeconds,
                    contentType,
                    new Refusal(malformed.defect(), malformed.getMessage()));
        }

        private static byte[] encodeError(String reason) {
            return MessagePackCodec.encode(Map.of("error", reason));
        }
    }

    /** Thrown when a request certainly did not reach the server. */
    class RequestNotSentException extends RuntimeException {
        /** Creates an exception without a stack trace. */
        public RequestNotSentException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Thrown when the server's machine refused the connection: no process listens on the port, or
     * it accepts no more connections.
     */
    final class ConnectionRefusedException extends RequestNotSentException {
        /** Creates an exception without a stack trace. */
        public ConnectionRefusedException(String message) {
            super(message);
        }
    }

    /**
     * Thrown when a request was sent but got no response: it may have been executed, or may still
     * be executed later.
     */
    final class NoResponseException extends RuntimeException {
        /** Creates an exception without a stack trace. */
        public NoResponseException(String message) {
            super(message, null, false, false);
        }
    }

    /** Sends HTTP requests. */
    interface Client {
        /**
         * Sends a request. Throws nothing: whatever goes wrong, the future fails with {@link
         * RequestNotSentException} or {@link NoResponseException}.
         *
         * @param address the host and port of the server
         * @param path the path and query
         * @param body the body, or null
         */
        CompletableFuture<Reply> send(
                String address, String method, String path, byte[] body, Duration timeout);
    }

    /**
     * A received HTTP request.
     *
     * @param query the decoded values of each query parameter, in the order of the request
     * @param header returns the value of a header by its name, or null if it is absent
     */
    // The body is passed on without a copy, and requests are never compared.
    @SuppressWarnings("ArrayRecordComponent")
    record Request(
            String method,
            String path,
            Map<String, List<String>> query,
            UnaryOperator<String> header,
            byte[] body) {}

    /** Handles the requests that arrive at one listening address, on the event loop's thread. */
    interface RequestHandler {
        /**
         * Responds to any request, with an error response if it is invalid; a failed future is a
         * defect.
         */
        CompletableFuture<Reply> answer(Request request);

        /** Returns the response to a body that is too large or was cut short. */
        default Reply invalidBodyReply() {
            return Reply.error(400, "the body is too large or was cut short");
        }
    }

    /** A handler that uses only the method, path and body of a request. */
    interface SimpleRequestHandler extends RequestHandler {
        /** Responds to a request; see {@link RequestHandler#answer}. */
        CompletableFuture<Reply> handle(String method, String path, byte[] body);

        @Override
        default CompletableFuture<Reply> answer(Request request) {
            return handle(request.method(), request.path(), request.body());
        }
    }
}
