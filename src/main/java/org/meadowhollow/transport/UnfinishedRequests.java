package org.meadowhollow.transport;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds what requests hold whose body has begun and is not complete, over all servers of a
 * process: when their bytes or their number exceed a limit, the oldest request is aborted. Used on
 * the event loop's thread only.
 */
public final class UnfinishedRequests {
    /** A request whose body is not complete. */
    interface Request {
        /** Closes the connection of the request. */
        void abort(String reason);
    }

    private final long maxBytes;
    private final int maxRequests;

    /** The bytes received of each request, ordered by its start. */
    private final Map<Request, Integer> bytesByRequest = new LinkedHashMap<>();

    private long totalBytes;

    /**
     * @param maxBytes the limit of the bytes of all bodies; one body must fit into it
     * @param maxRequests the limit of the number of requests
     */
    public UnfinishedRequests(long maxBytes, int maxRequests) {
        this.maxBytes = maxBytes;
        this.maxRequests = maxRequests;
    }

    /** Records that a request has received more of its body, and is not complete. */
    void received(Request request, int bytes) {
        bytesByRequest.merge(request, bytes, Integer::sum);
        totalBytes += bytes;
        while (totalBytes > maxBytes || bytesByRequest.size() > maxRequests) {
            Iterator<Request> oldestFirst = bytesByRequest.keySet().iterator();
            Request oldest = oldestFirst.next();
            remove(oldest);
            oldest.abort("too many unfinished requests");
        }
    }

    /** Records that a request is complete or has failed. */
    void remove(Request request) {
        Integer bytes = bytesByRequest.remove(request);
        if (bytes != null) {
            totalBytes -= bytes;
        }
    }

    /** Returns the bytes that all unfinished requests hold. */
    long totalBytes() {
        return totalBytes;
    }
}
