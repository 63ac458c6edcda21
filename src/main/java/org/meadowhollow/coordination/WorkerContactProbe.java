package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.leadership.Leadership;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.WorkerIncarnation;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Probes workers on behalf of a node that gave up its leadership because it was isolated from them,
 * until one of them answers. The node has to send probes, since workers send no heartbeats to a
 * node that does not lead. Keeps no state.
 */
final class WorkerContactProbe {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerContactProbe.class);

    /** The most workers that an isolated node probes; one answer suffices. */
    static final int MAX_WORKERS = 3;

    private static final Duration INTERVAL = Duration.ofSeconds(4);

    private final EventLoop loop;
    private final WorkerGateway workerGateway;
    private final Leadership leadership;
    private final BooleanSupplier isClosed;

    WorkerContactProbe(
            EventLoop loop,
            WorkerGateway workerGateway,
            Leadership leadership,
            BooleanSupplier isClosed) {
        this.loop = loop;
        this.workerGateway = workerGateway;
        this.leadership = leadership;
        this.isClosed = isClosed;
    }

    /** Probes the workers at these addresses, now and at intervals, while this node is isolated. */
    void probeWhileIsolated(List<String> addresses) {
        if (addresses.isEmpty() || isOver()) {
            return;
        }
        RepeatingSteps.every(
                loop,
                RepeatingStep.WORKER_CONTACT_PROBE,
                INTERVAL,
                this::isOver,
                () -> probeAll(addresses));
        probeAll(addresses);
    }

    private boolean isOver() {
        return isClosed.getAsBoolean() || !leadership.isIsolated();
    }

    private void probeAll(List<String> addresses) {
        FencingToken fencingToken = leadership.fencingToken();
        addresses.forEach(address -> probe(address, fencingToken));
    }

    private void probe(String address, FencingToken fencingToken) {
        var unusedAnswer =
                workerGateway
                        .sendCommands(address, fencingToken, new WorkerIncarnation(1), List.of())
                        .thenAccept(
                                heartbeat -> {
                                    LOG.info(
                                            "worker reachable again machine={}",
                                            heartbeat.machineId());
                                    leadership.restoreWorkerContact();
                                });
    }
}
