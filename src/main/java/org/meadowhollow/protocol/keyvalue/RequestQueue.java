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
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.storage.IndeterminateOutcomeException;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.RequestRejectedException;

/**
 * Queues the requests to the key-value store and sends them within the limits of requests and
 * writes per second and of requests in flight. Lease requests go first and background requests
 * last; the requests of users and of the leader alternate by their cost.
 *
 * <p>Thread-safe; requests are sent and futures completed outside the lock. The sender of a request
 * calls {@link #requestFinished} and {@link #dispatch} when it has received the response or an
 * error.
 */
final class RequestQueue {
    /**
     * The maximum number of queued requests, enough for bursts of user requests. When the queue is
     * full, a request fails immediately so that its caller can retry.
     */
    private static final int MAX_QUEUED = 256;

    /**
     * The maximum number of requests in flight. At a few milliseconds per request, this is far more
     * than the rate limits allow, and it is less than the number of connections that may be open to
     * one address. Without the bound, a burst of user requests opens a connection for each of them,
     * or fails for lack of connections, which looks like an outage of the key-value store.
     */
    private static final int MAX_IN_FLIGHT = 12;

    /**
     * A user request that has waited longer is rejected without being sent. Most users have given
     * up and retried by then, and a queue in which every request has waited too long does no useful
     * work.
     */
    private static final Duration MAX_USER_QUEUE_TIME = Duration.ofMillis(1500);

    /**
     * The maximum difference between the costs of user requests and of leader requests; a request
     * costs 1 plus 1 for each key that it writes.
     */
    private static final double MAX_USER_SURPLUS = 24;

    /** The share of its rate that a node other than the leader keeps after a refusal. */
    private static final double RATE_KEPT_ON_REFUSAL = 0.7;

    /** The leader keeps a larger share, because other nodes wait for its records. */
    private static final double LEADER_RATE_KEPT_ON_REFUSAL = 0.9;

    /** A node that has written leader records within this time counts as the leader. */
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
     * The next request to send, or the time to wait for it.
     *
     * @param request null if no request may be sent now
     * @param pause the time until a request may be sent, zero if none waits for a rate limit
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

    /** The cost of user requests less that of leader requests, summed while both kinds wait. */
    @GuardedBy("this")
    private double userSurplus;

    /** When this node last wrote leader records; null before the first time. */
    @GuardedBy("this")
    private MonotonicTime lastLeaderWriteAt;

    /**
     * @param sender called outside the lock with each request that is to be sent
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

    /**
     * Queues a request and sends it as soon as the limits and its priority allow. Fails immediately
     * if the queue is full, except for lease requests.
     */
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

    /** Charges a request that bypasses the queue to the request limit. */
    void chargeRequest() {
        requestLimiter.consume(1, loop.now());
    }

    /** Records that a request is no longer in flight; {@link #dispatch} then sends the next one. */
    synchronized void requestFinished() {
        inFlight--;
    }

    /**
     * Sends the requests that the limits allow, in the order of priority, rejects expired user
     * requests, and schedules a timer for the rest.
     */
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
                send(next);
            }
        }
    }

    /** Sends a request; one that the sender does not accept fails, and leaves the queue usable. */
    private void send(QueuedRequest next) {
        RepeatingSteps.run(
                loop,
                RepeatingStep.STORE_DISPATCH,
                () -> sender.accept(next),
                () -> {
                    requestFinished();
                    next.reply()
                            .completeExceptionally(
                                    new IndeterminateOutcomeException("the request failed"));
                });
    }

    @GuardedBy("this")
    private Selection selectNext(MonotonicTime now) {
        Duration pause = Duration.ZERO;
        boolean writeLimitReached = false;
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
                // Once a request waits for the write limit, no request after it may use that limit;
                // otherwise a large transaction would wait forever.
                Duration writeDelay =
                        writeLimitReached
                                ? pause
                                : writeLimiter.delayUntilAvailable(first.writeCount(), now);
                if (!writeDelay.isZero()) {
                    pause = writeDelay;
                    writeLimitReached = true;
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
     * Returns the priorities in the order in which they are served. The requests of users and of
     * the leader alternate by their cost: if users always went first, a leader that receives many
     * requests at the same time could neither load nor write its records, and cancelled tasks would
     * run past the cancellation bound.
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
        boolean isLeaderRequest = queuedRequest.priority() == RequestPriority.PLACEMENT;
        if (isLeaderRequest && queuedRequest.writeCount() > 0) {
            lastLeaderWriteAt = now;
        }
        if (isLeaderRequest || queuedRequest.priority() == RequestPriority.USER) {
            double cost = 1 + queuedRequest.writeCount();
            double surplus = userSurplus + (isLeaderRequest ? -cost : cost);
            userSurplus = Math.max(-MAX_USER_SURPLUS, Math.min(MAX_USER_SURPLUS, surplus));
        }
        if (queues.get(RequestPriority.USER).isEmpty()
                || queues.get(RequestPriority.PLACEMENT).isEmpty()) {
            userSurplus = 0;
        }
    }

    /**
     * Lowers a rate after the key-value store refused a request because of its rate limits. The
     * response does not say which of the two limits was exceeded; for a request with writes it is
     * most likely the write limit, which is the lower one. Refusals occur although each node stays
     * within the limits, because all nodes share them.
     */
    synchronized void recordRefusal(StoreRequest request) {
        MonotonicTime now = loop.now();
        boolean isLeader =
                lastLeaderWriteAt != null
                        && now.elapsedSince(lastLeaderWriteAt).compareTo(LEADER_WRITE_WINDOW) < 0;
        AdaptiveRateLimiter limiter = request.writeCount() > 0 ? writeLimiter : requestLimiter;
        limiter.recordRefusal(isLeader ? LEADER_RATE_KEPT_ON_REFUSAL : RATE_KEPT_ON_REFUSAL, now);
    }
}
