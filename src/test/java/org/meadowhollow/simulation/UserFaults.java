package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.meadowhollow.model.JobSpec;

/** Requests that users send at an unfavourable moment, and unusual requests. */
final class UserFaults {
    private static final int MAX_CANCELLED_JOBS = 4;
    private static final int UNUSUAL_REQUEST_COUNT = 8;

    private UserFaults() {}

    static Runnable cancelDuringHang(FaultTarget target) {
        SimulatedUsers users = target.cluster().users();
        List<JobSpec> running = new ArrayList<>(users.runningJobs());
        Collections.shuffle(running, target.random());
        users.cancelDuringHang(
                running.subList(0, Math.min(MAX_CANCELLED_JOBS, running.size())),
                Duration.ofSeconds(
                        target.random().nextBoolean() ? 0 : 5 + target.random().nextInt(40)));
        return FaultTarget.noEndAction();
    }

    static Runnable cancelAtCompletion(FaultTarget target) {
        SimulatedUsers users = target.cluster().users();
        users.cancelAtCompletion(
                0.3 + 0.7 * target.random().nextDouble(), target.random().nextLong());
        return () -> users.cancelAtCompletion(0, 0);
    }

    static Runnable sendUnusualRequests(FaultTarget target) {
        for (int request = 0; request < UNUSUAL_REQUEST_COUNT; request++) {
            target.cluster().users().sendUnusualRequest(target.random());
            target.cluster().run(Duration.ofMillis(250L * target.random().nextInt(4)));
        }
        return FaultTarget.noEndAction();
    }

    static Runnable pollAllAfterAnswers(FaultTarget target) {
        target.cluster().users().pollAllAfterAnswers(true);
        return () -> target.cluster().users().pollAllAfterAnswers(false);
    }
}
