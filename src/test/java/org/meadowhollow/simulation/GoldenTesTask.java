package org.meadowhollow.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.meadowhollow.protocol.Http;

/** The task of the task execution API in the golden files, created at a fixed wall-clock time. */
final class GoldenTesTask {
    /**
     * The wall-clock time at which a simulation with golden files begins, in milliseconds since the
     * epoch.
     */
    static final long START_EPOCH_MILLIS = 1_700_000_060_000L;

    static final String IDEMPOTENCY_KEY = "golden";
    static final String ID = "tes-b274ac907e9023b618e480ff70";
    static final String BODY =
            """
            {"name": "align", "description": "all that there is",
             "inputs": [{"name": "in", "description": "d", "url": "s3://bucket/in", "path": "/in", "type": "FILE",
                         "streamable": true},
                        {"path": "/text", "content": "abc", "type": "FILE"}],
             "outputs": [{"name": "out", "description": "d", "url": "s3://bucket/out", "path": "/out/*",
                          "path_prefix": "/out", "type": "DIRECTORY"}],
             "resources": {"cpu_cores": 2, "preemptible": true, "ram_gb": 4.5, "disk_gb": 10.5, "zones": ["a"],
                           "backend_parameters": {"class": "night", "priority": "urgent", "gpus": "1",
                                "machine_types": "large,small", "image_gb": "1.5", "expected_s": "12",
                                "checkpoint_s": "30", "save_s": "2", "deadline_s": "9000", "max_attempts": "3"},
                           "backend_parameters_strict": true},
             "executors": [{"image": "image", "command": ["run", "it"], "workdir": "/w", "stdin": "/i", "stdout": "/o",
                            "stderr": "/e", "env": {"A": "b"}, "ignore_error": false}],
             "volumes": ["/v"], "tags": {"night": "1"}}""";

    private GoldenTesTask() {}

    /**
     * Returns a cluster that accepted the task before it had any machine, so that the store holds
     * only the acceptance.
     */
    static SimulatedCluster clusterWithAcceptedTask() {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.loop().advanceWallClock(Duration.ofMillis(START_EPOCH_MILLIS));
        cluster.cloud().setBootTimes(Duration.ofHours(1), Duration.ZERO);
        cluster.runSeconds(12);
        Http.Reply reply =
                cluster.clients()
                        .sendTesRequest(
                                0,
                                "secret",
                                "POST",
                                "/tasks",
                                Map.of(),
                                Map.of("Idempotency-Key", IDEMPOTENCY_KEY),
                                BODY);
        assertEquals(200, reply.status(), new String(reply.body(), StandardCharsets.UTF_8));
        return cluster;
    }
}
