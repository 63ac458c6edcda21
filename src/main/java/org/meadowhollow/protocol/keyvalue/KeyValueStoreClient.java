package org.meadowhollow.protocol.keyvalue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state service over HTTP: within a budget of requests and of changes, the most urgent first.
 */
public final class KeyValueStoreClient implements KeyValueStore {
    private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);

    /**
     * Most answers take a few milliseconds and a few take some hundred; past this the line is
     * mostly dead.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1500);

    /**
     * For how long answers are waited for once some in a row have not come in time: less than a
     * leader's lease, and than users wait. A state service that took 1.5 s for each was as good as
     * out for all, for as long as it was slow.
     */
    private static final Duration SLOW_RESPONSE_TIMEOUT = Duration.ofMillis(3200);

    /** Calls in a row without an answer in time, after which answers are waited for longer. */
    private static final int TIMEOUTS_UNTIL_SLOW = 3;

    /** Room for bursts of users' calls; past it a caller is better told at once to come back. */
    private static final int MAX_QUEUED = 256;

    /**
     * Requests on their way at a time: at some milliseconds each far more than the budget allows,
     * and fewer than the connections that may be open to one address. A burst of users' calls waits
     * its turn instead of opening a connection for each, or failing for want of one, which looked
     * like an outage of the state service.
     */
    private static final int MAX_IN_FLIGHT = 12;

    /** How long after a failure, with no success since, the store counts as out. */
    private static final Duration UNAVAILABLE_WINDOW = Duration.ofSeconds(3);

    /**
     * A user's call that has waited for so long is not sent any more: most users have given up by
     * then and ask again, and a queue in which every call comes too late serves nobody.
     */
    private static final Duration MAX_USER_QUEUE_TIME = Duration.ofMillis(1500);

    /**
     * How far the calls of users and those of the leader may run ahead of each other's fair half.
     */
    private static final double MAX_USER_SURPLUS = 24;

    /**
     * The share of its rate that a node keeps when it is refused; the leader, whose records others
     * wait for, keeps more.
     */
    private static final double RATE_KEPT_ON_REFUSAL = 0.7;

    private static final double LEADER_RATE_KEPT_ON_REFUSAL = 0.9;

    /** A node whose records were written so lately leads. */
    private static final Duration LEADER_WRITE_WINDOW = Duration.ofSeconds(5);

    private record QueuedRequest(
            String method,
            String path,
            byte[] body,
            int writeCount,
            RequestPriority urgency,
            MonotonicTime enqueuedAt,
            CompletableFuture<Http.Reply> reply) {}

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

    private final Http.Client http;
    private final String address;
    private final EventLoop loop;
    private final AdaptiveRateLimiter requestLimiter;
    private final AdaptiveRateLimiter writeLimiter;
    private final List<ArrayDeque<QueuedRequest>> queues = new ArrayList<>();
    private int queuedCount;
    private int inFlight;
    private boolean wakeUpScheduled;
    private MonotonicTime lastFailureAt;

    /** What users' calls took of the budgets beyond the leader's, while both were waiting. */
    private double userSurplus;

    private MonotonicTime lastLeaderWriteAt;

    /** Calls without an answer in time since the last one that had one. */
    private int consecutiveTimeouts;

    private boolean storeIsSlow;

    public KeyValueStoreClient(
            Http.Client http,
            String address,
            EventLoop loop,
            AdaptiveRateLimiter requests,
            AdaptiveRateLimiter changes) {
        this.http = http;
        this.address = address;
        this.loop = loop;
        this.requestLimiter = requests;
        this.writeLimiter = changes;
        for (int at = 0; at < RequestPriority.values().length; at++) {
            queues.add(new ArrayDeque<>());
        }
    }

    @Override
    public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
        return enqueue("GET", "/kv/" + key, null, 0, requestPriority)
                .thenApply(
                        reply -> {
                            if (reply.status() == 404) {
                                return Optional.<Entry>empty();
                            }
                            MessageReader body = decodeBody(reply);
                            return parseBody(() -> Optional.of(decodeEntry(body)));
                        });
    }

    @Override
    public CompletableFuture<Page> list(
            String prefix, String after, int most, RequestPriority requestPriority) {
        String path =
                "/kv?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&most=" + most;
        return enqueue("GET", path, null, 0, requestPriority)
                .thenApply(
                        reply -> {
                            MessageReader body = decodeBody(reply);
                            return parseBody(
                                    () -> {
                                        List<Entry> entries = new ArrayList<>();
                                        for (MessageReader item : body.nestedList("items")) {
                                            entries.add(decodeEntry(item));
                                        }
                                        return new Page(
                                                entries,
                                                body.booleanOr("truncated", false),
                                                new Revision(body.nonNegativeLong("ledgerRev")));
                                    });
                        });
    }

    @Override
    public CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority) {
        List<Map<String, Object>> guards = new ArrayList<>();
        transaction
                .conditions()
                .forEach(
                        (key, revision) ->
                                guards.add(
                                        MessageReader.mapOf(
                                                "key", key, "stamp", revision.value())));
        List<Map<String, Object>> writes = new ArrayList<>();
        transaction
                .writes()
                .forEach(
                        (key, write) -> {
                            if (write.value() == null) {
                                writes.add(MessageReader.mapOf("remove", key));
                            } else if (write.lease() == null) {
                                writes.add(MessageReader.mapOf("set", key, "v", write.value()));
                            } else {
                                writes.add(
                                        MessageReader.mapOf(
                                                "set",
                                                key,
                                                "v",
                                                write.value(),
                                                "tether",
                                                write.lease().value()));
                            }
                        });
        byte[] bytes =
                MessagePackCodec.encode(MessageReader.mapOf("guards", guards, "writes", writes));
        return enqueue("POST", "/multi", bytes, writes.size(), requestPriority)
                .thenApply(
                        reply -> {
                            MessageReader body = decodeBody(reply);
                            return parseBody(
                                    () ->
                                            new CommitResult(
                                                    reply.status() == 200,
                                                    new Revision(body.nonNegativeLong("ledgerRev")),
                                                    reply.status() == 200
                                                            ? List.of()
                                                            : body.stringListOrNull("failed")));
                        });
    }

    @Override
    public CompletableFuture<LeaseId> grantLease(Duration ttl) {
        byte[] bytes = MessagePackCodec.encode(MessageReader.mapOf("ttlMs", ttl.toMillis()));
        return enqueue("POST", "/grants", bytes, 0, RequestPriority.LEASE)
                .thenApply(
                        reply -> {
                            MessageReader body = decodeBody(reply);
                            return parseBody(() -> new LeaseId(body.nonNegativeLong("tether")));
                        });
    }

    @Override
    public CompletableFuture<Void> renewLease(LeaseId lease) {
        return enqueue(
                        "POST",
                        "/grants/" + lease.value() + "/renew",
                        MessagePackCodec.encode(Map.of()),
                        0,
                        RequestPriority.LEASE)
                .thenAccept(KeyValueStoreClient::requireLeaseExists);
    }

    @Override
    public CompletableFuture<Void> revokeLease(LeaseId lease) {
        return enqueue("DELETE", "/grants/" + lease.value(), null, 0, RequestPriority.LEASE)
                .thenAccept(reply -> {});
    }

    private static void requireLeaseExists(Http.Reply reply) {
        if (reply.status() == 404) {
            throw new KeyValueStoreException(Outcome.LEASE_EXPIRED, "the lease has ended");
        }
    }

    @Override
    public CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration wait) {
        String path =
                "/changes?prefix="
                        + prefix
                        + "&after="
                        + after.value()
                        + "&blockMs="
                        + wait.toMillis();
        // A watch waits by design, so it has a time-out of its own and stays out of the queue.
        requestLimiter.consume(1, loop.now());
        return http.send(address, "GET", path, null, wait.plus(responseTimeout()))
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                throw new KeyValueStoreException(
                                        Outcome.INDETERMINATE, "no answer to the watch");
                            }
                            MessageReader body = decodeBody(requireServed(reply));
                            return parseBody(
                                    () -> {
                                        List<Change> log = new ArrayList<>();
                                        for (MessageReader item : body.nestedList("log")) {
                                            Revision revision =
                                                    new Revision(item.nonNegativeLong("stamp"));
                                            log.add(
                                                    item.has("remove")
                                                            ? new Change(
                                                                    item.string("remove"),
                                                                    null,
                                                                    revision)
                                                            : new Change(
                                                                    item.string("set"),
                                                                    item.nested("v").map(),
                                                                    revision));
                                        }
                                        return new ChangeBatch(
                                                new Revision(body.nonNegativeLong("ledgerRev")),
                                                log);
                                    });
                        });
    }

    @Override
    public synchronized boolean seemsUnavailable() {
        return lastFailureAt != null
                && loop.now().elapsedSince(lastFailureAt).compareTo(UNAVAILABLE_WINDOW) < 0;
    }

    private CompletableFuture<Http.Reply> enqueue(
            String method,
            String path,
            byte[] body,
            int changeCount,
            RequestPriority requestPriority) {
        QueuedRequest queuedRequest =
                new QueuedRequest(
                        method,
                        path,
                        body,
                        changeCount,
                        requestPriority,
                        loop.now(),
                        new CompletableFuture<>());
        synchronized (this) {
            if (queuedCount >= MAX_QUEUED && requestPriority != RequestPriority.LEASE) {
                return CompletableFuture.failedFuture(
                        new KeyValueStoreException(
                                Outcome.REJECTED, "too many requests are waiting"));
            }
            queues.get(requestPriority.ordinal()).add(queuedRequest);
            queuedCount++;
        }
        dispatchQueued();
        return queuedRequest.reply();
    }

    /** Sends what the budgets allow, most urgent first, and sets a wake-up for the rest. */
    private void dispatchQueued() {
        while (true) {
            QueuedRequest next = null;
            List<QueuedRequest> late = new ArrayList<>();
            synchronized (this) {
                MonotonicTime now = loop.now();
                removeExpiredUserRequests(now, late);
                Duration pause = Duration.ZERO;
                boolean changesHeld = false;
                for (RequestPriority requestPriority : dispatchOrder()) {
                    QueuedRequest first = queues.get(requestPriority.ordinal()).peek();
                    if (first == null
                            || inFlight >= MAX_IN_FLIGHT
                                    && requestPriority != RequestPriority.LEASE) {
                        continue;
                    }
                    Duration free = requestLimiter.delayUntilAvailable(1, now);
                    if (!free.isZero()) {
                        pause = free;
                        break;
                    }
                    if (first.writeCount() > 0) {
                        // Once a call waits for changes no later one may take them, or a large one
                        // would never go.
                        free =
                                changesHeld
                                        ? pause
                                        : writeLimiter.delayUntilAvailable(first.writeCount(), now);
                        if (!free.isZero()) {
                            pause = free;
                            changesHeld = true;
                            continue;
                        }
                    }
                    next = queues.get(requestPriority.ordinal()).poll();
                    recordDispatch(next, now);
                    break;
                }
                if (next == null && late.isEmpty()) {
                    if (!pause.isZero() && !wakeUpScheduled) {
                        wakeUpScheduled = true;
                        loop.schedule(
                                pause,
                                () -> {
                                    synchronized (this) {
                                        wakeUpScheduled = false;
                                    }
                                    dispatchQueued();
                                });
                    }
                    return;
                }
            }
            late.forEach(
                    queuedRequest ->
                            queuedRequest
                                    .reply()
                                    .completeExceptionally(
                                            new KeyValueStoreException(
                                                    Outcome.REJECTED,
                                                    "waited too long for its turn")));
            if (next != null) {
                send(next);
            }
        }
    }

    private void removeExpiredUserRequests(MonotonicTime now, List<QueuedRequest> late) {
        ArrayDeque<QueuedRequest> users = queues.get(RequestPriority.USER.ordinal());
        while (!users.isEmpty()
                && now.elapsedSince(users.peek().enqueuedAt()).compareTo(MAX_USER_QUEUE_TIME) > 0) {
            late.add(users.poll());
            queuedCount--;
        }
    }

    /**
     * Who may go first. Users and the leader take turns by what they cost: with users always first,
     * a node that many of them asked at once neither loaded nor wrote its records as the leader,
     * and cancelled tasks ran on past their limit.
     */
    private List<RequestPriority> dispatchOrder() {
        return userSurplus > 0 ? LEADER_FIRST : USERS_FIRST;
    }

    private void recordDispatch(QueuedRequest queuedRequest, MonotonicTime now) {
        queuedCount--;
        inFlight++;
        requestLimiter.consume(1, now);
        writeLimiter.consume(queuedRequest.writeCount(), now);
        boolean leader = queuedRequest.urgency() == RequestPriority.PLACEMENT;
        if (leader && queuedRequest.writeCount() > 0) {
            lastLeaderWriteAt = now;
        }
        if (leader || queuedRequest.urgency() == RequestPriority.USER) {
            double cost = 1 + queuedRequest.writeCount();
            userSurplus =
                    Math.max(
                            -MAX_USER_SURPLUS,
                            Math.min(MAX_USER_SURPLUS, userSurplus + (leader ? -cost : cost)));
        }
        if (queues.get(RequestPriority.USER.ordinal()).isEmpty()
                || queues.get(RequestPriority.PLACEMENT.ordinal()).isEmpty()) {
            userSurplus = 0;
        }
    }

    private void send(QueuedRequest queuedRequest) {
        MonotonicTime sentAt = loop.now();
        http.send(
                        address,
                        queuedRequest.method(),
                        queuedRequest.path(),
                        queuedRequest.body(),
                        responseTimeout())
                .whenComplete(
                        (reply, failure) -> {
                            synchronized (this) {
                                inFlight--;
                                recordLatency(failure, loop.now().elapsedSince(sentAt));
                            }
                            completeRequest(queuedRequest, reply, failure);
                            dispatchQueued();
                        });
    }

    private synchronized Duration responseTimeout() {
        return storeIsSlow ? SLOW_RESPONSE_TIMEOUT : RESPONSE_TIMEOUT;
    }

    /**
     * Whether the state service is slow: it gave no answer in time again and again, and none soon
     * since.
     */
    private void recordLatency(Throwable failure, Duration took) {
        if (failure == null) {
            consecutiveTimeouts = 0;
            storeIsSlow &= took.multipliedBy(2).compareTo(RESPONSE_TIMEOUT) > 0;
        } else if (!(failure instanceof Http.RequestNotSentException)
                && took.compareTo(RESPONSE_TIMEOUT) >= 0) {
            storeIsSlow |= ++consecutiveTimeouts >= TIMEOUTS_UNTIL_SLOW;
        }
    }

    private void completeRequest(QueuedRequest queuedRequest, Http.Reply reply, Throwable failure) {
        if (failure != null) {
            recordFailure(failure.getMessage());
            Outcome outcome =
                    failure instanceof Http.RequestNotSentException
                            ? Outcome.REJECTED
                            : Outcome.INDETERMINATE;
            queuedRequest
                    .reply()
                    .completeExceptionally(
                            new KeyValueStoreException(outcome, failure.getMessage()));
            return;
        }
        try {
            Http.Reply checked = requireServed(reply);
            recordSuccess();
            queuedRequest.reply().complete(checked);
        } catch (KeyValueStoreException refused) {
            if (reply.status() == 503) {
                recordFailure(refused.getMessage());
            } else if (reply.status() == 429) {
                reduceRate(queuedRequest.writeCount() > 0);
            }
            queuedRequest.reply().completeExceptionally(refused);
        }
    }

    private synchronized void recordFailure(String why) {
        if (lastFailureAt == null) {
            LOG.info("the state service at {} does not serve us: {}; trying on", address, why);
        }
        lastFailureAt = loop.now();
    }

    /**
     * Which of the two limits refused is not said; a call with changes is mostly refused for these,
     * of which there are fewer. All nodes share the limits, and each alone would keep to them.
     */
    private synchronized void reduceRate(boolean withChanges) {
        MonotonicTime now = loop.now();
        boolean leads =
                lastLeaderWriteAt != null
                        && now.elapsedSince(lastLeaderWriteAt).compareTo(LEADER_WRITE_WINDOW) < 0;
        (withChanges ? writeLimiter : requestLimiter)
                .recordRefusal(leads ? LEADER_RATE_KEPT_ON_REFUSAL : RATE_KEPT_ON_REFUSAL, now);
    }

    private synchronized void recordSuccess() {
        if (lastFailureAt != null) {
            LOG.info("the state service serves us again");
        }
        lastFailureAt = null;
    }

    private static Http.Reply requireServed(Http.Reply reply) {
        return switch (reply.status()) {
            case 200, 404, 409 -> reply;
            case 429, 503 ->
                    throw new KeyValueStoreException(
                            Outcome.REJECTED, "answered " + reply.status());
            case 410 ->
                    throw new KeyValueStoreException(
                            Outcome.COMPACTED, "the watch began too long ago");
            case 400 ->
                    throw new KeyValueStoreException(
                            new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8)
                                            .contains("no such lease")
                                    ? Outcome.LEASE_EXPIRED
                                    : Outcome.INVALID_REQUEST,
                            "answered 400");
            default ->
                    throw new KeyValueStoreException(
                            Outcome.INDETERMINATE, "answered " + reply.status());
        };
    }

    private static Entry decodeEntry(MessageReader item) throws MalformedMessageException {
        return new Entry(
                item.string("key"),
                item.nested("v").map(),
                new Revision(item.nonNegativeLong("stamp")));
    }

    private static MessageReader decodeBody(Http.Reply reply) {
        return parseBody(() -> MessageReader.decode(reply.body()));
    }

    private interface BodyParser<T> {
        T parse() throws MalformedMessageException;
    }

    private static <T> T parseBody(BodyParser<T> bodyParser) {
        try {
            return bodyParser.parse();
        } catch (MalformedMessageException broken) {
            throw new KeyValueStoreException(
                    Outcome.INDETERMINATE, "the answer makes no sense: " + broken.getMessage());
        }
    }
}
