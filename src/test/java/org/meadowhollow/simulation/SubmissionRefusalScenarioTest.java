package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.meadowhollow.coordination.admission.AdmissionService.Phase;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.protocol.jobs.SubmissionCodec;

/** Which submissions are refused, and that a repeated one never is. */
class SubmissionRefusalScenarioTest extends ClusterTestBase {
    private static final int LONG_NAME = 300;
    private static final int NAME_LARGER_THAN_A_RECORD = 20_000;

    private int submitWith(int number, String field, Object value) {
        JobSpec spec = arrayJob(number, 1);
        cluster.addJob(spec, SHORT_RUNTIME);
        cluster.historyChecker().recordSubmission(spec.id());
        Map<String, Object> body = new HashMap<>(SubmissionCodec.encode(spec));
        body.put(field, value);
        return cluster.users().postSubmission(1, body);
    }

    @ParameterizedTest
    @CsvSource({"herd, 1", "bundle, 2"})
    void jobWithALongNameRuns(String field, int number) {
        assertEquals(201, submitWith(number, field, "n".repeat(LONG_NAME)));
        cluster.runSeconds(25);
        assertEquals(Phase.DONE, phaseOf(arrayJob(number, 1)));
    }

    @Test
    void jobWithADistantDeadlineRuns() {
        assertEquals(201, submitWith(3, "dueS", 1e15));
        cluster.runSeconds(25);
        assertEquals(Phase.DONE, phaseOf(arrayJob(3, 1)));
    }

    @Test
    void jobRepeatedInAnotherEncodingIsTheSameJobAtEveryNodeAndAfterItsEnd() {
        JobSpec spec = arrayJob(9, 2);
        cluster.addJob(spec, SHORT_RUNTIME);
        cluster.historyChecker().recordSubmission(spec.id());
        // Both requests are under way at once.
        var first = cluster.users().resubmitAsync(2, spec);
        assertEquals(200, cluster.users().postSubmission(0, SubmissionCodec.encode(spec)));
        assertTrue(first.join().isPresent());
        for (int round = 0; round < 2; round++) {
            for (int node = 0; node < 3; node++) {
                assertEquals(
                        200, cluster.users().postSubmission(node, SubmissionCodec.encode(spec)));
            }
            cluster.runSeconds(25);
        }
        assertEquals(Phase.DONE, phaseOf(spec));
        assertEquals(2, cluster.startCount(), "each task is started once");
    }

    @Test
    void jobThatCanNeverRunIsRefusedAsSuchAndNotAsMalformed() {
        assertEquals(422, submitWith(4, "crew", "n".repeat(LONG_NAME)));
        assertEquals(422, submitWith(5, "cores", 1e13));
        assertEquals(422, submitWith(6, "memGb", 1e300));
        assertEquals(422, submitWith(7, "herd", "n".repeat(NAME_LARGER_THAN_A_RECORD)));
        assertEquals(422, submitWith(8, "bundle", "\u0001".repeat(LONG_NAME * 10)));
        assertEquals(0, cluster.store().recordCount("job/"), "no refused job is stored");
    }
}
