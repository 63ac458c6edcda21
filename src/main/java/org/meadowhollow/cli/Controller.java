package org.meadowhollow.cli;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;
import javax.net.ssl.SSLContext;
import org.meadowhollow.coordination.ControllerNode;
import org.meadowhollow.coordination.admission.AdmissionService;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.failover.StandbySettings;
import org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.PublicApiRouter;
import org.meadowhollow.protocol.cloud.CloudClient;
import org.meadowhollow.protocol.jobs.JobApi;
import org.meadowhollow.protocol.keyvalue.KeyValueStoreClient;
import org.meadowhollow.protocol.peers.HandoverSource;
import org.meadowhollow.protocol.peers.PeerClient;
import org.meadowhollow.protocol.peers.PeerMessageCodec;
import org.meadowhollow.protocol.peers.PeerServer;
import org.meadowhollow.protocol.reservation.ReservationApi;
import org.meadowhollow.protocol.tes.TesApi;
import org.meadowhollow.protocol.workers.HeartbeatApi;
import org.meadowhollow.protocol.workers.WorkerClient;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.PemKeyManager;
import org.meadowhollow.transport.XnioEventLoop;

/** One controller node, to start and to close; the daemon is a thin shell around it. */
public final class Controller implements AutoCloseable {
    /** Bytes of a network buffer; nearly every message fits into one. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int MAX_POOLED_BUFFERS = 64;

    /**
     * The limits of the state service and the cloud hold for all nodes together. The leader does
     * most of the work and may take most of them; the rest is left to what the others do for users.
     */
    private static final double RATE_SHARE_PER_NODE = 0.7;

    /** Longer than the pause between two hints while there is anything to say. */
    private static final Duration PEER_IDLE_TIMEOUT = Duration.ofMinutes(2);

    /**
     * Workers report and users poll every few seconds, so that whoever says nothing for this many
     * reports is gone or behind a cut; but at least for so long, since a slow caller loses a
     * request on a connection that is closed.
     */
    private static final int IDLE_HEARTBEATS = 6;

    private static final Duration MIN_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** While a lease is handed over. */
    private static final Duration HANDOVER_POLL_INTERVAL = Duration.ofMillis(20);

    /** Sockets and files that the process itself needs beside its connections. */
    private static final int RESERVED_FILE_DESCRIPTORS = 64;

    /** The least share of its sockets that a process leaves to those who come to it. */
    private static final double MIN_CALLER_SHARE = 0.5;

    /**
     * The share of callers' connections that clients of the task execution API may take beside
     * them.
     */
    private static final int TES_CONNECTIONS_DIVISOR = 8;

    /** Connections of those who plan by hand or by a script. */
    private static final int MAX_OPERATOR_CONNECTIONS = 16;

    private final XnioEventLoop loop;
    private final HttpServer publicServer;
    private final HttpServer peerServer;

    /** Null unless the task execution API is served. */
    private final HttpServer tesServer;

    /** Null unless reservations and windows are taken. */
    private final HttpServer calendar;

    private final ControllerNode controllerNode;
    private final JobEventListeners jobEventListeners;

    private Controller(
            XnioEventLoop loop,
            Settings settings,
            TesOptions tesOptions,
            SSLContext tesKeys,
            ReservationOptions reservationOptions,
            SSLContext calendarKeys,
            StandbySettings standby,
            JobEventListeners jobEventListeners,
            RandomGenerator random) {
        this.loop = loop;
        this.jobEventListeners = jobEventListeners;
        DeploymentSettings deploymentSettings = settings.deployment();
        ByteBufferPool buffers = newBufferPool();
        HttpClient http = new HttpClient(loop, buffers);
        KeyValueStoreClient state =
                new KeyValueStoreClient(
                        http,
                        settings.storeAddress(),
                        loop,
                        newRateLimiter(deploymentSettings.storeRequestsPerSecond()),
                        newRateLimiter(deploymentSettings.storeWritesPerSecond()));
        CloudClient cloud =
                new CloudClient(
                        http,
                        settings.cloudAddress(),
                        loop,
                        newRateLimiter(deploymentSettings.cloudRequestsPerSecond()));
        PeerMessageCodec peerCodec = new PeerMessageCodec();
        PeerClient peers = new PeerClient(http, settings.peerAddresses(), peerCodec);
        PeerServer peerApi = new PeerServer(peerCodec);
        MachineTypeCatalog machineTypeCatalog = new MachineTypeCatalog();
        ControllerNode started =
                new ControllerNode(
                        loop,
                        state,
                        new WorkerClient(http),
                        cloud,
                        peers,
                        deploymentSettings,
                        machineTypeCatalog,
                        jobEventListeners,
                        reservationOptions == null
                                ? ReservationSettings.OFF
                                : new ReservationSettings(
                                        true,
                                        reservationOptions.maxMachines(),
                                        settings.clockSkewBound()),
                        standby,
                        random);
        controllerNode = started;
        peerApi.setHandoverSource(
                new HandoverSource() {
                    @Override
                    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest question) {
                        return started.riskTableDelta(question);
                    }

                    @Override
                    public Optional<RecordDigests> recordDigests() {
                        return started.recordDigests();
                    }
                });
        peerApi.setLeaderListener(controllerNode::observeLeader);
        peerApi.setStoreReachable(() -> !state.seemsUnavailable());
        peerApi.setHeartbeatSources(
                controllerNode::isMissingHeartbeats, controllerNode::recentlyHeardMachines);
        AdmissionService admissionService =
                new AdmissionService(
                        state,
                        loop,
                        machineTypeCatalog,
                        deploymentSettings,
                        jobEventListeners,
                        controllerNode::liveJobState);
        PublicApiRouter api =
                new PublicApiRouter(
                        new JobApi(admissionService),
                        new HeartbeatApi(controllerNode::handleHeartbeat),
                        controllerNode::isReadyForUsers);
        publicServer =
                new HttpServer(
                        loop,
                        buffers,
                        settings.publicEndpoint().host(),
                        settings.publicEndpoint().port(),
                        maxCallerConnections(settings),
                        callerIdleTimeout(deploymentSettings),
                        api);
        tesServer =
                tesOptions == null
                        ? null
                        : new HttpServer(
                                loop,
                                buffers,
                                tesOptions.listen().host(),
                                tesOptions.listen().port(),
                                maxCallerConnections(settings) / TES_CONNECTIONS_DIVISOR,
                                callerIdleTimeout(deploymentSettings),
                                tesKeys,
                                new TesApi(
                                        admissionService,
                                        state,
                                        loop,
                                        deploymentSettings,
                                        tesOptions.tokens(),
                                        jobEventListeners.tracer(),
                                        random));
        calendar =
                reservationOptions == null
                        ? null
                        : new HttpServer(
                                loop,
                                buffers,
                                reservationOptions.listenEndpoint().host(),
                                reservationOptions.listenEndpoint().port(),
                                MAX_OPERATOR_CONNECTIONS,
                                callerIdleTimeout(deploymentSettings),
                                calendarKeys,
                                new ReservationApi(
                                        new ReservationService(
                                                state,
                                                loop,
                                                machineTypeCatalog,
                                                deploymentSettings,
                                                reservationOptions.maxMachines()),
                                        reservationOptions.tokens()));
        peerServer =
                new HttpServer(
                        loop,
                        buffers,
                        settings.peerEndpoint().host(),
                        settings.peerEndpoint().port(),
                        0,
                        PEER_IDLE_TIMEOUT,
                        peerApi);
        controllerNode.start();
    }

    /**
     * Connections for users and workers: what the process may have, less a reserve for those it
     * opens itself, so that it can always reach the state service, the cloud, its peers and some
     * silent workers.
     */
    static int maxCallerConnections(Settings settings) {
        int reserve =
                RESERVED_FILE_DESCRIPTORS
                        + HttpClient.MAX_OPEN_PER_ADDRESS * (2 + settings.peerAddresses().size())
                        + HeartbeatTimeoutMonitor.MAX_PROBES_IN_FLIGHT;
        int least = (int) (settings.fileDescriptorLimit() * MIN_CALLER_SHARE);
        return settings.fileDescriptorLimit() == 0
                ? 0
                : Math.max(least, settings.fileDescriptorLimit() - reserve);
    }

    private static Duration callerIdleTimeout(DeploymentSettings deploymentSettings) {
        Duration reports = deploymentSettings.heartbeatInterval().multipliedBy(IDLE_HEARTBEATS);
        return reports.compareTo(MIN_IDLE_TIMEOUT) > 0 ? reports : MIN_IDLE_TIMEOUT;
    }

    static ByteBufferPool newBufferPool() {
        return new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    }

    private static AdaptiveRateLimiter newRateLimiter(double perSecond) {
        return new AdaptiveRateLimiter(
                perSecond * RATE_SHARE_PER_NODE, perSecond * RATE_SHARE_PER_NODE);
    }

    public static Builder builder(Settings settings) {
        return new Builder(settings);
    }

    /** Collects what a controller needs before it starts. */
    public static final class Builder {
        private final Settings settings;
        private RandomGenerator random = RandomGenerator.getDefault();
        private TesOptions tes;
        private ReservationOptions calendar;
        private StandbySettings standby = StandbySettings.DISABLED;
        private JobEventListeners jobEventListeners = JobEventListeners.NONE;

        private Builder(Settings settings) {
            this.settings = settings;
        }

        public Builder random(RandomGenerator source) {
            random = source;
            return this;
        }

        /** Serves the task execution API as well; null, as by default, does not. */
        public Builder tes(TesOptions options) {
            tes = options;
            return this;
        }

        /**
         * Plans around reservations and windows, and takes them; null, as by default, does neither.
         */
        public Builder calendar(ReservationOptions options) {
            calendar = options;
            return this;
        }

        /**
         * Keeps warm what is needed to take over while another node leads.
         *
         * @param program the version that other nodes are told
         */
        public Builder standby(String program) {
            standby = new StandbySettings(true, program, settings.zone());
            return this;
        }

        /**
         * Are told what happens to jobs; by default nobody is. The traces are closed with the
         * controller.
         */
        public Builder eventListeners(JobEventListeners told) {
            jobEventListeners = told;
            return this;
        }

        public Controller start() throws IOException {
            SSLContext keys =
                    tes == null || tes.certificateFile() == null
                            ? null
                            : PemKeyManager.sslContext(tes.certificateFile(), tes.privateKeyFile());
            SSLContext calendarKeys =
                    calendar == null || calendar.certificateChainFile() == null
                            ? null
                            : PemKeyManager.sslContext(
                                    calendar.certificateChainFile(), calendar.privateKeyFile());
            XnioEventLoop loop = new XnioEventLoop();
            try {
                // Built where it runs, so that one thread alone loads classes and reads files while
                // it starts.
                return loop.callAndWait(
                        () ->
                                new Controller(
                                        loop,
                                        settings,
                                        tes,
                                        keys,
                                        calendar,
                                        calendarKeys,
                                        standby,
                                        jobEventListeners,
                                        random));
            } catch (RuntimeException failure) {
                loop.close();
                throw failure;
            }
        }
    }

    public int port() {
        return publicServer.port();
    }

    /** The port of the task execution API, or -1 if it is not served. */
    public int tesPort() {
        return tesServer == null ? -1 : tesServer.port();
    }

    /** The port for reservations and windows, or -1 if none are taken. */
    public int calendarPort() {
        return calendar == null ? -1 : calendar.port();
    }

    /**
     * Gives the lease to the standby that could take over best, if this node leads, before it is
     * closed.
     *
     * @param most how long to wait for that
     */
    public void handOver(Duration most) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.callAndWait(
                () -> {
                    controllerNode.handOver();
                    completeWhenNotLeading(over);
                    return over;
                });
        try {
            over.get(most.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException late) {
            // Whoever is to lead next finds the lease ended, or waits until it has.
        }
    }

    private void completeWhenNotLeading(CompletableFuture<Void> over) {
        if (controllerNode.isLeader()) {
            loop.schedule(HANDOVER_POLL_INTERVAL, () -> completeWhenNotLeading(over));
        } else {
            over.complete(null);
        }
    }

    @Override
    public void close() {
        if (tesServer != null) {
            tesServer.close();
        }
        if (calendar != null) {
            calendar.close();
        }
        publicServer.close();
        peerServer.close();
        controllerNode.close();
        loop.close();
        jobEventListeners.tracer().close();
    }
}
