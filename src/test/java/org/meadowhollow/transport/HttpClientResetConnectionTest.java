package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.meadowhollow.protocol.Http;

/**
 * Guards against requests that end without an answer, or with an exception out of {@link
 * HttpClient#send}, because the server has reset the idle connection that they are sent on.
 */
class HttpClientResetConnectionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private ResettingServer server;
    private XnioEventLoop loop;
    private HttpClient client;

    @BeforeEach
    void start() throws IOException {
        server = new ResettingServer();
        loop = new XnioEventLoop();
        client = new HttpClient(loop, new DefaultByteBufferPool(false, 8192, 4, 0));
    }

    @AfterEach
    void stop() {
        loop.close();
        server.close();
    }

    private CompletableFuture<Http.Reply> send(String method) {
        byte[] body = method.equals("POST") ? new byte[] {1, 2, 3} : null;
        return client.send(server.address(), method, "/", body, TIMEOUT);
    }

    /**
     * Sends a request as soon as another has been answered, on its connection, which the server
     * resets in between.
     */
    private CompletableFuture<Http.Reply> sendOnResetConnection(String method, Runnable meanwhile) {
        return send("GET")
                .thenCompose(
                        first -> {
                            server.resetConnections();
                            meanwhile.run();
                            return send(method);
                        });
    }

    /** The failure by which the watch of the jobs ended while its leader led on. */
    @ParameterizedTest
    @CsvSource({"GET", "POST"})
    void aRequestOnAConnectionThatWasResetIsAnsweredOnANewOne(String method) {
        Http.Reply reply = sendOnResetConnection(method, () -> {}).join();

        assertEquals(200, reply.status());
        assertEquals(List.of("GET", method), server.receivedMethods());
    }

    @ParameterizedTest
    @CsvSource({"GET", "POST"})
    void aRequestFailsAsNotSentIfTheServerIsGoneAsWell(String method) {
        CompletableFuture<Http.Reply> reply = sendOnResetConnection(method, server::close);

        CompletionException failure = assertThrows(CompletionException.class, reply::join);
        assertInstanceOf(Http.RequestNotSentException.class, failure.getCause());
        assertEquals(List.of("GET"), server.receivedMethods());
    }

    @ParameterizedTest
    @CsvSource({"GET", "POST"})
    void aRequestThatTheServerReceivedIsNotRepeated(String method) {
        send("GET").join();
        server.resetInsteadOfAnswering();
        CompletableFuture<Http.Reply> reply = send(method);

        CompletionException failure = assertThrows(CompletionException.class, reply::join);
        assertInstanceOf(Http.NoResponseException.class, failure.getCause());
        assertEquals(List.of("GET", method), server.receivedMethods());
    }

    /** Guards against any exception of the HTTP library, not only that of a reset connection. */
    @ParameterizedTest
    @CsvSource({"GET", "POST"})
    void anExceptionInsideTheLibraryFailsTheFuture(String method) {
        ByteBufferPool closedPool = new DefaultByteBufferPool(false, 8192, 4, 0);
        HttpClient failing = new HttpClient(loop, closedPool);
        failing.send(server.address(), "GET", "/", null, TIMEOUT).join();
        closedPool.close();
        byte[] body = method.equals("POST") ? new byte[] {1, 2, 3} : null;

        CompletableFuture<Http.Reply> reply =
                loop.callAndWait(() -> failing.send(server.address(), method, "/", body, TIMEOUT));

        CompletionException failure = assertThrows(CompletionException.class, reply::join);
        assertInstanceOf(Http.RequestNotSentException.class, failure.getCause());
    }

    @Test
    void anInvalidAddressFailsTheFuture() {
        CompletableFuture<Http.Reply> reply =
                loop.callAndWait(() -> client.send("no address", "GET", "/", null, TIMEOUT));

        CompletionException failure = assertThrows(CompletionException.class, reply::join);
        assertInstanceOf(Http.RequestNotSentException.class, failure.getCause());
    }

    @Test
    void aRequestAfterTheLoopIsClosedFailsTheFuture() {
        loop.close();

        CompletionException failure =
                assertThrows(CompletionException.class, () -> send("GET").join());
        assertInstanceOf(Http.RequestNotSentException.class, failure.getCause());
    }
}
