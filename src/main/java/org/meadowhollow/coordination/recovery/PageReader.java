package org.meadowhollow.coordination.recovery;

import java.util.List;
import java.util.function.Consumer;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/** Reads all records under a key prefix, page by page. Guarded by the leader's lock. */
final class PageReader {
    private final RecoveryContext context;
    private int recordCount;

    PageReader(RecoveryContext context) {
        this.context = context;
    }

    /** The number of records read so far. */
    int recordCount() {
        return recordCount;
    }

    /**
     * Reads all records under a prefix. A request for a page that fails is repeated until the
     * leadership ends.
     *
     * @param onPage receives the entries of each page, under the leader's lock
     * @param onComplete receives the revision of the first page, from which changes must be watched
     */
    void readAll(
            String prefix,
            Consumer<List<KeyValueStore.Entry>> onPage,
            Consumer<Revision> onComplete) {
        new Listing(prefix, onPage, onComplete).readAfter(null, null);
    }

    /** One read of all records under a prefix. */
    private final class Listing {
        private final String prefix;
        private final Consumer<List<KeyValueStore.Entry>> onPage;
        private final Consumer<Revision> onComplete;

        Listing(
                String prefix,
                Consumer<List<KeyValueStore.Entry>> onPage,
                Consumer<Revision> onComplete) {
            this.prefix = prefix;
            this.onPage = onPage;
            this.onComplete = onComplete;
        }

        // The chain handles success and failure itself; a failed read is repeated.
        @SuppressWarnings("FutureReturnValueIgnored")
        void readAfter(String lastKey, Revision firstRevision) {
            context.store()
                    .list(prefix, lastKey, RequestPriority.PLACEMENT)
                    .whenComplete(
                            (page, failure) -> {
                                synchronized (context.lock()) {
                                    if (context.listener().isClosed()) {
                                        return;
                                    }
                                    if (failure != null) {
                                        context.loop()
                                                .schedule(
                                                        StateRecovery.RETRY_DELAY,
                                                        () -> readAfter(lastKey, firstRevision));
                                        return;
                                    }
                                    applyPage(page, firstRevision);
                                }
                            });
        }

        private void applyPage(KeyValueStore.Page page, Revision firstRevision) {
            recordCount += page.entries().size();
            context.loop().runStep(EventLoopStep.RECOVERY, () -> onPage.accept(page.entries()));
            context.listener().onRecoveryProgress();
            Revision watchFrom = firstRevision == null ? page.revision() : firstRevision;
            if (page.hasMore()) {
                String lastKey = page.entries().get(page.entries().size() - 1).key();
                readAfter(lastKey, watchFrom);
            } else {
                onComplete.accept(watchFrom);
            }
        }
    }
}
