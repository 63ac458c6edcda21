package org.meadowhollow.coordination;

import org.meadowhollow.bookkeeping.Term;

/** The other controllers. What they are told saves time and proves nothing. */
public interface Peers {
    void announce(String leader, Term term);
}
