package org.meadowhollow.coordination.api;

import java.util.List;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.WorkerCommand;

/** What a worker's report is answered: orders under a token, or another member to report to. */
public sealed interface HeartbeatResponse {
    record Commands(FencingToken token, List<WorkerCommand> commands)
            implements HeartbeatResponse {}

    /** {@code member} is null when the leader is not known. */
    record Redirect(String member) implements HeartbeatResponse {}
}
