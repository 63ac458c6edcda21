package org.meadowhollow.protocol.state;

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
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.protocol.RateBudget;
import org.meadowhollow.protocol.Wire;
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
public final class StateClient implements KeyValueStore {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);

    /**
     * Most answers take a few milliseconds and a few take some hundred; past this the line is
     * mostly dead.
     */
    private static final Duration ANSWER = Duration.ofMillis(1500);

    /**
     * For how long answers are waited for once some in a row have not come in time: less than a
     * leader's lease, and than users wait. A state service that took 1.5 s for each was as good as
     * out for all, for as long as it was slow.
     */
    private static final Duration SLOW_ANSWER = Duration.ofMillis(3200);

    /** Calls in a row without an answer in time, after which answers are waited for longer. */
    private static final int SLOW_AFTER = 3;

    /** Room for bursts of users' calls; past it a caller is better told at once to come back. */
    private static final int MOST_WAITING = 256;

    /**
     * Requests on their way at a time: at some milliseconds each far more than the budget allows,
     * and fewer than the connections that may be open to one address. A burst of users' calls waits
     * its turn instead of opening a connection for each, or failing for want of one, which looked
     * like an outage of the state service.
     */
    private static final int MOST_IN_FLIGHT = 12;

    /** How long after a failure, with no success since, the store counts as out. */
    private static final Duration OUT_FOR = Duration.ofSeconds(3);

    /**
     * A user's call that has waited for so long is not sent any more: most users have given up by
     * then and ask again, and a queue in which every call comes too late serves nobody.
     */
    private static final Duration MOST_WAIT = Duration.ofMillis(1500);

    /**
     * How far the calls of users and those of the leader may run ahead of each other's fair half.
     */
    private static final double MOST_AHEAD = 24;

    /**
     * The share of its rate that a node keeps when it is refused; the leader, whose records others
     * wait for, keeps more.
     */
    private static final double KEEP = 0.7;

    private static final double LEADER_KEEPS = 0.9;

    /** A node whose records were written so lately leads. */
    private static final Duration LEADS_FOR = Duration.ofSeconds(5);

    private record Call(
            String method,
            String path,
            byte[] body,
            int changes,
            RequestPriority urgency,
            MonotonicTime since,
            CompletableFuture<Http.Reply> answer) {}

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
    private final RateBudget requests;
    private final RateBudget changes;
    private final List<ArrayDeque<Call>> waiting = new ArrayList<>();
    private int waitingCount;
    private int inFlight;
    private boolean wakeSet;
    private MonotonicTime failedAt;

    /** What users' calls took of the budgets beyond the leader's, while both were waiting. */
    private double usersAhead;

    private MonotonicTime recordsAt;

    /** Calls without an answer in time since the last one that had one. */
    private int unanswered;

    private boolean slow;

    public StateClient(
            Http.Client http,
            String address,
            EventLoop loop,
            RateBudget requests,
            RateBudget changes) {
        this.http = http;
        this.address = address;
        this.loop = loop;
        this.requests = requests;
        this.changes = changes;
        for (int at = 0; at < RequestPriority.values().length; at++) {
            waiting.add(new ArrayDeque<>());
        }
    }

    @Override
    public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
        return call("GET", "/kv/" + key, null, 0, requestPriority)
                .thenApply(
                        reply -> {
                            if (reply.status() == 404) {
                                return Optional.<Entry>empty();
                            }
                            Fields body = body(reply);
                            return read(() -> Optional.of(entry(body)));
                        });
    }

    @Override
    public CompletableFuture<Page> list(
            String prefix, String after, int most, RequestPriority requestPriority) {
        String path =
                "/kv?prefix=" + prefix + (after == null ? "" : "&after=" + after) + "&most=" + most;
        return call("GET", path, null, 0, requestPriority)
                .thenApply(
                        reply -> {
                            Fields body = body(reply);
                            return read(
                                    () -> {
                                        List<Entry> entries = new ArrayList<>();
                                        for (Fields item : body.list("items")) {
                                            entries.add(entry(item));
                                        }
                                        return new Page(
                                                entries,
                                                body.flagOr("truncated", false),
                                                new Revision(body.count("ledgerRev")));
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
                                guards.add(Fields.of("key", key, "stamp", revision.value())));
        List<Map<String, Object>> writes = new ArrayList<>();
        transaction
                .writes()
                .forEach(
                        (key, write) -> {
                            if (write.value() == null) {
                                writes.add(Fields.of("remove", key));
                            } else if (write.lease() == null) {
                                writes.add(Fields.of("set", key, "v", write.value()));
                            } else {
                                writes.add(
                                        Fields.of(
                                                "set",
                                                key,
                                                "v",
                                                write.value(),
                                                "tether",
                                                write.lease().value()));
                            }
                        });
        byte[] bytes = Wire.encode(Fields.of("guards", guards, "writes", writes));
        return call("POST", "/multi", bytes, writes.size(), requestPriority)
                .thenApply(
                        reply -> {
                            Fields body = body(reply);
                            return read(
                                    () ->
                                            new CommitResult(
                                                    reply.status() == 200,
                                                    new Revision(body.count("ledgerRev")),
                                                    reply.status() == 200
                                                            ? List.of()
                                                            : body.textsOrNull("failed")));
                        });
    }

    @Override
    public CompletableFuture<LeaseId> grantLease(Duration ttl) {
        byte[] bytes = Wire.encode(Fields.of("ttlMs", ttl.toMillis()));
        return call("POST", "/grants", bytes, 0, RequestPriority.LEASE)
                .thenApply(
                        reply -> {
                            Fields body = body(reply);
                            return read(() -> new LeaseId(body.count("tether")));
                        });
    }

    @Override
    public CompletableFuture<Void> renewLease(LeaseId lease) {
        return call(
                        "POST",
                        "/grants/" + lease.value() + "/renew",
                        Wire.encode(Map.of()),
                        0,
                        RequestPriority.LEASE)
                .thenAccept(StateClient::leaseStands);
    }

    @Override
    public CompletableFuture<Void> revokeLease(LeaseId lease) {
        return call("DELETE", "/grants/" + lease.value(), null, 0, RequestPriority.LEASE)
                .thenAccept(reply -> {});
    }

    private static void leaseStands(Http.Reply reply) {
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
        requests.take(1, loop.now());
        return http.send(address, "GET", path, null, wait.plus(answerWithin()))
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                throw new KeyValueStoreException(
                                        Outcome.INDETERMINATE, "no answer to the watch");
                            }
                            Fields body = body(check(reply));
                            return read(
                                    () -> {
                                        List<Change> log = new ArrayList<>();
                                        for (Fields item : body.list("log")) {
                                            Revision revision = new Revision(item.count("stamp"));
                                            log.add(
                                                    item.has("remove")
                                                            ? new Change(
                                                                    item.text("remove"),
                                                                    null,
                                                                    revision)
                                                            : new Change(
                                                                    item.text("set"),
                                                                    item.fields("v").map(),
                                                                    revision));
                                        }
                                        return new ChangeBatch(
                                                new Revision(body.count("ledgerRev")), log);
                                    });
                        });
    }

    @Override
    public synchronized boolean seemsUnavailable() {
        return failedAt != null && loop.now().elapsedSince(failedAt).compareTo(OUT_FOR) < 0;
    }

    private CompletableFuture<Http.Reply> call(
            String method,
            String path,
            byte[] body,
            int changeCount,
            RequestPriority requestPriority) {
        Call call =
                new Call(
                        method,
                        path,
                        body,
                        changeCount,
                        requestPriority,
                        loop.now(),
                        new CompletableFuture<>());
        synchronized (this) {
            if (waitingCount >= MOST_WAITING && requestPriority != RequestPriority.LEASE) {
                return CompletableFuture.failedFuture(
                        new KeyValueStoreException(
                                Outcome.REJECTED, "too many requests are waiting"));
            }
            waiting.get(requestPriority.ordinal()).add(call);
            waitingCount++;
        }
        pump();
        return call.answer();
    }

    /** Sends what the budgets allow, most urgent first, and sets a wake-up for the rest. */
    private void pump() {
        while (true) {
            Call next = null;
            List<Call> late = new ArrayList<>();
            synchronized (this) {
                MonotonicTime now = loop.now();
                dropLate(now, late);
                Duration pause = Duration.ZERO;
                boolean changesHeld = false;
                for (RequestPriority requestPriority : order()) {
                    Call first = waiting.get(requestPriority.ordinal()).peek();
                    if (first == null
                            || inFlight >= MOST_IN_FLIGHT
                                    && requestPriority != RequestPriority.LEASE) {
                        continue;
                    }
                    Duration free = requests.untilFree(1, now);
                    if (!free.isZero()) {
                        pause = free;
                        break;
                    }
                    if (first.changes() > 0) {
                        // Once a call waits for changes no later one may take them, or a large one
                        // would never go.
                        free = changesHeld ? pause : changes.untilFree(first.changes(), now);
                        if (!free.isZero()) {
                            pause = free;
                            changesHeld = true;
                            continue;
                        }
                    }
                    next = waiting.get(requestPriority.ordinal()).poll();
                    took(next, now);
                    break;
                }
                if (next == null && late.isEmpty()) {
                    if (!pause.isZero() && !wakeSet) {
                        wakeSet = true;
                        loop.schedule(
                                pause,
                                () -> {
                                    synchronized (this) {
                                        wakeSet = false;
                                    }
                                    pump();
                                });
                    }
                    return;
                }
            }
            late.forEach(
                    call ->
                            call.answer()
                                    .completeExceptionally(
                                            new KeyValueStoreException(
                                                    Outcome.REJECTED,
                                                    "waited too long for its turn")));
            if (next != null) {
                send(next);
            }
        }
    }

    private void dropLate(MonotonicTime now, List<Call> late) {
        ArrayDeque<Call> users = waiting.get(RequestPriority.USER.ordinal());
        while (!users.isEmpty()
                && now.elapsedSince(users.peek().since()).compareTo(MOST_WAIT) > 0) {
            late.add(users.poll());
            waitingCount--;
        }
    }

    /**
     * Who may go first. Users and the leader take turns by what they cost: with users always first,
     * a node that many of them asked at once neither loaded nor wrote its records as the leader,
     * and cancelled tasks ran on past their limit.
     */
    private List<RequestPriority> order() {
        return usersAhead > 0 ? LEADER_FIRST : USERS_FIRST;
    }

    private void took(Call call, MonotonicTime now) {
        waitingCount--;
        inFlight++;
        requests.take(1, now);
        changes.take(call.changes(), now);
        boolean leader = call.urgency() == RequestPriority.PLACEMENT;
        if (leader && call.changes() > 0) {
            recordsAt = now;
        }
        if (leader || call.urgency() == RequestPriority.USER) {
            double cost = 1 + call.changes();
            usersAhead =
                    Math.max(
                            -MOST_AHEAD,
                            Math.min(MOST_AHEAD, usersAhead + (leader ? -cost : cost)));
        }
        if (waiting.get(RequestPriority.USER.ordinal()).isEmpty()
                || waiting.get(RequestPriority.PLACEMENT.ordinal()).isEmpty()) {
            usersAhead = 0;
        }
    }

    private void send(Call call) {
        MonotonicTime sentAt = loop.now();
        http.send(address, call.method(), call.path(), call.body(), answerWithin())
                .whenComplete(
                        (reply, failure) -> {
                            synchronized (this) {
                                inFlight--;
                                noteTime(failure, loop.now().elapsedSince(sentAt));
                            }
                            settle(call, reply, failure);
                            pump();
                        });
    }

    private synchronized Duration answerWithin() {
        return slow ? SLOW_ANSWER : ANSWER;
    }

    /**
     * Whether the state service is slow: it gave no answer in time again and again, and none soon
     * since.
     */
    private void noteTime(Throwable failure, Duration took) {
        if (failure == null) {
            unanswered = 0;
            slow &= took.multipliedBy(2).compareTo(ANSWER) > 0;
        } else if (!(failure instanceof Http.NotSent) && took.compareTo(ANSWER) >= 0) {
            slow |= ++unanswered >= SLOW_AFTER;
        }
    }

    private void settle(Call call, Http.Reply reply, Throwable failure) {
        if (failure != null) {
            noteFailure(failure.getMessage());
            Outcome outcome =
                    failure instanceof Http.NotSent ? Outcome.REJECTED : Outcome.INDETERMINATE;
            call.answer()
                    .completeExceptionally(
                            new KeyValueStoreException(outcome, failure.getMessage()));
            return;
        }
        try {
            Http.Reply checked = check(reply);
            noteSuccess();
            call.answer().complete(checked);
        } catch (KeyValueStoreException refused) {
            if (reply.status() == 503) {
                noteFailure(refused.getMessage());
            } else if (reply.status() == 429) {
                slowDown(call.changes() > 0);
            }
            call.answer().completeExceptionally(refused);
        }
    }

    private synchronized void noteFailure(String why) {
        if (failedAt == null) {
            LOG.info("the state service at {} does not serve us: {}; trying on", address, why);
        }
        failedAt = loop.now();
    }

    /**
     * Which of the two limits refused is not said; a call with changes is mostly refused for these,
     * of which there are fewer. All nodes share the limits, and each alone would keep to them.
     */
    private synchronized void slowDown(boolean withChanges) {
        MonotonicTime now = loop.now();
        boolean leads = recordsAt != null && now.elapsedSince(recordsAt).compareTo(LEADS_FOR) < 0;
        (withChanges ? changes : requests).refused(leads ? LEADER_KEEPS : KEEP, now);
    }

    private synchronized void noteSuccess() {
        if (failedAt != null) {
            LOG.info("the state service serves us again");
        }
        failedAt = null;
    }

    private static Http.Reply check(Http.Reply reply) {
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

    private static Entry entry(Fields item) throws Malformed {
        return new Entry(
                item.text("key"), item.fields("v").map(), new Revision(item.count("stamp")));
    }

    private static Fields body(Http.Reply reply) {
        return read(() -> Fields.decode(reply.body()));
    }

    private interface Reading<T> {
        T get() throws Malformed;
    }

    private static <T> T read(Reading<T> reading) {
        try {
            return reading.get();
        } catch (Malformed broken) {
            throw new KeyValueStoreException(
                    Outcome.INDETERMINATE, "the answer makes no sense: " + broken.getMessage());
        }
    }
}
