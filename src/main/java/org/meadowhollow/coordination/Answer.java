package org.meadowhollow.coordination;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.WorkerCommand;

/** What a worker's report is answered: orders under a token, or another member to report to. */
public sealed interface Answer {
    record Orders(FencingToken token, List<WorkerCommand> orders) implements Answer {}

    /** {@code member} is null when the leader is not known. */
    record Elsewhere(String member) implements Answer {}
}
