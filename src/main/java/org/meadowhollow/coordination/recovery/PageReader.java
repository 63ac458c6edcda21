package org.meadowhollow.coordination.recovery;

import java.util.List;
import java.util.function.Consumer;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
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

        void readAfter(String lastKey, Revision firstRevision) {
            Runnable readAgain =
                    () ->
                            context.loop()
                                    .schedule(
                                            StateRecovery.RETRY_DELAY,
                                            () -> readAfter(lastKey, firstRevision));
            RepeatingSteps.handle(
                    context.loop(),
                    RepeatingStep.RECORD_READ,
                    context.store().list(prefix, lastKey, RequestPriority.PLACEMENT),
                    (page, failure) -> {
                        synchronized (context.lock()) {
                            if (context.listener().isClosed()) {
                                return;
                            }
                            if (failure == null) {
                                applyPage(page, firstRevision);
                            } else {
                                readAgain.run();
                            }
                        }
                    },
                    readAgain);
        }

        private void applyPage(KeyValueStore.Page page, Revision firstRevision) {
            context.loop().runStep(EventLoopStep.RECOVERY, () -> onPage.accept(page.entries()));
            recordCount += page.entries().size();
            context.listener().onRecoveryProgress();
            Revision watchFrom = firstRevision == null ? page.revision() : firstRevision;
            if (page.hasMore()) {
                String lastKey = page.entries().get(page.entries().size() - 1).key();
                readAfter(lastKey, watchFrom);
            } else {
                // Not repeated if it fails, since it may be half done: a leader that makes no
                // progress releases its lease, and the next one begins anew.
                context.loop()
                        .runRepeating(
                                RepeatingStep.RECORD_READ, () -> onComplete.accept(watchFrom));
            }
        }
    }
}
