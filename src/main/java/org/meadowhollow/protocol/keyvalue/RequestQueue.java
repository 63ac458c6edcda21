package org.meadowhollow.protocol.keyvalue;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.RequestRejectedException;

/**
 * Requests to the key-value store that wait for the limits of requests and writes per second, and
 * for the bound of requests in flight. Lease requests go first and background requests last; users
 * and the leader take turns by what their requests cost.
 *
 * <p>Thread-safe; requests are sent and futures completed outside the lock. Whoever sends a request
 * calls {@link #requestFinished} and {@link #dispatch} once there is a response.
 */
final class RequestQueue {
    /** Room for bursts of users' requests; past it a caller is better told at once to retry. */
    private static final int MAX_QUEUED = 256;

    /**
     * Requests in flight: at some milliseconds each far more than the limits allow, and fewer than
     * the connections that may be open to one address. A burst of users' requests waits in the
     * queue instead of opening a connection for each, or failing for want of one, which looked like
     * an outage of the key-value store.
     */
    private static final int MAX_IN_FLIGHT = 12;

    /**
     * A user's request that has waited for so long is not sent any more: most users have given up
     * by then and retry, and a queue in which every request is too late serves nobody.
     */
    private static final Duration MAX_USER_QUEUE_TIME = Duration.ofMillis(1500);

    /** How far the cost of users' requests and that of the leader's may run ahead of each other. */
    private static final double MAX_USER_SURPLUS = 24;

    /**
     * The share of its rate that a node keeps when it is refused; the leader, whose records others
     * wait for, keeps more.
     */
    private static final double RATE_KEPT_ON_REFUSAL = 0.7;

    private static final double LEADER_RATE_KEPT_ON_REFUSAL = 0.9;

    /** A node that wrote a leader's records within this time counts as the leader. */
    private static final Duration LEADER_WRITE_WINDOW = Duration.ofSeconds(5);

    private static final List<RequestPriority> USERS_FIRST =
            List.of(
                    RequestPriority.LEASE,
                    RequestPriority.USER,
                    RequestPriority.PLACEMENT,
                    RequestPriority.BACKGROUND);
    private static final List<RequestPriority> LEADER_FIRST =
            List.of(
                    RequestPriority.LEASE,
                    RequestPriority.PLACEMENT,
                    RequestPriority.USER,
                    RequestPriority.BACKGROUND);

    /**
     * A request in the queue or in flight.
     *
     * @param reply completed with the response, or with a {@link KeyValueStoreException}
     */
    record QueuedRequest(
            StoreRequest request, MonotonicTime enqueuedAt, CompletableFuture<Http.Reply> reply) {
        RequestPriority priority() {
            return request.priority();
        }

        int writeCount() {
            return request.writeCount();
        }
    }

    /**
     * What may be sent now.
     *
     * @param request null if none may
     * @param pause until one may, zero if none waits for a limit
     */
    private record Selection(QueuedRequest request, Duration pause) {}

    private final EventLoop loop;
    private final Consumer<QueuedRequest> sender;
    private final AdaptiveRateLimiter requestLimiter;
    private final AdaptiveRateLimiter writeLimiter;

    @GuardedBy("this")
    private final Map<RequestPriority, ArrayDeque<QueuedRequest>> queues =
            new EnumMap<>(RequestPriority.class);

    @GuardedBy("this")
    private int queuedCount;

    @GuardedBy("this")
    private int inFlight;

    @GuardedBy("this")
    private boolean wakeUpScheduled;

    /** What users' requests cost beyond the leader's, while both were waiting. */
    @GuardedBy("this")
    private double userSurplus;

    /** Null until this node writes a leader's records. */
    @GuardedBy("this")
    private MonotonicTime lastLeaderWriteAt;

    /**
     * @param sender called outside the lock with each request whose turn has come
     */
    RequestQueue(
            EventLoop loop,
            AdaptiveRateLimiter requestLimiter,
            AdaptiveRateLimiter writeLimiter,
            Consumer<QueuedRequest> sender) {
        this.loop = loop;
        this.requestLimiter = requestLimiter;
        this.writeLimiter = writeLimiter;
        this.sender = sender;
        for (RequestPriority priority : RequestPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /** Sends a request as soon as its turn has come; fails at once if the queue is full. */
    CompletableFuture<Http.Reply> enqueue(StoreRequest request) {
        QueuedRequest queuedRequest =
                new QueuedRequest(request, loop.now(), new CompletableFuture<>());
        synchronized (this) {
            if (queuedCount >= MAX_QUEUED && request.priority() != RequestPriority.LEASE) {
                return CompletableFuture.failedFuture(
                        new RequestRejectedException("too many requests are waiting"));
            }
            queues.get(request.priority()).add(queuedRequest);
            queuedCount++;
        }
        dispatch();
        return queuedRequest.reply();
    }

    /** Counts a request that is sent without a turn in the queue. */
    void chargeRequest() {
        requestLimiter.consume(1, loop.now());
    }

    /** Makes room for another request in flight; {@link #dispatch} sends it. */
    synchronized void requestFinished() {
        inFlight--;
    }

    /** Sends what the limits allow, in the order of priority, and sets a timer for the rest. */
    void dispatch() {
        while (true) {
            List<QueuedRequest> expired = new ArrayList<>();
            QueuedRequest next;
            synchronized (this) {
                MonotonicTime now = loop.now();
                removeExpiredUserRequests(now, expired);
                Selection selection = selectNext(now);
                next = selection.request();
                if (next == null && expired.isEmpty()) {
                    scheduleWakeUp(selection.pause());
                    return;
                }
            }
            expired.forEach(RequestQueue::rejectExpired);
            if (next != null) {
                sender.accept(next);
            }
        }
    }

    @GuardedBy("this")
    private Selection selectNext(MonotonicTime now) {
        Duration pause = Duration.ZERO;
        boolean writesWait = false;
        for (RequestPriority priority : dispatchOrder()) {
            QueuedRequest first = queues.get(priority).peek();
            if (first == null || (inFlight >= MAX_IN_FLIGHT && priority != RequestPriority.LEASE)) {
                continue;
            }
            Duration requestDelay = requestLimiter.delayUntilAvailable(1, now);
            if (!requestDelay.isZero()) {
                return new Selection(null, requestDelay);
            }
            if (first.writeCount() > 0) {
                // Once a request waits for the limit of writes no later one may use that limit, or
                // a large transaction would wait forever.
                Duration writeDelay =
                        writesWait
                                ? pause
                                : writeLimiter.delayUntilAvailable(first.writeCount(), now);
                if (!writeDelay.isZero()) {
                    pause = writeDelay;
                    writesWait = true;
                    continue;
                }
            }
            queues.get(priority).remove();
            recordDispatch(first, now);
            return new Selection(first, Duration.ZERO);
        }
        return new Selection(null, pause);
    }

    @GuardedBy("this")
    private void scheduleWakeUp(Duration pause) {
        if (pause.isZero() || wakeUpScheduled) {
            return;
        }
        wakeUpScheduled = true;
        loop.schedule(
                pause,
                () -> {
                    synchronized (this) {
                        wakeUpScheduled = false;
                    }
                    dispatch();
                });
    }

    @GuardedBy("this")
    private void removeExpiredUserRequests(MonotonicTime now, List<QueuedRequest> expired) {
        ArrayDeque<QueuedRequest> userRequests = queues.get(RequestPriority.USER);
        while (!userRequests.isEmpty()
                && now.elapsedSince(userRequests.peek().enqueuedAt()).compareTo(MAX_USER_QUEUE_TIME)
                        > 0) {
            expired.add(userRequests.poll());
            queuedCount--;
        }
    }

    private static void rejectExpired(QueuedRequest queuedRequest) {
        queuedRequest
                .reply()
                .completeExceptionally(
                        new RequestRejectedException("waited too long for its turn"));
    }

    /**
     * The order of priorities. Users and the leader take turns by what their requests cost: with
     * users always first, a leader that many of them asked at once neither loaded nor wrote its
     * records, and cancelled tasks ran on past their limit.
     */
    @GuardedBy("this")
    private List<RequestPriority> dispatchOrder() {
        return userSurplus > 0 ? LEADER_FIRST : USERS_FIRST;
    }

    @GuardedBy("this")
    private void recordDispatch(QueuedRequest queuedRequest, MonotonicTime now) {
        queuedCount--;
        inFlight++;
        requestLimiter.consume(1, now);
        writeLimiter.consume(queuedRequest.writeCount(), now);
        boolean byLeader = queuedRequest.priority() == RequestPriority.PLACEMENT;
        if (byLeader && queuedRequest.writeCount() > 0) {
            lastLeaderWriteAt = now;
        }
        if (byLeader || queuedRequest.priority() == RequestPriority.USER) {
            double cost = 1 + queuedRequest.writeCount();
            double surplus = userSurplus + (byLeader ? -cost : cost);
            userSurplus = Math.max(-MAX_USER_SURPLUS, Math.min(MAX_USER_SURPLUS, surplus));
        }
        if (queues.get(RequestPriority.USER).isEmpty()
                || queues.get(RequestPriority.PLACEMENT).isEmpty()) {
            userSurplus = 0;
        }
    }

    /**
     * Lowers a rate after the key-value store has refused a request as one too many. Which of its
     * two limits it was is not said; a request with writes is mostly refused for these, of which
     * fewer are allowed. All nodes share the limits, and each alone would keep to them.
     */
    synchronized void recordRefusal(StoreRequest request) {
        MonotonicTime now = loop.now();
        boolean leads =
                lastLeaderWriteAt != null
                        && now.elapsedSince(lastLeaderWriteAt).compareTo(LEADER_WRITE_WINDOW) < 0;
        AdaptiveRateLimiter limiter = request.writeCount() > 0 ? writeLimiter : requestLimiter;
        limiter.recordRefusal(leads ? LEADER_RATE_KEPT_ON_REFUSAL : RATE_KEPT_ON_REFUSAL, now);
    }
}
