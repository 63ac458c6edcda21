package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectionsTest {
    private final List<String> closed = new ArrayList<>();
    private final Connections<String> connections = new Connections<>(3, closed::add);

    private void request(String connection) {
        connections.begins(connection);
        connections.ends(connection);
    }

    @Test
    void theOneIdleForLongestGoesFirst() {
        request("half-dead");
        request("worker");
        request("user");
        request("worker");
        request("newcomer");
        assertEquals(List.of("half-dead"), closed);
        request("another");
        assertEquals(List.of("half-dead", "user"), closed);
        assertEquals(3, connections.count());
    }

    @Test
    void whoWaitsForAnAnswerIsSpared() {
        assertTrue(connections.begins("held report"));
        request("idle");
        connections.begins("slow");
        connections.begins("newcomer");
        assertEquals(List.of("idle"), closed);
        connections.begins("one more");
        assertEquals(List.of("idle"), closed, "all of them wait");
        connections.ends("held report");
        assertFalse(connections.begins("slow"));
        connections.begins("yet another");
        assertEquals(List.of("idle", "held report"), closed);
    }

    @Test
    void whatClosedByItselfCountsNoMore() {
        request("a");
        request("b");
        request("c");
        connections.closed("b");
        request("d");
        assertEquals(List.of(), closed);
    }
}
