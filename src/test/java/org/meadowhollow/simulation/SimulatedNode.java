package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.EventLoopStep;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.reservation.ReservationApi;
import org.meadowhollow.protocol.tes.BearerTokens;
import org.meadowhollow.protocol.tes.TesApi;
import org.meadowhollow.storage.KeyValueStore;

/**
 * One controller process with its connections, and the faults that affect this node alone. A
 * restarted process has a new {@link ControllerNode}; the faults of its machine and its network
 * stay. Not thread-safe: everything runs on the virtual event loop.
 */
final class SimulatedNode {
    private final SimulatedCluster cluster;
    private final int index;
    private final String name;
    private FakeStoreConnection storeConnection;

    /** Null while no process runs. */
    private ControllerNode controller;

    private AdmissionService admissionService;
    private TesApi tesApi;
    private ReservationApi reservationApi;

    /** The zones whose workers can neither reach this node nor be reached by it. */
    private final Set<String> cutZones = new HashSet<>();

    /** Work that became due while the process was paused; null if it is not paused. */
    private List<Runnable> deferredWork;

    private Duration timerDelay = Duration.ZERO;
    private boolean losesHeartbeats;
    private boolean refusesPeers;
    private boolean isPartitioned;
    private boolean isPoweredOff;

    SimulatedNode(SimulatedCluster cluster, int index) {
        this.cluster = cluster;
        this.index = index;
        this.name = "n" + index;
        start();
    }

    /** Starts a process, which has no state of earlier ones. */
    void start() {
        isPoweredOff = false;
        storeConnection =
                cluster.store()
                        .connect()
                        .deliverResponsesOn(this::runWhenResumed)
                        .duplicateRequestsTo(cluster.network()::maybeDuplicate);
        CallFaults faults = cluster.callFaults();
        KeyValueStore store = faults.wrap(KeyValueStore.class, storeConnection);
        MachineTypeCatalog catalog = new MachineTypeCatalog();
        DeploymentSettings settings = cluster.deploymentSettings(name);
        EventLoop nodeLoop = new NodeEventLoop();
        controller =
                new ControllerNode(
                        nodeLoop,
                        store,
                        faults.wrap(WorkerGateway.class, new SimulatedWorkerGateway(cluster, this)),
                        faults.wrap(CloudProvider.class, cluster.cloud()),
                        faults.wrap(PeerGateway.class, new SimulatedPeerGateway(cluster, this)),
                        settings,
                        catalog,
                        cluster.jobEventListeners(),
                        cluster.reservationSettings(),
                        cluster.standbySettings(),
                        new Random(cluster.nextSeed()));
        admissionService =
                new AdmissionService(
                        store,
                        nodeLoop,
                        catalog,
                        settings,
                        cluster.jobEventListeners(),
                        controller::liveJobStatus);
        tesApi = newTesApi(nodeLoop, settings);
        reservationApi = newReservationApi(nodeLoop, settings, catalog);
        controller.start();
    }

    private TesApi newTesApi(EventLoop nodeLoop, DeploymentSettings settings) {
        return new TesApi(
                admissionService,
                storeConnection,
                nodeLoop,
                settings,
                tesTokens(),
                cluster.traces(),
                new Random(cluster.nextSeed()));
    }

    private ReservationApi newReservationApi(
            EventLoop nodeLoop, DeploymentSettings settings, MachineTypeCatalog catalog) {
        ReservationService service =
                new ReservationService(
                        storeConnection,
                        nodeLoop,
                        catalog,
                        settings,
                        cluster.reservationSettings().machineLimits());
        return new ReservationApi(service, reservationTokens());
    }

    private static BearerTokens tesTokens() {
        // The hashes are the SHA-256 of "secret", "other secret" and "reader".
        return tokens(
                "team=2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
                "other=bd4106123e659e259c401119d0c7ef0a221df306a5a414b6fb6a579499962d26",
                "*=3d0941964aa3ebdcb00ccef58b1bb399f9f898465e9886d5aec7f31090a0fb30");
    }

    private static BearerTokens reservationTokens() {
        // The hashes are the SHA-256 of "secret" and "reader".
        return tokens(
                "operator=2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
                "*=3d0941964aa3ebdcb00ccef58b1bb399f9f898465e9886d5aec7f31090a0fb30");
    }

    private static BearerTokens tokens(String... lines) {
        try {
            return BearerTokens.parse(List.of(lines));
        } catch (MalformedMessageException impossible) {
            throw new AssertionError(impossible);
        }
    }

    /** Ends the process without an orderly shutdown. */
    void crash() {
        storeConnection.close();
        controller.close();
        controller = null;
    }

    /**
     * Cuts the power of the machine: the process ends, and connections to it time out instead of
     * being refused.
     */
    void losePower() {
        isPoweredOff = true;
        if (isRunning()) {
            crash();
        }
    }

    /** Pauses the process: it executes nothing, while its clock goes on. */
    void pause() {
        deferredWork = new ArrayList<>();
    }

    void resume() {
        List<Runnable> work = deferredWork;
        deferredWork = null;
        if (work != null) {
            work.forEach(Runnable::run);
        }
    }

    /** Runs work now or, if the process is paused, once it is resumed. */
    void runWhenResumed(Runnable work) {
        if (deferredWork == null) {
            work.run();
        } else {
            deferredWork.add(work);
        }
    }

    // ---- state ----

    int index() {
        return index;
    }

    String name() {
        return name;
    }

    boolean isRunning() {
        return controller != null;
    }

    boolean isPaused() {
        return deferredWork != null;
    }

    /** Returns whether a process runs and is not paused. */
    boolean isResponsive() {
        return isRunning() && !isPaused();
    }

    boolean isPoweredOff() {
        return isPoweredOff;
    }

    /** Returns the running controller, or null if there is none. */
    ControllerNode controller() {
        return controller;
    }

    FakeStoreConnection storeConnection() {
        return storeConnection;
    }

    AdmissionService admissionService() {
        return admissionService;
    }

    TesApi tesApi() {
        return tesApi;
    }

    ReservationApi reservationApi() {
        return reservationApi;
    }

    // ---- faults ----

    void cutFromZone(String zone, boolean cut) {
        if (cut) {
            cutZones.add(zone);
        } else {
            cutZones.remove(zone);
        }
    }

    /** Returns whether messages pass between this node and the workers of a zone. */
    boolean reachesZone(String zone) {
        return !cutZones.contains(zone);
    }

    /** Loses the heartbeats sent to this node, while its direct commands are answered. */
    void loseHeartbeats(boolean lose) {
        losesHeartbeats = lose;
    }

    boolean losesHeartbeats() {
        return losesHeartbeats;
    }

    /** Delays each timer of the process, while heartbeats are handled without delay. */
    void delayTimers(Duration delay) {
        timerDelay = delay;
    }

    /** Refuses connections from the other nodes. */
    void refusePeers(boolean refuse) {
        refusesPeers = refuse;
    }

    boolean refusesPeers() {
        return refusesPeers;
    }

    /** Cuts this node from the store and the other nodes. */
    void partition(boolean partitioned) {
        isPartitioned = partitioned;
        storeConnection.refuseRequests(partitioned);
    }

    boolean isPartitioned() {
        return isPartitioned;
    }

    /**
     * The node's event loop: its timers are late on an overloaded node, and wait for the resumption
     * of a paused one.
     */
    private final class NodeEventLoop implements EventLoop {
        @Override
        public MonotonicTime now() {
            return cluster.loop().now();
        }

        @Override
        public long wallClockMillis() {
            return cluster.loop().wallClockMillis();
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            cluster.loop()
                    .schedule(
                            delay.plus(timerDelay),
                            () -> runWhenResumed(() -> runStep(EventLoopStep.TIMER, task)));
        }

        @Override
        public boolean runRepeating(RepeatingStep step, Runnable body) {
            return cluster.loop().runRepeating(step, body);
        }

        @Override
        public <T> T callStep(EventLoopStep step, Supplier<T> work) {
            return cluster.loop().callStep(step, work);
        }
    }
}
