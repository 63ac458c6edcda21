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
final class Connections<C> {
    private final int most;
    private final Consumer<C> close;

    /**
     * Requests that are being answered on each connection, in the order of the last request's
     * arrival.
     */
    private final Map<C, Integer> open = new LinkedHashMap<>();

    /**
     * @param most connections kept open, 0 for no bound
     */
    Connections(int most, Consumer<C> close) {
        this.most = most;
        this.close = close;
    }

    /** A request has come; true if it is the connection's first. */
    boolean begins(C connection) {
        Integer before = open.remove(connection);
        open.put(connection, before == null ? 1 : before + 1);
        if (before == null && most > 0 && open.size() > most) {
            closeIdlest();
        }
        return before == null;
    }

    /** A request has been answered. */
    void ends(C connection) {
        open.computeIfPresent(connection, (same, requests) -> requests - 1);
    }

    void closed(C connection) {
        open.remove(connection);
    }

    int count() {
        return open.size();
    }

    /**
     * One that still waits for its answer is spared: its caller is more likely there than that of
     * any idle one.
     */
    private void closeIdlest() {
        Iterator<Map.Entry<C, Integer>> all = open.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<C, Integer> next = all.next();
            if (next.getValue() == 0) {
                all.remove();
                close.accept(next.getKey());
                return;
            }
        }
    }
}
