package org.meadowhollow.protocol.keyvalue;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.keyvalue.RequestQueue.QueuedRequest;
import org.meadowhollow.storage.IndeterminateOutcomeException;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseExpiredException;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.Transaction;

/**
 * The HTTP client of the key-value store. {@link RequestQueue} decides when a request is sent,
 * {@link KeyValueCodec} encodes and decodes the messages, and {@link StoreHealth} sets the response
 * timeout. Thread-safe; futures complete on the thread of the HTTP client.
 */
public final class KeyValueStoreClient implements KeyValueStore {
    private final Http.Client http;
    private final String address;
    private final EventLoop loop;
    private final RequestQueue queue;
    private final StoreHealth health;

    /**
     * @param requestLimiter limits the requests per second, watches included
     * @param writeLimiter limits the keys written per second
     */
    public KeyValueStoreClient(
            Http.Client http,
            String address,
            EventLoop loop,
            AdaptiveRateLimiter requestLimiter,
            AdaptiveRateLimiter writeLimiter) {
        this.http = http;
        this.address = address;
        this.loop = loop;
        this.health = new StoreHealth(address, loop);
        this.queue = new RequestQueue(loop, requestLimiter, writeLimiter, this::send);
    }

    @Override
    public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
        return queue.enqueue(StoreRequest.get(KeyValueCodec.entryPath(key), requestPriority))
                .thenApply(KeyValueCodec::decodeEntry);
    }

    @Override
    public CompletableFuture<Page> list(
            String prefix, String after, int maxEntries, RequestPriority requestPriority) {
        String path = KeyValueCodec.listPath(prefix, after, maxEntries);
        return queue.enqueue(StoreRequest.get(path, requestPriority))
                .thenApply(KeyValueCodec::decodePage);
    }

    @Override
    public CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority) {
        StoreRequest request =
                new StoreRequest(
                        "POST",
                        KeyValueCodec.TRANSACTION_PATH,
                        KeyValueCodec.encodeTransaction(transaction),
                        transaction.writes().size(),
                        requestPriority);
        return queue.enqueue(request).thenApply(KeyValueCodec::decodeCommitResult);
    }

    @Override
    public CompletableFuture<LeaseId> grantLease(Duration ttl) {
        return queue.enqueue(
                        leaseRequest(
                                "POST",
                                KeyValueCodec.LEASES_PATH,
                                KeyValueCodec.encodeLeaseGrant(ttl)))
                .thenApply(KeyValueCodec::decodeLease);
    }

    @Override
    public CompletableFuture<Void> renewLease(LeaseId lease) {
        return queue.enqueue(
                        leaseRequest(
                                "POST",
                                KeyValueCodec.renewalPath(lease),
                                KeyValueCodec.encodeLeaseRenewal()))
                .thenAccept(KeyValueStoreClient::requireLeaseExists);
    }

    @Override
    public CompletableFuture<Void> revokeLease(LeaseId lease) {
        return queue.enqueue(leaseRequest("DELETE", KeyValueCodec.leasePath(lease), null))
                .thenAccept(reply -> {});
    }

    private static StoreRequest leaseRequest(String method, String path, byte[] body) {
        return new StoreRequest(method, path, body, 0, RequestPriority.LEASE);
    }

    private static void requireLeaseExists(Http.Reply reply) {
        if (reply.status() == 404) {
            throw new LeaseExpiredException("the lease has expired");
        }
    }

    /**
     * Sends a watch without queueing it. A watch is a long poll, so its timeout includes the
     * requested wait.
     */
    @Override
    public CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration maxWait) {
        String path = KeyValueCodec.changesPath(prefix, after, maxWait);
        queue.chargeRequest();
        return http.send(address, "GET", path, null, maxWait.plus(health.responseTimeout()))
                .handle(
                        (reply, failure) -> {
                            if (failure != null) {
                                throw new IndeterminateOutcomeException("no answer to the watch");
                            }
                            return KeyValueCodec.decodeChanges(KeyValueCodec.requireServed(reply));
                        });
    }

    @Override
    public boolean seemsUnavailable() {
        return health.seemsUnavailable();
    }

    private void send(QueuedRequest queuedRequest) {
        StoreRequest request = queuedRequest.request();
        MonotonicTime sentAt = loop.now();
        CompletableFuture<Http.Reply> unusedReply =
                http.send(
                                address,
                                request.method(),
                                request.path(),
                                request.body(),
                                health.responseTimeout())
                        .whenComplete(
                                (reply, failure) -> {
                                    queue.requestFinished();
                                    health.recordLatency(failure, loop.now().elapsedSince(sentAt));
                                    complete(queuedRequest, reply, failure);
                                    queue.dispatch();
                                });
    }

    private void complete(QueuedRequest queuedRequest, Http.Reply reply, Throwable failure) {
        if (failure != null) {
            health.recordFailure(failure.getMessage());
            Outcome outcome =
                    failure instanceof Http.RequestNotSentException
                            ? Outcome.REJECTED
                            : Outcome.INDETERMINATE;
            queuedRequest
                    .reply()
                    .completeExceptionally(
                            KeyValueStoreException.of(outcome, failure.getMessage()));
            return;
        }
        try {
            Http.Reply served = KeyValueCodec.requireServed(reply);
            health.recordSuccess();
            queuedRequest.reply().complete(served);
        } catch (KeyValueStoreException refused) {
            if (reply.status() == 503) {
                health.recordFailure(refused.getMessage());
            } else if (reply.status() == 429) {
                queue.recordRefusal(queuedRequest.request());
            }
            queuedRequest.reply().completeExceptionally(refused);
        }
    }
}
