package org.meadowhollow.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Limits the connections that clients have open to a server, from their accept on. After a network
 * partition, hundreds of connections may be dead without having been closed, while the same clients
 * reconnect; so above the limit a connection is closed to make room for the newest one. Connections
 * that have not sent the whole head of a request have a share of the limit, so that they cannot
 * displace the connections of workers and users. Not thread-safe: used on the event loop's thread
 * only.
 */
final class ConnectionLimiter<C> {
    /** Divides the limit; the quotient is the limit of connections without a request. */
    static final int SILENT_CONNECTIONS_DIVISOR = 4;

    /** The limit of connections without a request, where there is no limit for all of them. */
    static final int DEFAULT_MAX_SILENT = 256;

    private final int limit;
    private final int maxSilent;
    private final Consumer<C> closer;

    /** The connections on which no request has arrived, in the order of their accept. */
    private final Map<C, Boolean> silentConnections = new LinkedHashMap<>();

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
        this.maxSilent =
                limit == 0 ? DEFAULT_MAX_SILENT : Math.max(1, limit / SILENT_CONNECTIONS_DIVISOR);
        this.closer = closer;
    }

    /** Records that a connection was accepted; closes the oldest silent one above a limit. */
    void accepted(C connection) {
        silentConnections.put(connection, true);
        if (silentConnections.size() > maxSilent) {
            closeOldestSilent();
        } else if (isAboveLimit()) {
            closeOne();
        }
    }

    /** Records the arrival of a request; returns whether it is the connection's first. */
    boolean requestStarted(C connection) {
        silentConnections.remove(connection);
        Integer activeBefore = activeRequests.remove(connection);
        activeRequests.put(connection, activeBefore == null ? 1 : activeBefore + 1);
        if (activeBefore == null && isAboveLimit()) {
            closeOne();
        }
        return activeBefore == null;
    }

    /** Records that the response to a request has been sent. */
    void requestFinished(C connection) {
        activeRequests.computeIfPresent(connection, (same, requests) -> requests - 1);
    }

    void connectionClosed(C connection) {
        silentConnections.remove(connection);
        activeRequests.remove(connection);
    }

    int openCount() {
        return silentConnections.size() + activeRequests.size();
    }

    /** Returns the connections on which no request has arrived. */
    Iterable<C> silentConnections() {
        return silentConnections.keySet();
    }

    int silentCount() {
        return silentConnections.size();
    }

    private boolean isAboveLimit() {
        return limit > 0 && openCount() > limit;
    }

    /**
     * Closes the idle connection that was used least recently, or else the oldest silent one.
     * Connections with a request in progress stay open, because their clients are more likely to be
     * alive.
     */
    private void closeOne() {
        Iterator<Map.Entry<C, Integer>> entries = activeRequests.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<C, Integer> entry = entries.next();
            if (entry.getValue() == 0) {
                entries.remove();
                closer.accept(entry.getKey());
                return;
            }
        }
        if (silentConnections.size() > 1) {
            closeOldestSilent();
        }
    }

    private void closeOldestSilent() {
        Iterator<C> oldestFirst = silentConnections.keySet().iterator();
        C oldest = oldestFirst.next();
        oldestFirst.remove();
        closer.accept(oldest);
    }
}
