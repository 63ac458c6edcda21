package org.meadowhollow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request and its response on one open connection. Reports its outcome to a {@link Listener}
 * exactly once, also if the HTTP library throws: Undertow throws a {@code NullPointerException} out
 * of {@code sendRequest} when the connection is found dead while the request is being written.
 *
 * <p>Not thread-safe: used on the event loop's thread only. Opens and closes no connections.
 */
final class HttpExchange {
    private static final Logger LOG = LoggerFactory.getLogger(HttpExchange.class);

    /**
     * The limit of a response's body. A page of the key-value store holds 512 KiB; the response to
     * a watch may hold every changed record.
     */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** Receives the outcome of an exchange. */
    interface Listener {
        /**
         * Called when the response has arrived in full.
         *
         * @param keepsConnection whether the server allows another request on the connection
         */
        void onResponse(int status, byte[] body, boolean keepsConnection);

        /**
         * Called when the exchange has failed; its connection must be closed.
         *
         * @param reason the reason, for the log
         */
        void onFailure(String reason);
    }

    /** A step of the exchange, which calls the HTTP library. */
    private interface Step {
        void run() throws IOException;
    }

    private final ClientConnection connection;
    private final ClientRequest request;
    private final byte[] body;
    private final ByteBufferPool buffers;
    private final Listener listener;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** The bytes that earlier requests have written to the connection. */
    private final long bytesWrittenBefore;

    private boolean ended;

    /**
     * @param connection an open connection without another request, which counts the bytes that it
     *     writes
     * @param body the request's body, or null
     * @param buffers the pool of buffers for the response's body
     */
    HttpExchange(
            ClientConnection connection,
            ClientRequest request,
            byte[] body,
            ByteBufferPool buffers,
            Listener listener) {
        this.connection = connection;
        this.request = request;
        this.body = body;
        this.buffers = buffers;
        this.listener = listener;
        this.bytesWrittenBefore = connection.getStatistics().getWritten();
    }

    /** Sends the request. */
    void start() {
        runStep(() -> connection.sendRequest(request, new Callback(this::onRequestStarted)));
    }

    /**
     * Whether any byte of the request was handed to the operating system. If not, and the
     * connection is closed, the server has certainly not received the request.
     */
    boolean isPossiblySent() {
        return connection.getStatistics().getWritten() > bytesWrittenBefore;
    }

    /** Ignores everything that happens on the connection from now on. */
    void abandon() {
        ended = true;
    }

    /** Runs a step; whatever it throws fails the exchange. */
    private void runStep(Step step) {
        try {
            step.run();
        } catch (IOException | RuntimeException failure) {
            LOG.debug("exchange step failed", failure);
            fail("connection lost: " + failure);
        }
    }

    private void fail(String reason) {
        if (ended) {
            // Closing the connection fails the steps that are under way; the first reason counts.
            return;
        }
        ended = true;
        listener.onFailure(reason);
    }

    /** Runs the next step of the exchange when the library has finished the one before. */
    private final class Callback implements ClientCallback<ClientExchange> {
        private final Consumer<ClientExchange> next;

        Callback(Consumer<ClientExchange> next) {
            this.next = next;
        }

        @Override
        public void completed(ClientExchange exchange) {
            runStep(() -> next.accept(exchange));
        }

        @Override
        public void failed(IOException failure) {
            fail("connection lost: " + failure.getMessage());
        }
    }

    // ---- request ----

    private void onRequestStarted(ClientExchange exchange) {
        exchange.setResponseListener(new Callback(this::readResponse));
        if (body != null) {
            // The library itself completes a request without a body.
            StreamSinkChannel channel = exchange.getRequestChannel();
            ByteBuffer remaining = ByteBuffer.wrap(body);
            channel.getWriteSetter().set(unused -> runStep(() -> writeBody(channel, remaining)));
            runStep(() -> writeBody(channel, remaining));
        }
    }

    /** Writes until the channel accepts no more, and resumes when it does again. */
    private void writeBody(StreamSinkChannel channel, ByteBuffer remaining) throws IOException {
        while (remaining.hasRemaining()) {
            if (channel.write(remaining) == 0) {
                channel.resumeWrites();
                return;
            }
        }
        channel.shutdownWrites();
        flush(channel);
    }

    /** Flushes what the channel has buffered, and resumes when it accepts more. */
    private void flush(StreamSinkChannel channel) throws IOException {
        if (channel.flush()) {
            channel.suspendWrites();
        } else {
            channel.getWriteSetter().set(unused -> runStep(() -> flush(channel)));
            channel.resumeWrites();
        }
    }

    // ---- response ----

    private void readResponse(ClientExchange exchange) {
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(unused -> runStep(() -> readAvailable(exchange, channel)));
        runStep(() -> readAvailable(exchange, channel));
    }

    private void readAvailable(ClientExchange exchange, StreamSourceChannel channel)
            throws IOException {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!ended) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) {
                    succeed(exchange);
                    return;
                }
                append(buffer.flip());
            }
        }
    }

    private void append(ByteBuffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        received.writeBytes(bytes);
        if (received.size() > MAX_BODY_BYTES) {
            fail("the answer is too large");
        }
    }

    private void succeed(ClientExchange exchange) {
        ended = true;
        String connectionHeader =
                exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
        listener.onResponse(
                exchange.getResponse().getResponseCode(),
                received.toByteArray(),
                !"close".equalsIgnoreCase(connectionHeader));
    }
}
