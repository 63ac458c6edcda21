package org.meadowhollow.coordination.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.storage.RecordDigests;

/** The other controllers. What they are told saves time and proves nothing. */
public interface Peers {
    void announce(String leader, FencingToken fencingToken);

    /** Whether the state service serves any of the others. */
    CompletableFuture<Boolean> anyServed();

    /**
     * How another controller takes a question: REFUSES if it alone does, while some other one
     * answers; DEAF if it answers, leads, and misses the reports of many workers.
     */
    enum Sign {
        ANSWERS,
        DEAF,
        REFUSES,
        SILENT
    }

    CompletableFuture<Sign> signOf(String member);

    /**
     * What each of the others says of machines: which have reported to it within a time before its
     * answer.
     */
    CompletableFuture<List<Testimony>> hearing(List<MachineId> machines, Duration within);

    /** An answer was not understood: it is damaged, or of another version. */
    final class Unreadable extends RuntimeException {
        private static final long serialVersionUID = 1;

        public Unreadable(String why) {
            super(why);
        }
    }

    /**
     * What a leader's risk tables have come to know; empty if there is no answer or the node does
     * not lead. Fails with {@link Unreadable}.
     */
    CompletableFuture<Optional<TableDelta>> tables(String leader, TableQuestion question);

    /**
     * The digests of a leader's records; empty if there is no answer or the node does not lead.
     * Fails with {@link Unreadable}.
     */
    CompletableFuture<Optional<RecordDigests>> digests(String leader);
}
