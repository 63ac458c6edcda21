package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectionLimiterTest {
    private final List<String> closed = new ArrayList<>();
    private final ConnectionLimiter<String> connectionLimiter =
            new ConnectionLimiter<>(3, closed::add);

    private void request(String connection) {
        connectionLimiter.requestStarted(connection);
        connectionLimiter.requestFinished(connection);
    }

    @Test
    void theLeastRecentlyUsedConnectionIsClosedFirst() {
        request("half-dead");
        request("worker");
        request("user");
        request("worker");
        request("newcomer");
        assertEquals(List.of("half-dead"), closed);
        request("another");
        assertEquals(List.of("half-dead", "user"), closed);
        assertEquals(3, connectionLimiter.openCount());
    }

    @Test
    void connectionsWithARequestInProgressAreSpared() {
        assertTrue(connectionLimiter.requestStarted("deferred heartbeat"));
        request("idle");
        connectionLimiter.requestStarted("slow");
        connectionLimiter.requestStarted("newcomer");
        assertEquals(List.of("idle"), closed);
        connectionLimiter.requestStarted("one more");
        assertEquals(List.of("idle"), closed, "a request is in progress on every connection");
        connectionLimiter.requestFinished("deferred heartbeat");
        assertFalse(connectionLimiter.requestStarted("slow"));
        connectionLimiter.requestStarted("yet another");
        assertEquals(List.of("idle", "deferred heartbeat"), closed);
    }

    @Test
    void aConnectionClosedByItsCallerCountsNoMore() {
        request("a");
        request("b");
        request("c");
        connectionLimiter.connectionClosed("b");
        request("d");
        assertEquals(List.of(), closed);
    }
}
