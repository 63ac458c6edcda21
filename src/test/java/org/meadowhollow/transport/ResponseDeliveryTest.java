package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.protocol.Http;

/**
 * Guards against a response that reaches another request than its own. Starts of tasks are sent in
 * responses to heartbeats alone, so a worker that has given a heartbeat up must never receive its
 * response with a later one.
 */
class ResponseDeliveryTest {
    private static final int MAX_BODY_BYTES = 8 * 1024;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final BlockingQueue<CompletableFuture<Http.Reply>> pending =
            new LinkedBlockingQueue<>();
    private XnioEventLoop loop;
    private HttpServer server;

    @BeforeEach
    void startServer() throws IOException {
        loop = new XnioEventLoop();
        server =
                new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        new HttpServer.Options(
                                "127.0.0.1", 0, 64, Duration.ofMinutes(1), MAX_BODY_BYTES, null),
                        new UnfinishedRequests(MAX_BODY_BYTES, 16),
                        (Http.SimpleRequestHandler)
                                (method, path, body) -> {
                                    CompletableFuture<Http.Reply> reply = new CompletableFuture<>();
                                    pending.add(reply);
                                    return reply;
                                });
    }

    @AfterEach
    void stopServer() {
        server.close();
        loop.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /**
     * Sends a heartbeat, and returns the future of its response once the server has received it.
     */
    private CompletableFuture<Http.Reply> sendHeartbeat(Socket socket) throws Exception {
        socket.getOutputStream()
                .write(
                        "POST /hello HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
        return pending.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void answer(CompletableFuture<Http.Reply> request, String text) {
        Http.Reply reply = new Http.Reply(200, text.getBytes(StandardCharsets.US_ASCII), 0);
        loop.callAndWait(() -> request.complete(reply));
    }

    /** Reads one response, and returns its body. */
    private static String readBody(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        String lengthLine =
                head.toString()
                        .lines()
                        .filter(line -> line.startsWith("Content-Length: "))
                        .findFirst()
                        .orElseThrow();
        int length = Integer.parseInt(lengthLine.substring("Content-Length: ".length()));
        return new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    }

    @Test
    void theResponseToAHeartbeatThatWasGivenUpReachesNoLaterOne() throws Exception {
        try (Socket other = connect()) {
            CompletableFuture<Http.Reply> othersHeartbeat = sendHeartbeat(other);
            CompletableFuture<Http.Reply> givenUp;
            try (Socket first = connect()) {
                givenUp = sendHeartbeat(first);
            }
            try (Socket second = connect()) {
                CompletableFuture<Http.Reply> next = sendHeartbeat(second);
                answer(givenUp, "start");
                answer(next, "next");
                answer(othersHeartbeat, "other");

                assertEquals("next", readBody(second));
                CompletableFuture<Http.Reply> last = sendHeartbeat(second);
                answer(last, "last");
                assertEquals(List.of("last", "other"), List.of(readBody(second), readBody(other)));
            }
        }
    }
}
