package org.meadowhollow.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLContext;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Listens on one address and passes complete requests to a handler on the event loop's thread. If
 * the handler fails, the client receives status 503 and the failure is logged.
 */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** The limit of a request body in bytes, where no other is set. */
    public static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024;

    private final XnioEventLoop loop;
    private final Http.RequestHandler requestHandler;
    private final int maxBodyBytes;
    private final RefusedRequestLog refusedRequestLog;
    private final Undertow server;
    private final ConnectionLimiter<ServerConnection> connectionLimiter;

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
                requestHandler);
    }

    /**
     * Opens a server, which accepts requests at once.
     *
     * @param requestHandler called on the event loop's thread
     * @throws RuntimeException if the server cannot listen on the address
     */
    public HttpServer(
            XnioEventLoop loop,
            ByteBufferPool buffers,
            Options options,
            Http.RequestHandler requestHandler) {
        this.loop = loop;
        this.requestHandler = requestHandler;
        this.maxBodyBytes = options.maxBodyBytes();
        this.refusedRequestLog = new RefusedRequestLog(loop);
        connectionLimiter = new ConnectionLimiter<>(options.maxConnections(), IoUtils::safeClose);
        int idleMillis = (int) options.idleTimeout().toMillis();
        HttpHandler handler = this::receive;
        Undertow.Builder builder =
                Undertow.builder()
                        .setWorker(loop.worker())
                        .setByteBufferPool(buffers)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
                        .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMillis);
        if (options.tls() == null) {
            builder.addHttpListener(options.port(), options.host(), handler);
        } else {
            builder.addHttpsListener(options.port(), options.host(), options.tls(), handler);
        }
        server = builder.build();
        server.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    private void receive(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (connectionLimiter.requestStarted(connection)) {
            connection.addCloseListener(connectionLimiter::connectionClosed);
        }
        exchange.addExchangeCompleteListener(
                (finished, next) -> {
                    connectionLimiter.requestFinished(connection);
                    next.proceed();
                });
        if (exchange.getRequestContentLength() > maxBodyBytes) {
            rejectBody(exchange, Defect.TOO_LARGE);
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(maxBodyBytes);
        receiver.receiveFullBytes(
                (unused, body) ->
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE,
                                () ->
                                        loop.runStep(
                                                EventLoopStep.REQUEST,
                                                () -> handle(exchange, body))),
                (unused, failure) ->
                        rejectBody(
                                exchange,
                                failure instanceof Receiver.RequestToLargeException
                                        ? Defect.TOO_LARGE
                                        : Defect.CUT_SHORT));
    }

    private void rejectBody(HttpServerExchange exchange, Defect defect) {
        recordRefusal(
                exchange,
                exchange.getRequestContentLength(),
                new Http.Refusal(defect, "the body was not received"));
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
                                recordRefusal(exchange, body.length, reply.refusal());
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
        server.stop();
    }
}
