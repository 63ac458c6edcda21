package org.meadowhollow.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Bounds the connections that others have opened to a server. Behind a network partition the far
 * ends of hundreds may be gone without a sign, while the same callers return on new connections; so
 * above the bound the idle connection whose last request is the longest ago is closed. Not
 * thread-safe: used on the event loop's thread only.
 */
final class ConnectionLimiter<C> {
    private final int limit;
    private final Consumer<C> closer;

    /**
     * The number of requests in progress on each connection, in the order of the last request's
     * arrival.
     */
    private final Map<C, Integer> activeRequests = new LinkedHashMap<>();

    /**
     * @param limit of open connections, 0 for no bound
     */
    ConnectionLimiter(int limit, Consumer<C> closer) {
        this.limit = limit;
        this.closer = closer;
    }

    /** Counts a request that has arrived; true if it is the connection's first. */
    boolean requestStarted(C connection) {
        Integer before = activeRequests.remove(connection);
        activeRequests.put(connection, before == null ? 1 : before + 1);
        if (before == null && limit > 0 && activeRequests.size() > limit) {
            closeLeastRecentlyUsed();
        }
        return before == null;
    }

    /** Counts a request whose response has been sent. */
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
     * Spares connections with a request in progress: their callers are more likely there than that
     * of any idle one.
     */
    private void closeLeastRecentlyUsed() {
        Iterator<Map.Entry<C, Integer>> all = activeRequests.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<C, Integer> next = all.next();
            if (next.getValue() == 0) {
                all.remove();
                closer.accept(next.getKey());
                return;
            }
        }
    }
}
