package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.meadowhollow.protocol.Http;

class HttpClientTest {
    private static final int REQUESTS = 20;

    /** The state of a connection whose SYN packet is not acknowledged, in /proc/net/tcp. */
    private static final String SYN_SENT = "02";

    /** Counts the connections to a port whose SYN packet is not acknowledged. */
    private static long unansweredAttempts(int port) throws IOException {
        String remote = ":%04X".formatted(port);
        long count = 0;
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            count +=
                    Files.readAllLines(Path.of(table)).stream()
                            .map(line -> line.trim().split("\\s+"))
                            .filter(row -> row[2].endsWith(remote) && row[3].equals(SYN_SENT))
                            .count();
        }
        return count;
    }

    @Test
    @EnabledOnOs(OS.LINUX)
    void aConnectionAttemptThatTimesOutClosesItsSocket() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        List<Socket> backlogSockets = new ArrayList<>();
        try (ServerSocket fullServer = new ServerSocket(0, 1, loopback);
                XnioEventLoop loop = new XnioEventLoop()) {
            // Nothing accepts connections: once the backlog is full, the system acknowledges no
            // further attempts.
            assertThrows(
                    SocketTimeoutException.class,
                    () -> {
                        while (backlogSockets.size() < 100) {
                            Socket next = new Socket();
                            backlogSockets.add(next);
                            next.connect(
                                    new InetSocketAddress(loopback, fullServer.getLocalPort()),
                                    100);
                        }
                    });
            HttpClient client = new HttpClient(loop, new DefaultByteBufferPool(false, 8192, 4, 0));
            List<CompletableFuture<Http.Reply>> requests = new ArrayList<>();
            for (int count = 0; count < REQUESTS; count++) {
                requests.add(
                        client.send(
                                "127.0.0.1:" + fullServer.getLocalPort(),
                                "GET",
                                "/",
                                null,
                                Duration.ofMillis(200)));
            }
            for (CompletableFuture<Http.Reply> request : requests) {
                CompletionException failure =
                        assertThrows(CompletionException.class, request::join);
                assertTrue(failure.getCause() instanceof Http.RequestNotSentException);
            }
            // Waits until the loop's thread has closed the sockets.
            loop.callAndWait(() -> true);
            assertEquals(0, unansweredAttempts(fullServer.getLocalPort()));
        } finally {
            for (Socket socket : backlogSockets) {
                socket.close();
            }
        }
    }

    @Test
    void aRequestThatTimesOutFailsWithNoResponse() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket unresponsive = new ServerSocket(0, 5, loopback);
                XnioEventLoop loop = new XnioEventLoop()) {
            HttpClient client = new HttpClient(loop, new DefaultByteBufferPool(false, 8192, 4, 0));
            CompletableFuture<Http.Reply> request =
                    client.send(
                            "127.0.0.1:" + unresponsive.getLocalPort(),
                            "GET",
                            "/",
                            null,
                            Duration.ofMillis(300));
            CompletionException failure = assertThrows(CompletionException.class, request::join);
            assertTrue(failure.getCause() instanceof Http.NoResponseException);
            assertEquals("no answer in time", failure.getCause().getMessage());
        }
    }
}
