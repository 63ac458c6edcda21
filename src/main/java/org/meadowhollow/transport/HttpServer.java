package org.meadowhollow.transport;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLContext;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Listens on one address and passes complete requests to a handler on the event loop's thread. If
 * the handler fails, the client receives status 503 and the failure is logged.
 */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** The limit of a request body in bytes, where no other is set. */
    public static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024;

    /** The longest time from the first byte of a request to the end of its head. */
    static final Duration HEAD_DEADLINE = Duration.ofSeconds(2);

    /** The interval at which connections that were closed before any request are forgotten. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /** The limit of a request's head in bytes; all heads of the protocols are far shorter. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Unfinished requests of a server of its own, which shares no limit with other servers. */
    private static final long DEFAULT_MAX_UNFINISHED_BYTES = 4 * 1024 * 1024;

    private static final int DEFAULT_MAX_UNFINISHED_REQUESTS = 256;
    private static final int BACKLOG = 1000;

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final Http.RequestHandler requestHandler;
    private final int maxBodyBytes;
    private final UnfinishedRequests unfinishedRequests;
    private final RefusedRequestLog refusedRequestLog;
    private final HttpOpenListener openListener;
    private final AcceptingChannel<? extends StreamConnection> server;
    private final ConnectionLimiter<StreamConnection> connectionLimiter;
    private boolean isSweepScheduled;

    /**
     * The address of a server and the limits of its connections.
     *
     * @param port the port to listen on, 0 for one that the system chooses
     * @param maxConnections the limit of open connections, 0 for none; above it, the idle
     *     connection that was used least recently is closed
     * @param idleTimeout how long a connection without a request stays open; must be longer than
     *     clients pause between requests
     * @param maxBodyBytes the limit of a request's body
     * @param tls the TLS context, or null for plain HTTP
     */
    public record Options(
            String host,
            int port,
            int maxConnections,
            Duration idleTimeout,
            int maxBodyBytes,
            SSLContext tls) {}

    /** Opens a server without TLS; see {@link Options} for the limits of its connections. */
    public HttpServer(
            XnioEventLoop loop,
            ByteBufferPool buffers,
            String host,
            int port,
            int maxConnections,
            Duration idleTimeout,
            Http.RequestHandler requestHandler) {
        this(
                loop,
                buffers,
                new Options(host, port, maxConnections, idleTimeout, DEFAULT_MAX_BODY_BYTES, null),
                new UnfinishedRequests(
                        DEFAULT_MAX_UNFINISHED_BYTES, DEFAULT_MAX_UNFINISHED_REQUESTS),
                requestHandler);
    }

    /**
     * Opens a server, which accepts requests at once.
     *
     * @param unfinishedRequests the limits of unfinished requests, shared by servers of one loop
     * @param requestHandler called on the event loop's thread
     * @throws RuntimeException if the server cannot listen on the address
     */
    public HttpServer(
            XnioEventLoop loop,
            ByteBufferPool buffers,
            Options options,
            UnfinishedRequests unfinishedRequests,
            Http.RequestHandler requestHandler) {
        this.loop = loop;
        this.buffers = buffers;
        this.requestHandler = requestHandler;
        this.maxBodyBytes = options.maxBodyBytes();
        this.unfinishedRequests = unfinishedRequests;
        this.refusedRequestLog = new RefusedRequestLog(loop);
        connectionLimiter = new ConnectionLimiter<>(options.maxConnections(), IoUtils::safeClose);
        openListener = new HttpOpenListener(buffers, connectionOptions(options));
        openListener.setRootHandler(this::receive);
        try {
            server = listen(options);
        } catch (IOException failure) {
            throw new UncheckedIOException(
                    "cannot listen on " + options.host() + ":" + options.port(), failure);
        }
        server.resumeAccepts();
    }

    private static OptionMap connectionOptions(Options options) {
        int idleMillis = (int) options.idleTimeout().toMillis();
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) HEAD_DEADLINE.toMillis())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
                .set(UndertowOptions.IDLE_TIMEOUT, idleMillis)
                .getMap();
    }

    private AcceptingChannel<? extends StreamConnection> listen(Options options)
            throws IOException {
        InetSocketAddress address = new InetSocketAddress(options.host(), options.port());
        OptionMap socketOptions =
                OptionMap.builder()
                        .set(org.xnio.Options.TCP_NODELAY, true)
                        .set(org.xnio.Options.REUSE_ADDRESSES, true)
                        .set(org.xnio.Options.BACKLOG, BACKLOG)
                        .getMap();
        return options.tls() == null
                ? loop.worker()
                        .createStreamConnectionServer(
                                address,
                                ChannelListeners.openListenerAdapter(this::accept),
                                socketOptions)
                : new UndertowXnioSsl(loop.worker().getXnio(), OptionMap.EMPTY, options.tls())
                        .createSslConnectionServer(
                                loop.worker(),
                                address,
                                ChannelListeners.openListenerAdapter(this::accept),
                                socketOptions);
    }

    private void accept(StreamConnection connection) {
        connectionLimiter.accepted(connection);
        scheduleSweep();
        openListener.handleEvent(connection);
    }

    private void scheduleSweep() {
        if (!isSweepScheduled) {
            isSweepScheduled = true;
            loop.schedule(SWEEP_INTERVAL, this::sweep);
        }
    }

    private void sweep() {
        isSweepScheduled = false;
        loop.runRepeating(RepeatingStep.CONNECTION_SWEEP, this::forgetClosedConnections);
        if (connectionLimiter.silentCount() > 0) {
            scheduleSweep();
        }
    }

    /** Forgets silent connections that are closed, of which the library does not tell. */
    private void forgetClosedConnections() {
        List<StreamConnection> closed = new ArrayList<>();
        for (StreamConnection connection : connectionLimiter.silentConnections()) {
            if (!connection.isOpen()) {
                closed.add(connection);
            }
        }
        closed.forEach(connectionLimiter::connectionClosed);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getLocalAddress(InetSocketAddress.class).getPort();
    }

    private void receive(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        StreamConnection channel = ((AbstractServerConnection) connection).getChannel();
        if (connectionLimiter.requestStarted(channel)) {
            connection.addCloseListener(unused -> connectionLimiter.connectionClosed(channel));
        }
        exchange.addExchangeCompleteListener(
                (finished, next) -> {
                    connectionLimiter.requestFinished(channel);
                    next.proceed();
                });
        if (exchange.getRequestContentLength() > maxBodyBytes) {
            rejectBody(exchange, Defect.TOO_LARGE, "the body is too large");
            return;
        }
        new RequestBodyReader(
                        loop,
                        buffers,
                        exchange,
                        maxBodyBytes,
                        unfinishedRequests,
                        new RequestBodyReader.Outcome() {
                            @Override
                            public void complete(byte[] body) {
                                loop.runStep(EventLoopStep.REQUEST, () -> handle(exchange, body));
                            }

                            @Override
                            public void failed(Defect defect, String reason, boolean isAborted) {
                                if (isAborted) {
                                    recordRefusal(exchange, -1, new Http.Refusal(defect, reason));
                                } else {
                                    rejectBody(exchange, defect, reason);
                                }
                            }
                        })
                .start();
    }

    private void rejectBody(HttpServerExchange exchange, Defect defect, String reason) {
        recordRefusal(
                exchange, exchange.getRequestContentLength(), new Http.Refusal(defect, reason));
        exchange.setPersistent(false);
        send(exchange, requestHandler.invalidBodyReply());
    }

    private void recordRefusal(HttpServerExchange exchange, long bodyBytes, Http.Refusal refusal) {
        refusedRequestLog.record(
                new RefusedRequestLog.RefusedRequest(
                        exchange.getRequestMethod().toString(),
                        exchange.getRequestPath(),
                        String.valueOf(exchange.getConnection().getPeerAddress()),
                        bodyBytes),
                refusal);
    }

    private void handle(HttpServerExchange exchange, byte[] body) {
        int bodyBytes = body.length;
        CompletableFuture<Http.Reply> response;
        try {
            response =
                    requestHandler.answer(
                            new Http.Request(
                                    exchange.getRequestMethod().toString(),
                                    exchange.getRequestPath(),
                                    queryParameters(exchange),
                                    name -> exchange.getRequestHeaders().getFirst(name),
                                    body));
        } catch (RuntimeException defect) {
            response = CompletableFuture.failedFuture(defect);
        }
        CompletableFuture<Http.Reply> unusedResponse =
                response.whenComplete(
                        (reply, failure) -> {
                            if (failure != null) {
                                LOG.error(
                                        "request failed method={} path={}",
                                        exchange.getRequestMethod(),
                                        exchange.getRequestPath(),
                                        failure);
                                send(exchange, Http.Reply.retryLater(503, 1, "internal error"));
                                return;
                            }
                            if (reply.refusal() != null) {
                                recordRefusal(exchange, bodyBytes, reply.refusal());
                            }
                            send(exchange, reply);
                        });
    }

    private static Map<String, List<String>> queryParameters(HttpServerExchange exchange) {
        if (exchange.getQueryParameters().isEmpty()) {
            return Map.of();
        }
        Map<String, List<String>> query = new HashMap<>();
        exchange.getQueryParameters()
                .forEach((name, values) -> query.put(name, List.copyOf(values)));
        return query;
    }

    private static void send(HttpServerExchange exchange, Http.Reply reply) {
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.contentType());
        if (reply.status() == StatusCodes.UNAUTHORIZED) {
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
        }
        if (reply.retryAfterSeconds() > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, reply.retryAfterSeconds());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        openListener.closeConnections();
    }
}
