package org.meadowhollow.coordination;

import java.util.List;
import org.meadowhollow.bookkeeping.Order;
import org.meadowhollow.bookkeeping.Term;

/** What a worker's report is answered: orders under a token, or another member to report to. */
public sealed interface Answer {
    record Orders(Term token, List<Order> orders) implements Answer {}

    /** {@code member} is null when the leader is not known. */
    record Elsewhere(String member) implements Answer {}
}
