package org.meadowhollow.coordination.api;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;
import org.meadowhollow.storage.Transaction;

/** A key-value store whose calls throw nothing, see {@link PortGuard}. */
record GuardedKeyValueStore(KeyValueStore store, PortGuard guard) implements KeyValueStore {
    @Override
    public CompletableFuture<Optional<Entry>> get(String key, RequestPriority requestPriority) {
        return guard.call("get", () -> store.get(key, requestPriority));
    }

    @Override
    public CompletableFuture<Page> list(
            String prefix, String after, int maxEntries, RequestPriority requestPriority) {
        return guard.call("list", () -> store.list(prefix, after, maxEntries, requestPriority));
    }

    @Override
    public CompletableFuture<CommitResult> commit(
            Transaction transaction, RequestPriority requestPriority) {
        return guard.call("commit", () -> store.commit(transaction, requestPriority));
    }

    @Override
    public CompletableFuture<LeaseId> grantLease(Duration timeToLive) {
        return guard.call("grantLease", () -> store.grantLease(timeToLive));
    }

    @Override
    public CompletableFuture<Void> renewLease(LeaseId lease) {
        return guard.call("renewLease", () -> store.renewLease(lease));
    }

    @Override
    public CompletableFuture<Void> revokeLease(LeaseId lease) {
        return guard.call("revokeLease", () -> store.revokeLease(lease));
    }

    @Override
    public CompletableFuture<ChangeBatch> watch(String prefix, Revision after, Duration maxWait) {
        return guard.call("watch", () -> store.watch(prefix, after, maxWait));
    }

    @Override
    public boolean seemsUnavailable() {
        return store.seemsUnavailable();
    }
}
