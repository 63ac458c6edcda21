package org.meadowhollow.transport;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.protocol.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * HTTP client with a pool of connections for each address. A connection carries one request at a
 * time and returns to the pool afterwards. A request on a connection that turns out to be closed
 * before any byte was written is sent once more, on a new connection. {@link #send} may be called
 * on any thread and throws nothing; all other work is done on the event loop's thread, which owns
 * the connections and pools.
 */
public final class HttpClient implements Http.Client {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);

    /**
     * The limit of idle connections to an address: as many as a busy caller has requests in flight.
     */
    private static final int MAX_IDLE_PER_ADDRESS = 12;

    /**
     * The limit of open and opening connections to an address, so that an unresponsive address
     * cannot use up the process's sockets.
     */
    public static final int MAX_OPEN_PER_ADDRESS = 24;

    /** The connections count the bytes that they write, see {@link HttpExchange#isPossiblySent}. */
    private static final OptionMap CONNECTION_OPTIONS =
            OptionMap.create(UndertowOptions.ENABLE_STATISTICS, true);

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
        try {
            pendingRequest.armTimeout(timeout.toNanos());
            if (Thread.currentThread() == loop.ioThread()) {
                pendingRequest.start();
            } else {
                loop.ioThread().execute(pendingRequest::start);
            }
        } catch (RejectedExecutionException closing) {
            return CompletableFuture.failedFuture(
                    new Http.RequestNotSentException("the event loop is closed"));
        }
        return pendingRequest.reply;
    }

    /** One request in flight. Every method runs on the event loop's thread. */
    private final class PendingRequest implements HttpExchange.Listener {
        private final String address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final AdaptiveTimeout adaptiveTimeout;
        private final CompletableFuture<Http.Reply> reply = new CompletableFuture<>();
        private XnioExecutor.Key timeoutTimer;
        private ClientConnection connection;

        /** The exchange on {@link #connection}, or null while there is none. */
        private HttpExchange exchange;

        /** Whether {@link #connection} has carried other requests before. */
        private boolean connectionReused;

        /** The pool whose slot this request holds while its connection is being opened, or null. */
        private ConnectionPool connectingPool;

        private IoFuture<StreamConnection> connectAttempt;
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
                    loop.ioThread().executeAfter(this::onTimeout, nanos, TimeUnit.NANOSECONDS);
        }

        private void onTimeout() {
            long extension = adaptiveTimeout.extensionNanos(System.nanoTime());
            if (extension > 0) {
                armTimeout(extension);
            } else {
                fail("no answer in time");
            }
        }

        /** Sends the request; whatever the library throws fails it. */
        void start() {
            try {
                ClientConnection idleConnection = pool().takeOpenIdle();
                if (idleConnection != null) {
                    sendOn(idleConnection, true);
                } else {
                    connect();
                }
            } catch (RuntimeException failure) {
                LOG.debug("request could not be sent", failure);
                fail("the request could not be sent: " + failure);
            }
        }

        private ConnectionPool pool() {
            return poolsByAddress.computeIfAbsent(address, unused -> new ConnectionPool());
        }

        private void connect() {
            ConnectionPool pool = pool();
            if (pool.openCount >= MAX_OPEN_PER_ADDRESS) {
                fail("too many open connections to " + address);
                return;
            }
            pool.openCount++;
            connectingPool = pool;
            UndertowClient.getInstance()
                    .connect(
                            new ConnectCallback(pool),
                            URI.create("http://" + address),
                            attemptCapture,
                            buffers,
                            CONNECTION_OPTIONS);
            connectAttempt = attemptCapture.takeLatestAttempt();
        }

        /** Sends the request on the connection that has been opened for it. */
        private final class ConnectCallback implements ClientCallback<ClientConnection> {
            private final ConnectionPool pool;

            ConnectCallback(ConnectionPool pool) {
                this.pool = pool;
            }

            @Override
            public void completed(ClientConnection opened) {
                if (connectingPool == null) {
                    // The request has already failed and released its slot.
                    IoUtils.safeClose(opened);
                    return;
                }
                connectingPool = null;
                opened.getCloseSetter().set(unused -> releaseSlot(pool));
                sendOn(opened, false);
            }

            @Override
            public void failed(IOException failure) {
                refused = failure instanceof ConnectException;
                fail("no connection to " + address);
            }
        }

        private void releaseSlot(ConnectionPool pool) {
            pool.openCount--;
            if (pool.openCount == 0) {
                poolsByAddress.remove(address, pool);
            }
        }

        private void sendOn(ClientConnection openConnection, boolean reused) {
            connection = openConnection;
            connectionReused = reused;
            exchange = new HttpExchange(openConnection, newRequest(), body, buffers, this);
            exchange.start();
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

        @Override
        public void onResponse(int status, byte[] responseBody, boolean keepsConnection) {
            if (completed) {
                return;
            }
            completed = true;
            timeoutTimer.remove();
            ConnectionPool pool = poolsByAddress.get(address);
            if (pool != null
                    && pool.idle.size() < MAX_IDLE_PER_ADDRESS
                    && connection.isOpen()
                    && keepsConnection) {
                pool.idle.push(connection);
            } else {
                IoUtils.safeClose(connection);
            }
            Http.Reply received = new Http.Reply(status, responseBody, 0);
            loop.runStep(EventLoopStep.RESPONSE, () -> reply.complete(received));
        }

        @Override
        public void onFailure(String reason) {
            if (!completed && connectionReused && !exchange.isPossiblySent()) {
                retryOnNewConnection();
            } else {
                fail(reason);
            }
        }

        /**
         * Sends the request once more, on a connection of its own. The server had closed the idle
         * connection before any byte of the request was written, so it has not received it.
         */
        private void retryOnNewConnection() {
            exchange = null;
            IoUtils.safeClose(connection);
            closeIdleConnections();
            start();
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
            RuntimeException failure = failure(reason);
            if (exchange != null) {
                exchange.abandon();
                IoUtils.safeClose(connection);
                closeIdleConnections();
            }
            reply.completeExceptionally(failure);
        }

        private RuntimeException failure(String reason) {
            if (exchange != null && exchange.isPossiblySent()) {
                return new Http.NoResponseException(reason);
            }
            return refused
                    ? new Http.ConnectionRefusedException(reason)
                    : new Http.RequestNotSentException(reason);
        }
    }
}
