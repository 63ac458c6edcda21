package org.meadowhollow.transport;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import org.xnio.IoUtils;

/** The connections to one address. Not thread-safe: used on the event loop's thread only. */
final class ConnectionPool {
    /** The most recently used one first. */
    final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();

    /** Idle, used and opening connections. */
    int openCount;

    /** Takes the idle connection that was used last and is still open; null if there is none. */
    ClientConnection takeOpenIdle() {
        ClientConnection kept = idle.poll();
        while (kept != null && !kept.isOpen()) {
            kept = idle.poll();
        }
        return kept;
    }

    void closeIdle() {
        ClientConnection kept;
        while ((kept = idle.poll()) != null) {
            IoUtils.safeClose(kept);
        }
    }
}
