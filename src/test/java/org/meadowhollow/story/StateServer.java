package org.meadowhollow.story;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.model.Revision;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.Transaction;

/** The state service as the protocol has it, over HTTP; what it keeps is the stories' store. */
final class StateServer implements Http.Service {
    private final KeyValueStore store;
    private final Runnable changed;

    /**
     * @param changed is told after each request that may have changed something
     */
    StateServer(KeyValueStore store, Runnable changed) {
        this.store = store;
        this.changed = changed;
    }

    @Override
    public CompletableFuture<Http.Reply> answer(Http.Request request) {
        try {
            return route(request)
                    .handle((reply, failure) -> failure == null ? reply : refusal(failure));
        } catch (Malformed | NumberFormatException broken) {
            return CompletableFuture.completedFuture(
                    Http.Reply.error(400, "outside the protocol: " + broken));
        }
    }

    private static Http.Reply refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        Outcome outcome =
                cause instanceof KeyValueStoreException refused
                        ? refused.outcome()
                        : Outcome.INDETERMINATE;
        return switch (outcome) {
            case LEASE_EXPIRED -> Http.Reply.error(400, "no such lease");
            case REJECTED -> Http.Reply.error(503, "out");
            default -> Http.Reply.error(500, "failed");
        };
    }

    private CompletableFuture<Http.Reply> route(Http.Request request) throws Malformed {
        String path = request.path();
        if (path.startsWith("/kv/")) {
            return store.get(path.substring("/kv/".length()), RequestPriority.USER)
                    .thenApply(
                            found ->
                                    found.map(entry -> Http.Reply.of(200, entry(entry)))
                                            .orElse(Http.Reply.of(404, Fields.of())));
        }
        if (path.startsWith("/grants/")) {
            boolean renews = path.endsWith("/renew");
            LeaseId lease =
                    new LeaseId(
                            Long.parseLong(
                                    path.substring(
                                            "/grants/".length(),
                                            path.length() - (renews ? "/renew".length() : 0))));
            return (renews ? store.renewLease(lease) : store.revokeLease(lease))
                    .handle(
                            (done, failure) ->
                                    Http.Reply.of(failure == null ? 200 : 404, Fields.of()))
                    .whenComplete((reply, none) -> changed.run());
        }
        return switch (path) {
            case "/kv" ->
                    store.list(
                                    one(request, "prefix"),
                                    one(request, "after"),
                                    Integer.parseInt(one(request, "most")),
                                    RequestPriority.USER)
                            .thenApply(
                                    page ->
                                            Http.Reply.of(
                                                    200,
                                                    Fields.of(
                                                            "items",
                                                            page.entries().stream()
                                                                    .map(StateServer::entry)
                                                                    .toList(),
                                                            "truncated",
                                                            page.hasMore(),
                                                            "ledgerRev",
                                                            page.revision().value())));
            case "/changes" ->
                    store.watch(
                                    one(request, "prefix"),
                                    new Revision(Long.parseLong(one(request, "after"))),
                                    Duration.ofMillis(Long.parseLong(one(request, "blockMs"))))
                            .thenApply(StateServer::changes);
            case "/multi" ->
                    store.commit(transaction(Fields.decode(request.body())), RequestPriority.USER)
                            .thenApply(
                                    commitResult -> {
                                        changed.run();
                                        return Http.Reply.of(
                                                commitResult.isApplied() ? 200 : 409,
                                                Fields.of(
                                                        "ledgerRev",
                                                        commitResult.revision().value(),
                                                        "failed",
                                                        commitResult.conflictingKeys()));
                                    });
            case "/grants" ->
                    store.grantLease(
                                    Duration.ofMillis(Fields.decode(request.body()).count("ttlMs")))
                            .thenApply(
                                    lease ->
                                            Http.Reply.of(200, Fields.of("tether", lease.value())));
            default -> throw new Malformed("no such path: " + path);
        };
    }

    private static String one(Http.Request request, String parameter) {
        List<String> values = request.query().get(parameter);
        return values == null ? null : values.get(0);
    }

    private static Map<String, Object> entry(KeyValueStore.Entry entry) {
        return Fields.of("key", entry.key(), "v", entry.value(), "stamp", entry.revision().value());
    }

    private static Http.Reply changes(KeyValueStore.ChangeBatch changeBatch) {
        return Http.Reply.of(
                200,
                Fields.of(
                        "ledgerRev",
                        changeBatch.revision().value(),
                        "log",
                        changeBatch.changes().stream()
                                .map(
                                        change ->
                                                change.value() == null
                                                        ? Fields.of(
                                                                "remove",
                                                                change.key(),
                                                                "stamp",
                                                                change.revision().value())
                                                        : Fields.of(
                                                                "set",
                                                                change.key(),
                                                                "v",
                                                                change.value(),
                                                                "stamp",
                                                                change.revision().value()))
                                .toList()));
    }

    private static Transaction transaction(Fields body) throws Malformed {
        Transaction transaction = new Transaction();
        for (Fields guard : body.list("guards")) {
            transaction.requireRevision(guard.text("key"), new Revision(guard.count("stamp")));
        }
        for (Fields write : body.list("writes")) {
            if (write.has("remove")) {
                transaction.delete(write.text("remove"));
            } else if (write.has("tether")) {
                transaction.put(
                        write.text("set"),
                        write.fields("v").map(),
                        new LeaseId(write.count("tether")));
            } else {
                transaction.put(write.text("set"), write.fields("v").map());
            }
        }
        return transaction;
    }
}
