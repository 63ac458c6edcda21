package org.meadowhollow.story;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.bookkeeping.LeaseId;
import org.meadowhollow.bookkeeping.StateException;
import org.meadowhollow.bookkeeping.StateException.Outcome;
import org.meadowhollow.bookkeeping.StateStore;
import org.meadowhollow.bookkeeping.StateStore.Urgency;
import org.meadowhollow.bookkeeping.Transaction;
import org.meadowhollow.bookkeeping.Version;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;

/** The state service as the protocol has it, over HTTP; what it keeps is the stories' store. */
final class StateServer implements Http.Service {
    private final StateStore store;
    private final Runnable changed;

    /**
     * @param changed is told after each request that may have changed something
     */
    StateServer(StateStore store, Runnable changed) {
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
                cause instanceof StateException refused ? refused.outcome() : Outcome.UNKNOWN;
        return switch (outcome) {
            case NO_SUCH_LEASE -> Http.Reply.error(400, "no such lease");
            case REFUSED -> Http.Reply.error(503, "out");
            default -> Http.Reply.error(500, "failed");
        };
    }

    private CompletableFuture<Http.Reply> route(Http.Request request) throws Malformed {
        String path = request.path();
        if (path.startsWith("/kv/")) {
            return store.get(path.substring("/kv/".length()), Urgency.USER)
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
            return (renews ? store.renew(lease) : store.revoke(lease))
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
                                    Urgency.USER)
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
                                                            page.more(),
                                                            "ledgerRev",
                                                            page.revision().value())));
            case "/changes" ->
                    store.watch(
                                    one(request, "prefix"),
                                    new Version(Long.parseLong(one(request, "after"))),
                                    Duration.ofMillis(Long.parseLong(one(request, "blockMs"))))
                            .thenApply(StateServer::changes);
            case "/multi" ->
                    store.commit(transaction(Fields.decode(request.body())), Urgency.USER)
                            .thenApply(
                                    commit -> {
                                        changed.run();
                                        return Http.Reply.of(
                                                commit.applied() ? 200 : 409,
                                                Fields.of(
                                                        "ledgerRev",
                                                        commit.revision().value(),
                                                        "failed",
                                                        commit.failed()));
                                    });
            case "/grants" ->
                    store.grant(Duration.ofMillis(Fields.decode(request.body()).count("ttlMs")))
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

    private static Map<String, Object> entry(StateStore.Entry entry) {
        return Fields.of("key", entry.key(), "v", entry.value(), "stamp", entry.version().value());
    }

    private static Http.Reply changes(StateStore.Changes changes) {
        return Http.Reply.of(
                200,
                Fields.of(
                        "ledgerRev",
                        changes.revision().value(),
                        "log",
                        changes.changes().stream()
                                .map(
                                        change ->
                                                change.value() == null
                                                        ? Fields.of(
                                                                "remove",
                                                                change.key(),
                                                                "stamp",
                                                                change.version().value())
                                                        : Fields.of(
                                                                "set",
                                                                change.key(),
                                                                "v",
                                                                change.value(),
                                                                "stamp",
                                                                change.version().value()))
                                .toList()));
    }

    private static Transaction transaction(Fields body) throws Malformed {
        Transaction transaction = new Transaction();
        for (Fields guard : body.list("guards")) {
            transaction.guard(guard.text("key"), new Version(guard.count("stamp")));
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
