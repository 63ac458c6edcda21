package org.meadowhollow.coordination;

import java.util.concurrent.CompletableFuture;
import org.meadowhollow.bookkeeping.Term;

/** The other controllers. What they are told saves time and proves nothing. */
public interface Peers {
    void announce(String leader, Term term);

    /** Whether the state service serves any of the others. */
    CompletableFuture<Boolean> anyServed();

    /** How another controller takes a question: REFUSES if it alone does, while some other one answers. */
    enum Sign { ANSWERS, REFUSES, SILENT }

    CompletableFuture<Sign> signOf(String member);
}
