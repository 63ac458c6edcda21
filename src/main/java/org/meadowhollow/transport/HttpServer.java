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
import org.meadowhollow.protocol.Http;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/** Listens on one address and hands whole requests to a handler. */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** The protocol's limit of a request's body, in bytes. */
    private static final int MOST_BODY = 64 * 1024;

    private final Undertow server;
    private final Connections<ServerConnection> connections;

    /**
     * @param most connections kept open at a time, 0 for no bound; the one without a request for
     *     longest goes first
     * @param idle longer than any caller keeps a connection without a word; then the socket is
     *     wanted elsewhere
     */
    public HttpServer(
            XnioLoop loop,
            ByteBufferPool buffers,
            String host,
            int port,
            int most,
            Duration idle,
            Http.Service service) {
        this(loop, buffers, host, port, most, idle, null, service);
    }

    /**
     * @param tls what connections are secured with, or null for plain ones
     */
    public HttpServer(
            XnioLoop loop,
            ByteBufferPool buffers,
            String host,
            int port,
            int most,
            Duration idle,
            SSLContext tls,
            Http.Service service) {
        connections = new Connections<>(most, IoUtils::safeClose);
        int idleMs = (int) idle.toMillis();
        HttpHandler handler = exchange -> receive(exchange, service);
        Undertow.Builder builder =
                Undertow.builder()
                        .setWorker(loop.worker())
                        .setByteBufferPool(buffers)
                        .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                        .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMs)
                        .setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMs);
        server =
                (tls == null
                                ? builder.addHttpListener(port, host, handler)
                                : builder.addHttpsListener(port, host, tls, handler))
                        .build();
        server.start();
    }

    /** The port listened on, chosen by the system if 0 was asked for. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    private void receive(HttpServerExchange exchange, Http.Service service) {
        ServerConnection connection = exchange.getConnection();
        if (connections.begins(connection)) {
            connection.addCloseListener(connections::closed);
        }
        exchange.addExchangeCompleteListener(
                (over, next) -> {
                    connections.ends(connection);
                    next.proceed();
                });
        if (exchange.getRequestContentLength() > MOST_BODY) {
            refuse(exchange, service);
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(MOST_BODY);
        receiver.receiveFullBytes(
                (same, body) ->
                        exchange.dispatch(
                                SameThreadExecutor.INSTANCE, () -> handle(exchange, service, body)),
                (same, failure) -> refuse(exchange, service));
    }

    private static void refuse(HttpServerExchange exchange, Http.Service service) {
        exchange.setPersistent(false);
        send(exchange, service.refusal());
    }

    private static void handle(HttpServerExchange exchange, Http.Service service, byte[] body) {
        CompletableFuture<Http.Reply> answer;
        try {
            answer =
                    service.answer(
                            new Http.Request(
                                    exchange.getRequestMethod().toString(),
                                    exchange.getRequestPath(),
                                    query(exchange),
                                    name -> exchange.getRequestHeaders().getFirst(name),
                                    body));
        } catch (RuntimeException mistake) {
            answer = CompletableFuture.failedFuture(mistake);
        }
        answer.whenComplete(
                (reply, failure) -> {
                    if (failure != null) {
                        LOG.error(
                                "a request failed: {} {}",
                                exchange.getRequestMethod(),
                                exchange.getRequestPath(),
                                failure);
                        send(exchange, Http.Reply.comeBack(503, 1, "internal error"));
                    } else {
                        send(exchange, reply);
                    }
                });
    }

    private static Map<String, List<String>> query(HttpServerExchange exchange) {
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
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.type());
        if (reply.status() == StatusCodes.UNAUTHORIZED) {
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
        }
        if (reply.retryAfterS() > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, reply.retryAfterS());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
    }

    @Override
    public void close() {
        server.stop();
    }
}
