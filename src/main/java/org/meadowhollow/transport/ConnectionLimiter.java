package org.meadowhollow.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The connections that others have opened to a listener, at most so many. Behind a cut the far ends
 * of hundreds are gone, which nothing says here, while the same callers come again on new ones; so
 * when there are too many, the one without a request for longest goes first. All work is done on
 * the loop's thread.
 */
final class ConnectionLimiter<C> {
    private final int limit;
    private final Consumer<C> closer;

    /**
     * Requests that are being answered on each connection, in the order of the last request's
     * arrival.
     */
    private final Map<C, Integer> activeRequests = new LinkedHashMap<>();

    /**
     * @param most connections kept open, 0 for no bound
     */
    ConnectionLimiter(int most, Consumer<C> close) {
        this.limit = most;
        this.closer = close;
    }

    /** A request has come; true if it is the connection's first. */
    boolean requestStarted(C connection) {
        Integer before = activeRequests.remove(connection);
        activeRequests.put(connection, before == null ? 1 : before + 1);
        if (before == null && limit > 0 && activeRequests.size() > limit) {
            closeLeastRecentlyUsed();
        }
        return before == null;
    }

    /** A request has been answered. */
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
     * One that still waits for its answer is spared: its caller is more likely there than that of
     * any idle one.
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
