package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.protocol.Http;

class UnfinishedRequestsTest {
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_UNFINISHED = 16;
    private static final int MAX_BODY_BYTES = 8 * 1024;
    private static final int MAX_UNFINISHED_BYTES = 8 * MAX_BODY_BYTES;

    /** The time that a health probe waits for its answer. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    /** The time that a user waits for an answer. */
    private static final Duration USER_TIMEOUT = Duration.ofSeconds(5);

    private final UnfinishedRequests unfinishedRequests =
            new UnfinishedRequests(MAX_UNFINISHED_BYTES, MAX_UNFINISHED);
    private final List<Socket> sockets = new ArrayList<>();
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
                                "127.0.0.1",
                                0,
                                MAX_CONNECTIONS,
                                Duration.ofMinutes(1),
                                MAX_BODY_BYTES,
                                null),
                        unfinishedRequests,
                        (Http.SimpleRequestHandler)
                                (method, path, body) ->
                                        CompletableFuture.completedFuture(
                                                new Http.Reply(
                                                        200,
                                                        ("got " + body.length + ".")
                                                                .getBytes(StandardCharsets.UTF_8),
                                                        0)));
    }

    @AfterEach
    void stopServer() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        server.close();
        loop.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String headOfPost(int bodyBytes) {
        return "POST /hello HTTP/1.1\r\nHost: n\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private Socket sendUnfinished(int missingBytes) throws IOException {
        Socket socket = connect();
        send(socket, headOfPost(MAX_BODY_BYTES) + "x".repeat(MAX_BODY_BYTES - missingBytes));
        return socket;
    }

    /** Sends a request without a body, and returns the end of its response. */
    private static String request(Socket socket, Duration timeout) throws IOException {
        send(socket, "GET /ready HTTP/1.1\r\nHost: n\r\n\r\n");
        return responseBody(socket, timeout);
    }

    private static String responseBody(Socket socket, Duration timeout) throws IOException {
        socket.setSoTimeout((int) timeout.toMillis());
        StringBuilder response = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (!response.toString().matches("(?s).*\r\n\r\ngot \\d+\\.")) {
            int next = in.read();
            if (next < 0) {
                throw new SocketException("closed after: " + response);
            }
            response.append((char) next);
        }
        return response.substring(response.indexOf("\r\n\r\n") + 4, response.length() - 1);
    }

    /** Returns whether the server closes a connection within a time, without a response. */
    private static boolean isClosedWithin(Socket socket, Duration timeout) throws IOException {
        socket.setSoTimeout((int) timeout.toMillis());
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException open) {
            return false;
        } catch (SocketException reset) {
            return true;
        }
    }

    @Test
    void probesAndWorkersAreAnsweredBesideRequestsThatAreNeverFinished() throws Exception {
        Socket worker = connect();
        assertEquals("got 0", request(worker, PROBE_TIMEOUT));
        List<Socket> unfinished = new ArrayList<>();
        for (int count = 0; count < MAX_CONNECTIONS - 1; count++) {
            unfinished.add(sendUnfinished(10));
        }
        assertEquals("got 0", request(connect(), PROBE_TIMEOUT));
        assertEquals("got 0", request(worker, PROBE_TIMEOUT));
        long heldBytes = loop.callAndWait(unfinishedRequests::totalBytes);
        assertTrue(heldBytes <= MAX_UNFINISHED_BYTES, "held bytes: " + heldBytes);
        assertTrue(isClosedWithin(unfinished.get(0), PROBE_TIMEOUT), "the oldest goes first");
        Socket newest = unfinished.get(unfinished.size() - 1);
        send(newest, "x".repeat(10));
        assertEquals("got " + MAX_BODY_BYTES, responseBody(newest, PROBE_TIMEOUT));
    }

    @Test
    void memoryOfUnfinishedRequestsIsGivenBackAtTheirDeadline() throws Exception {
        Socket slow = sendUnfinished(10);
        assertTrue(isClosedWithin(slow, USER_TIMEOUT));
        assertEquals(0L, loop.callAndWait(unfinishedRequests::totalBytes));
    }

    @Test
    void headWithoutAnEndIsClosedAtItsDeadline() throws Exception {
        Socket halfHead = connect();
        send(halfHead, "GET /rea");
        assertTrue(isClosedWithin(halfHead, USER_TIMEOUT));
        Socket endless = connect();
        send(endless, "GET /ready HTTP/1.1\r\nHost: n\r\n");
        long closedAt = System.nanoTime() + USER_TIMEOUT.toNanos();
        boolean closed = false;
        while (!closed && System.nanoTime() < closedAt) {
            try {
                send(endless, "X-More: 1\r\n");
            } catch (SocketException reset) {
                closed = true;
            }
            closed = closed || isClosedWithin(endless, Duration.ofMillis(100));
        }
        assertTrue(closed, "a head that goes on");
    }

    @Test
    void connectionsWithoutARequestDoNotDisplaceWorkers() throws Exception {
        List<Socket> workers = new ArrayList<>();
        for (int count = 0; count < MAX_CONNECTIONS / 2; count++) {
            workers.add(connect());
            assertEquals("got 0", request(workers.get(count), PROBE_TIMEOUT));
        }
        for (int count = 0; count < 3 * MAX_CONNECTIONS; count++) {
            send(connect(), "GET /");
        }
        assertEquals("got 0", request(connect(), PROBE_TIMEOUT));
        for (Socket worker : workers) {
            assertEquals("got 0", request(worker, PROBE_TIMEOUT));
        }
    }

    @Test
    void bodyInPiecesOrChunksIsReceivedWhole() throws Exception {
        Socket pieces = connect();
        send(pieces, headOfPost(1000));
        for (int count = 0; count < 10; count++) {
            send(pieces, "x".repeat(100));
            Thread.sleep(5);
        }
        assertEquals("got 1000", responseBody(pieces, PROBE_TIMEOUT));
        Socket chunks = connect();
        send(chunks, "POST /hello HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n");
        send(chunks, "3\r\nabc\r\n");
        Thread.sleep(5);
        send(chunks, "2\r\nde\r\n0\r\n\r\n");
        assertEquals("got 5", responseBody(chunks, PROBE_TIMEOUT));
        assertEquals("got 0", request(chunks, PROBE_TIMEOUT), "the connection stays open");
    }
}
