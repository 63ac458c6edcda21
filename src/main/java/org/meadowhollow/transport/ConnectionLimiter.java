package org.meadowhollow.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Limits the connections that clients have open to a server. After a network partition, hundreds of
 * connections may be dead without having been closed, while the same clients reconnect; so above
 * the limit the idle connection that was used least recently is closed. Not thread-safe: used on
 * the event loop's thread only.
 */
final class ConnectionLimiter<C> {
    private final int limit;
    private final Consumer<C> closer;

    /**
     * The number of requests in progress on each connection, ordered by the arrival of the
     * connection's last request.
     */
    private final Map<C, Integer> activeRequests = new LinkedHashMap<>();

    /**
     * Creates a limiter without connections.
     *
     * @param limit the largest number of open connections, 0 for no limit
     * @param closer closes a connection
     */
    ConnectionLimiter(int limit, Consumer<C> closer) {
        this.limit = limit;
        this.closer = closer;
    }

    /** Records the arrival of a request; returns whether it is the connection's first. */
    boolean requestStarted(C connection) {
        Integer activeBefore = activeRequests.remove(connection);
        activeRequests.put(connection, activeBefore == null ? 1 : activeBefore + 1);
        if (activeBefore == null && limit > 0 && activeRequests.size() > limit) {
            closeLeastRecentlyUsed();
        }
        return activeBefore == null;
    }

    /** Records that the response to a request has been sent. */
    void requestFinished(C connection) {
        activeRequests.computeIfPresent(connection, (same, requests) -> requests - 1);
    }

    void connectionClosed(C connection) {
        activeRequests.remove(connection);
    }

    int openCount() {
        return activeRequests.size();
    }

    /**
     * Closes the idle connection that was used least recently. Connections with a request in
     * progress stay open, because their clients are more likely to be alive.
     */
    private void closeLeastRecentlyUsed() {
        Iterator<Map.Entry<C, Integer>> entries = activeRequests.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<C, Integer> entry = entries.next();
            if (entry.getValue() == 0) {
                entries.remove();
                closer.accept(entry.getKey());
                return;
            }
        }
    }
}
