package org.meadowhollow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.protocol.Http;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * HTTP client with a pool of connections for each address. A connection carries one request at a
 * time and returns to the pool afterwards. {@link #send} may be called on any thread; all other
 * work is done on the event loop's thread, which owns the connections and pools.
 */
public final class HttpClient implements Http.Client {
    /**
     * The limit of idle connections to an address: as many as a busy caller has requests in flight.
     */
    private static final int MAX_IDLE_PER_ADDRESS = 12;

    /**
     * The limit of open and opening connections to an address, so that an unresponsive address
     * cannot use up the process's sockets.
     */
    public static final int MAX_OPEN_PER_ADDRESS = 24;

    /**
     * The limit of a response's body. A page of the key-value store holds 512 KiB; the response to
     * a watch may hold every changed record.
     */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final AttemptCapturingIoThread attemptCapture;
    private final Map<String, ConnectionPool> poolsByAddress = new HashMap<>();

    /**
     * Creates a client without connections.
     *
     * @param loop runs all requests
     * @param buffers the pool of buffers for the connections and the bodies of responses
     */
    public HttpClient(XnioEventLoop loop, ByteBufferPool buffers) {
        this.loop = loop;
        this.buffers = buffers;
        this.attemptCapture = new AttemptCapturingIoThread(loop.ioThread());
    }

    @Override
    public CompletableFuture<Http.Reply> send(
            String address, String method, String path, byte[] body, Duration timeout) {
        PendingRequest pendingRequest =
                new PendingRequest(
                        address,
                        method,
                        path,
                        body,
                        new AdaptiveTimeout(System.nanoTime(), timeout.toNanos()));
        pendingRequest.armTimeout(timeout.toNanos());
        if (Thread.currentThread() == loop.ioThread()) {
            pendingRequest.start();
        } else {
            loop.ioThread().execute(pendingRequest::start);
        }
        return pendingRequest.reply;
    }

    /** One request in flight. Every method runs on the event loop's thread. */
    private final class PendingRequest {
        private final String address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final AdaptiveTimeout adaptiveTimeout;
        private final CompletableFuture<Http.Reply> reply = new CompletableFuture<>();
        private XnioExecutor.Key timeoutTimer;
        private ClientConnection connection;

        /** The pool whose slot this request holds while its connection is being opened, or null. */
        private ConnectionPool connectingPool;

        private IoFuture<StreamConnection> connectAttempt;

        /** Whether the request may have reached the server. */
        private boolean sent;

        private boolean refused;
        private boolean completed;

        PendingRequest(
                String address,
                String method,
                String path,
                byte[] body,
                AdaptiveTimeout adaptiveTimeout) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.adaptiveTimeout = adaptiveTimeout;
        }

        private void armTimeout(long nanos) {
            timeoutTimer =
                    loop.ioThread()
                            .executeAfter(
                                    () -> {
                                        long extension =
                                                adaptiveTimeout.extensionNanos(System.nanoTime());
                                        if (extension > 0) {
                                            armTimeout(extension);
                                        } else {
                                            fail("no answer in time");
                                        }
                                    },
                                    nanos,
                                    TimeUnit.NANOSECONDS);
        }

        void start() {
            ConnectionPool pool =
                    poolsByAddress.computeIfAbsent(address, unused -> new ConnectionPool());
            ClientConnection idleConnection = pool.takeOpenIdle();
            if (idleConnection != null) {
                sendOn(idleConnection);
                return;
            }
            if (pool.openCount >= MAX_OPEN_PER_ADDRESS) {
                fail("too many open connections to " + address);
                return;
            }
            connect(pool);
        }

        private void connect(ConnectionPool pool) {
            pool.openCount++;
            connectingPool = pool;
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(ClientConnection opened) {
                                    if (connectingPool == null) {
                                        // The request has already failed and released its slot.
                                        IoUtils.safeClose(opened);
                                        return;
                                    }
                                    connectingPool = null;
                                    opened.getCloseSetter().set(unused -> releaseSlot(pool));
                                    sendOn(opened);
                                }

                                @Override
                                public void failed(IOException failure) {
                                    refused = failure instanceof ConnectException;
                                    fail("no connection to " + address);
                                }
                            },
                            URI.create("http://" + address),
                            attemptCapture,
                            buffers,
                            OptionMap.EMPTY);
            connectAttempt = attemptCapture.takeLatestAttempt();
        }

        private void releaseSlot(ConnectionPool pool) {
            pool.openCount--;
            if (pool.openCount == 0) {
                poolsByAddress.remove(address, pool);
            }
        }

        private void sendOn(ClientConnection openConnection) {
            connection = openConnection;
            sent = true;
            connection.sendRequest(newRequest(), new ExchangeCallback(this::exchangeStarted));
        }

        private ClientRequest newRequest() {
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            }
            return request;
        }

        private void exchangeStarted(ClientExchange exchange) {
            exchange.setResponseListener(
                    new ExchangeCallback(
                            answered -> readResponse(answered, new ByteArrayOutputStream())));
            try {
                writeBody(exchange.getRequestChannel());
            } catch (IOException failure) {
                failConnectionLost(failure);
            }
        }

        /** Runs the next step of an exchange; fails the request if the connection is lost. */
        private final class ExchangeCallback implements ClientCallback<ClientExchange> {
            private final Consumer<ClientExchange> next;

            ExchangeCallback(Consumer<ClientExchange> next) {
                this.next = next;
            }

            @Override
            public void completed(ClientExchange exchange) {
                next.accept(exchange);
            }

            @Override
            public void failed(IOException failure) {
                failConnectionLost(failure);
            }
        }

        private void writeBody(StreamSinkChannel channel) throws IOException {
            if (body == null) {
                channel.shutdownWrites();
                flushRequest(channel);
                return;
            }
            ByteBuffer remaining = ByteBuffer.wrap(body);
            if (!writeAvailable(channel, remaining)) {
                channel.getWriteSetter().set(unused -> resumeBody(channel, remaining));
                channel.resumeWrites();
                return;
            }
            channel.shutdownWrites();
            flushRequest(channel);
        }

        private void resumeBody(StreamSinkChannel channel, ByteBuffer remaining) {
            try {
                if (writeAvailable(channel, remaining)) {
                    channel.shutdownWrites();
                    flushRequest(channel);
                }
            } catch (IOException failure) {
                failConnectionLost(failure);
            }
        }

        /** Writes until the channel accepts no more; returns whether everything was written. */
        private static boolean writeAvailable(StreamSinkChannel channel, ByteBuffer remaining)
                throws IOException {
            while (remaining.hasRemaining()) {
                if (channel.write(remaining) == 0) {
                    return false;
                }
            }
            return true;
        }

        private void flushRequest(StreamSinkChannel channel) throws IOException {
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(
                                unused -> {
                                    try {
                                        if (channel.flush()) {
                                            channel.suspendWrites();
                                        }
                                    } catch (IOException failure) {
                                        failConnectionLost(failure);
                                    }
                                });
                channel.resumeWrites();
            }
        }

        private void readResponse(ClientExchange exchange, ByteArrayOutputStream received) {
            StreamSourceChannel channel = exchange.getResponseChannel();
            channel.getReadSetter().set(unused -> readAvailable(exchange, channel, received));
            readAvailable(exchange, channel, received);
        }

        private void readAvailable(
                ClientExchange exchange,
                StreamSourceChannel channel,
                ByteArrayOutputStream received) {
            try (PooledByteBuffer pooled = buffers.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (true) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count == 0) {
                        channel.resumeReads();
                        return;
                    }
                    if (count < 0) {
                        succeed(exchange, received.toByteArray());
                        return;
                    }
                    buffer.flip();
                    byte[] part = new byte[count];
                    buffer.get(part);
                    received.write(part, 0, count);
                    if (received.size() > MAX_BODY_BYTES) {
                        fail("the answer is too large");
                        return;
                    }
                }
            } catch (IOException failure) {
                failConnectionLost(failure);
            }
        }

        private void succeed(ClientExchange exchange, byte[] bytes) {
            if (completed) {
                return;
            }
            completed = true;
            timeoutTimer.remove();
            ConnectionPool pool = poolsByAddress.get(address);
            String connectionHeader =
                    exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
            if (pool != null
                    && pool.idle.size() < MAX_IDLE_PER_ADDRESS
                    && connection.isOpen()
                    && !"close".equalsIgnoreCase(connectionHeader)) {
                pool.idle.push(connection);
            } else {
                IoUtils.safeClose(connection);
            }
            Http.Reply received =
                    new Http.Reply(exchange.getResponse().getResponseCode(), bytes, 0);
            loop.runStep(EventLoopStep.RESPONSE, () -> reply.complete(received));
        }

        /**
         * Closes the idle connections to the address, because a fault of one connection most likely
         * affects them as well; the next request opens a new one.
         */
        private void closeIdleConnections() {
            ConnectionPool pool = poolsByAddress.get(address);
            if (pool != null) {
                pool.closeIdle();
            }
        }

        private void failConnectionLost(IOException failure) {
            fail("connection lost: " + failure.getMessage());
        }

        private void fail(String reason) {
            if (completed) {
                // Closing the connection below calls this method again; the first reason is kept.
                return;
            }
            completed = true;
            timeoutTimer.remove();
            if (connectingPool != null) {
                // The slot is released at once: behind a network partition, connection attempts
                // that hang would otherwise use up all slots.
                releaseSlot(connectingPool);
                connectingPool = null;
                if (connectAttempt != null) {
                    connectAttempt.cancel();
                }
            }
            IoUtils.safeClose(connection);
            if (sent) {
                closeIdleConnections();
            }
            reply.completeExceptionally(failure(reason));
        }

        private RuntimeException failure(String reason) {
            if (sent) {
                return new Http.NoResponseException(reason);
            }
            return refused
                    ? new Http.ConnectionRefusedException(reason)
                    : new Http.RequestNotSentException(reason);
        }
    }
}
