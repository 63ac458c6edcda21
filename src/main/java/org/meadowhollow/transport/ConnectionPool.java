package org.meadowhollow.transport;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import org.xnio.IoUtils;

/** Connections to one address. Not thread-safe: used on the event loop's thread only. */
final class ConnectionPool {
    /** The idle connections, the most recently used one first. */
    final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();

    /** The number of idle, busy and opening connections. */
    int openCount;

    /** Removes and returns the most recently used idle connection that is open, or null. */
    ClientConnection takeOpenIdle() {
        ClientConnection idleConnection = idle.poll();
        while (idleConnection != null && !idleConnection.isOpen()) {
            idleConnection = idle.poll();
        }
        return idleConnection;
    }

    void closeIdle() {
        ClientConnection idleConnection;
        while ((idleConnection = idle.poll()) != null) {
            IoUtils.safeClose(idleConnection);
        }
    }
}
