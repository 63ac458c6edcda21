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
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.meadowhollow.protocol.Http;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Requests to other parties: one at a time on a connection, idle connections kept for the next one.
 * All work is done on the loop's thread.
 */
public final class HttpClient implements Http.Client {
    /** Idle connections kept for an address: as many as a busy caller has requests on their way. */
    private static final int MAX_IDLE_PER_ADDRESS = 12;

    /**
     * Open and opening connections for an address; a dead one must not eat the process's sockets.
     */
    public static final int MAX_OPEN_PER_ADDRESS = 24;

    /** A list of the state service holds 512 KiB; a watch may answer with all that has changed. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final AttemptCapturingIoThread attemptCapture;
    private final Map<String, ConnectionPool> poolsByAddress = new HashMap<>();

    public HttpClient(XnioEventLoop loop, ByteBufferPool buffers) {
        this.loop = loop;
        this.buffers = buffers;
        this.attemptCapture = new AttemptCapturingIoThread(loop.ioThread());
    }

    private static final class ConnectionPool {
        private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
        private int openCount;
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

    /** One request; every method runs on the loop's thread. */
    private final class PendingRequest {
        private final String address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final AdaptiveTimeout adaptiveTimeout;
        private final CompletableFuture<Http.Reply> reply = new CompletableFuture<>();
        private XnioExecutor.Key timeoutTimer;
        private ClientConnection connection;

        /** Where this call waits for its connection, until it has it or gives it up. */
        private ConnectionPool connectingPool;

        private IoFuture<StreamConnection> connectAttempt;
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
                                        long more =
                                                adaptiveTimeout.extensionNanos(System.nanoTime());
                                        if (more > 0) {
                                            armTimeout(more);
                                        } else {
                                            fail("no answer in time");
                                        }
                                    },
                                    nanos,
                                    TimeUnit.NANOSECONDS);
        }

        void start() {
            ConnectionPool connectionPool =
                    poolsByAddress.computeIfAbsent(address, unused -> new ConnectionPool());
            ClientConnection kept;
            while ((kept = connectionPool.idle.poll()) != null) {
                if (kept.isOpen()) {
                    sendOn(kept);
                    return;
                }
            }
            if (connectionPool.openCount >= MAX_OPEN_PER_ADDRESS) {
                fail("too many open connections to " + address);
                return;
            }
            connectionPool.openCount++;
            connectingPool = connectionPool;
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(ClientConnection made) {
                                    if (connectingPool == null) {
                                        IoUtils.safeClose(made);
                                        return;
                                    }
                                    connectingPool = null;
                                    made.getCloseSetter()
                                            .set(unused -> releaseOpenSlot(connectionPool));
                                    sendOn(made);
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

        private void releaseOpenSlot(ConnectionPool connectionPool) {
            connectionPool.openCount--;
            if (connectionPool.openCount == 0) {
                poolsByAddress.remove(address, connectionPool);
            }
        }

        private void sendOn(ClientConnection free) {
            connection = free;
            sent = true;
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            }
            connection.sendRequest(
                    request,
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange exchange) {
                            exchange.setResponseListener(
                                    new ClientCallback<>() {
                                        @Override
                                        public void completed(ClientExchange answered) {
                                            readResponse(answered, new ByteArrayOutputStream());
                                        }

                                        @Override
                                        public void failed(IOException failure) {
                                            failConnectionLost(failure);
                                        }
                                    });
                            try {
                                writeBody(exchange.getRequestChannel());
                            } catch (IOException failure) {
                                failConnectionLost(failure);
                            }
                        }

                        @Override
                        public void failed(IOException failure) {
                            failConnectionLost(failure);
                        }
                    });
        }

        private void writeBody(StreamSinkChannel channel) throws IOException {
            if (body == null) {
                channel.shutdownWrites();
                flushRequest(channel);
                return;
            }
            ByteBuffer left = ByteBuffer.wrap(body);
            while (left.hasRemaining()) {
                if (channel.write(left) == 0) {
                    channel.getWriteSetter()
                            .set(
                                    same -> {
                                        try {
                                            while (left.hasRemaining()) {
                                                if (channel.write(left) == 0) {
                                                    return;
                                                }
                                            }
                                            channel.shutdownWrites();
                                            flushRequest(channel);
                                        } catch (IOException failure) {
                                            failConnectionLost(failure);
                                        }
                                    });
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            flushRequest(channel);
        }

        private void flushRequest(StreamSinkChannel channel) throws IOException {
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(
                                same -> {
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

        private void readResponse(ClientExchange exchange, ByteArrayOutputStream read) {
            StreamSourceChannel channel = exchange.getResponseChannel();
            channel.getReadSetter().set(same -> readAvailable(exchange, channel, read));
            readAvailable(exchange, channel, read);
        }

        private void readAvailable(
                ClientExchange exchange, StreamSourceChannel channel, ByteArrayOutputStream read) {
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
                        succeed(exchange, read.toByteArray());
                        return;
                    }
                    buffer.flip();
                    byte[] part = new byte[count];
                    buffer.get(part);
                    read.write(part, 0, count);
                    if (read.size() > MAX_BODY_BYTES) {
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
            ConnectionPool connectionPool = poolsByAddress.get(address);
            String keep = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
            if (connectionPool != null
                    && connectionPool.idle.size() < MAX_IDLE_PER_ADDRESS
                    && connection.isOpen()
                    && !"close".equalsIgnoreCase(keep)) {
                connectionPool.idle.push(connection);
            } else {
                IoUtils.safeClose(connection);
            }
            reply.complete(new Http.Reply(exchange.getResponse().getResponseCode(), bytes, 0));
        }

        /**
         * What one connection suffers its idle neighbours have suffered too; a new call needs a new
         * one.
         */
        private void closeIdleConnections() {
            ConnectionPool connectionPool = poolsByAddress.get(address);
            ClientConnection kept;
            while (connectionPool != null && (kept = connectionPool.idle.poll()) != null) {
                IoUtils.safeClose(kept);
            }
        }

        private void failConnectionLost(IOException failure) {
            fail("connection lost: " + failure.getMessage());
        }

        private void fail(String why) {
            if (completed) {
                // Closing the connection below comes back here, with a cause that hides the first
                // one.
                return;
            }
            completed = true;
            timeoutTimer.remove();
            if (connectingPool != null) {
                // Given up, it counts no more: behind a cut, attempts that hang would use up all
                // that may be open.
                releaseOpenSlot(connectingPool);
                connectingPool = null;
                if (connectAttempt != null) {
                    connectAttempt.cancel();
                }
            }
            IoUtils.safeClose(connection);
            if (sent) {
                closeIdleConnections();
            }
            reply.completeExceptionally(
                    sent
                            ? new Http.NoResponseException(why)
                            : refused
                                    ? new Http.ConnectionRefusedException(why)
                                    : new Http.RequestNotSentException(why));
        }
    }
}
