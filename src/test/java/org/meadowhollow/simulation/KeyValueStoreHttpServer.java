package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;
import org.meadowhollow.protocol.keyvalue.EncodedStoreReplies;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.Transaction;

/** Serves the fake key-value store over the HTTP interface that the protocol defines. */
final class KeyValueStoreHttpServer implements Http.RequestHandler {
    private static final String KEY_PATH = "/kv/";
    private static final String LEASE_PATH = "/grants/";
    private static final String RENEW_SUFFIX = "/renew";

    private static final int ENCODING_SEED = 11;

    private final KeyValueStore store;
    private final Runnable onChange;
    private final RandomEncoding encoding =
            new RandomEncoding(new Random(ENCODING_SEED), EncodedStoreReplies.VALUE);

    /**
     * @param onChange called after each commit, and after each renewal or revocation of a lease
     */
    KeyValueStoreHttpServer(KeyValueStore store, Runnable onChange) {
        this.store = store;
        this.onChange = onChange;
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        try {
            return route(request)
                    .handle((reply, failure) -> failure == null ? reply : errorReply(failure));
        } catch (MalformedMessageException | NumberFormatException malformed) {
            return CompletableFuture.completedFuture(
                    Http.Reply.error(400, "outside the protocol: " + malformed));
        }
    }

    private static Http.Reply errorReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        Outcome outcome =
                cause instanceof KeyValueStoreException storeFailure
                        ? storeFailure.outcome()
                        : Outcome.INDETERMINATE;
        return switch (outcome) {
            case LEASE_EXPIRED -> Http.Reply.error(400, "no such lease");
            case REJECTED -> Http.Reply.error(503, "out");
            default -> Http.Reply.error(500, "failed");
        };
    }

    private CompletableFuture<Http.Reply> route(Http.Request request)
            throws MalformedMessageException {
        String path = request.path();
        if (path.startsWith(KEY_PATH)) {
            return get(path.substring(KEY_PATH.length()));
        }
        if (path.startsWith(LEASE_PATH)) {
            return renewOrRevoke(path);
        }
        return switch (path) {
            case "/kv" -> list(request);
            case "/changes" -> watch(request);
            case "/multi" -> commit(request);
            case "/grants" -> grantLease(request);
            default -> throw new MalformedMessageException("no such path: " + path);
        };
    }

    private CompletableFuture<Http.Reply> get(String key) {
        return store.get(key, RequestPriority.USER)
                .thenApply(
                        found ->
                                found.map(entry -> reply(200, EncodedStoreReplies.fieldsOf(entry)))
                                        .orElseGet(() -> reply(404, MessageReader.mapOf())));
    }

    private CompletableFuture<Http.Reply> renewOrRevoke(String path) {
        boolean renews = path.endsWith(RENEW_SUFFIX);
        int end = path.length() - (renews ? RENEW_SUFFIX.length() : 0);
        LeaseId lease =
                new LeaseId(Long.parseUnsignedLong(path.substring(LEASE_PATH.length(), end)));
        return (renews ? store.renewLease(lease) : store.revokeLease(lease))
                .handle(
                        (done, failure) ->
                                reply(failure == null ? 200 : 404, MessageReader.mapOf()))
                .whenComplete((reply, none) -> onChange.run());
    }

    private CompletableFuture<Http.Reply> list(Http.Request request) {
        return store.list(
                        queryParameter(request, "prefix"),
                        queryParameter(request, "after"),
                        Integer.parseInt(queryParameter(request, "most")),
                        RequestPriority.USER)
                .thenApply(page -> reply(200, EncodedStoreReplies.fieldsOf(page)));
    }

    private CompletableFuture<Http.Reply> watch(Http.Request request) {
        return store.watch(
                        queryParameter(request, "prefix"),
                        new Revision(Long.parseUnsignedLong(queryParameter(request, "after"))),
                        Duration.ofMillis(Long.parseLong(queryParameter(request, "blockMs"))))
                .thenApply(batch -> reply(200, EncodedStoreReplies.fieldsOf(batch)));
    }

    private CompletableFuture<Http.Reply> commit(Http.Request request)
            throws MalformedMessageException {
        Transaction transaction = transaction(MessageReader.decode(request.body()));
        return store.commit(transaction, RequestPriority.USER)
                .thenApply(
                        result -> {
                            onChange.run();
                            return reply(
                                    result.isApplied() ? 200 : 409,
                                    EncodedStoreReplies.fieldsOf(result));
                        });
    }

    private CompletableFuture<Http.Reply> grantLease(Http.Request request)
            throws MalformedMessageException {
        long ttlMillis = MessageReader.decode(request.body()).nonNegativeLong("ttlMs");
        return store.grantLease(Duration.ofMillis(ttlMillis))
                .thenApply(lease -> reply(200, EncodedStoreReplies.fieldsOf(lease)));
    }

    private static String queryParameter(Http.Request request, String parameter) {
        List<String> values = request.query().get(parameter);
        return values == null ? null : values.get(0);
    }

    /** Encodes a response in a way that the protocol allows. */
    private Http.Reply reply(int status, Map<String, Object> fields) {
        return new Http.Reply(status, encoding.encode(fields), 0);
    }

    private static Transaction transaction(MessageReader body) throws MalformedMessageException {
        Transaction transaction = new Transaction();
        for (MessageReader guard : body.nestedList("guards")) {
            transaction.requireRevision(
                    guard.string("key"), new Revision(guard.unsignedLong("stamp")));
        }
        for (MessageReader write : body.nestedList("writes")) {
            if (write.has("remove")) {
                transaction.delete(write.string("remove"));
            } else if (write.has("tether")) {
                transaction.put(
                        write.string("set"),
                        write.nested("v").map(),
                        new LeaseId(write.unsignedLong("tether")));
            } else {
                transaction.put(write.string("set"), write.nested("v").map());
            }
        }
        return transaction;
    }
}
