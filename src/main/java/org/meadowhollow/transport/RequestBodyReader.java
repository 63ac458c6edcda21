package org.meadowhollow.transport;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives the body of one request, up to a limit and a deadline. Memory is allocated for the bytes
 * that have arrived, whatever length the request claims. Used on the event loop's thread only.
 */
final class RequestBodyReader implements UnfinishedRequests.Request {
    /** The longest time from the head of a request to the last byte of its body. */
    static final Duration DEADLINE = Duration.ofSeconds(3);

    /** Learns how the reception of a body ended. */
    interface Outcome {
        /** The body is complete. */
        void complete(byte[] body);

        /**
         * The body was not received.
         *
         * @param isAborted whether the connection is closed without a response
         */
        void failed(Defect defect, String reason, boolean isAborted);
    }

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final HttpServerExchange exchange;
    private final int maxBytes;
    private final UnfinishedRequests unfinishedRequests;
    private final Outcome outcome;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final AdaptiveTimeout timeout;
    private StreamSourceChannel channel;

    /** The timer of the deadline; null while the body may still arrive with the head. */
    private XnioExecutor.Key deadlineTimer;

    private boolean ended;

    RequestBodyReader(
            XnioEventLoop loop,
            ByteBufferPool buffers,
            HttpServerExchange exchange,
            int maxBytes,
            UnfinishedRequests unfinishedRequests,
            Outcome outcome) {
        this.loop = loop;
        this.buffers = buffers;
        this.exchange = exchange;
        this.maxBytes = maxBytes;
        this.unfinishedRequests = unfinishedRequests;
        this.outcome = outcome;
        this.timeout = new AdaptiveTimeout(System.nanoTime(), DEADLINE.toNanos());
    }

    /** Reads what has arrived, and waits for the rest. Call it once, in the exchange's handler. */
    void start() {
        channel = exchange.getRequestChannel();
        readAvailable(body -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> complete(body)));
        if (!ended) {
            armDeadline(DEADLINE.toNanos());
            channel.getReadSetter().set(readable -> readAvailable(this::completeOutsideHandler));
            channel.resumeReads();
        }
    }

    private void complete(byte[] body) {
        outcome.complete(body);
    }

    private void completeOutsideHandler(byte[] body) {
        Connectors.executeRootHandler(
                handled -> handled.dispatch(SameThreadExecutor.INSTANCE, () -> complete(body)),
                exchange);
    }

    private void readAvailable(Consumer<byte[]> whenComplete) {
        if (ended) {
            return;
        }
        int before = received.size();
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    end();
                    whenComplete.accept(received.toByteArray());
                    return;
                }
                if (count == 0) {
                    unfinishedRequests.received(this, received.size() - before);
                    return;
                }
                received.write(buffer.array(), buffer.arrayOffset(), count);
                if (received.size() > maxBytes) {
                    end();
                    outcome.failed(Defect.TOO_LARGE, "the body is too large", false);
                    return;
                }
            }
        } catch (IOException cutShort) {
            end();
            outcome.failed(Defect.CUT_SHORT, "the connection ended within the body", false);
        }
    }

    private void armDeadline(long nanos) {
        deadlineTimer = loop.ioThread().executeAfter(this::onDeadline, nanos, TimeUnit.NANOSECONDS);
    }

    private void onDeadline() {
        long extension = timeout.extensionNanos(System.nanoTime());
        if (extension > 0) {
            armDeadline(extension);
        } else {
            abort("the body was not complete after " + DEADLINE.toSeconds() + " s");
        }
    }

    @Override
    public void abort(String reason) {
        if (!ended) {
            end();
            outcome.failed(Defect.CUT_SHORT, reason, true);
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void end() {
        ended = true;
        unfinishedRequests.remove(this);
        if (deadlineTimer != null) {
            deadlineTimer.remove();
            channel.suspendReads();
        }
    }
}
