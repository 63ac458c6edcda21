package org.meadowhollow.cli;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.file.Path;
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
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.coordination.failover.StandbySettings;
import org.meadowhollow.coordination.reservation.ReservationService;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.PublicApiRouter;
import org.meadowhollow.protocol.jobs.JobApi;
import org.meadowhollow.protocol.peers.HandoverSource;
import org.meadowhollow.protocol.peers.PeerMessageCodec;
import org.meadowhollow.protocol.peers.PeerServer;
import org.meadowhollow.protocol.reservation.ReservationApi;
import org.meadowhollow.protocol.tes.TesApi;
import org.meadowhollow.protocol.workers.HeartbeatApi;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.PemKeyManager;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * A running controller: connects the coordination of a node to its clients and HTTP servers. It is
 * created on the thread of its event loop, which also does all of its work; its public methods may
 * be called on any other thread.
 */
public final class Controller implements AutoCloseable {
    /** The size of a network buffer; nearly every message fits into one. */
    private static final int BUFFER_BYTES = 8 * 1024;

    private static final int MAX_POOLED_BUFFERS = 64;

    /** The interval between two checks whether a handover is complete. */
    private static final Duration HANDOVER_POLL_INTERVAL = Duration.ofMillis(20);

    private final XnioEventLoop loop;
    private final ExternalClients clients;
    private final MachineTypeCatalog machineTypeCatalog = new MachineTypeCatalog();
    private final ControllerNode controllerNode;
    private final AdmissionService admissionService;
    private final HttpServer publicServer;
    private final Optional<HttpServer> tesServer;
    private final Optional<HttpServer> reservationServer;
    private final HttpServer peerServer;
    private final JobEventListeners jobEventListeners;

    private Controller(
            XnioEventLoop loop,
            Builder options,
            Optional<SSLContext> tesTls,
            Optional<SSLContext> reservationTls) {
        this.loop = loop;
        this.jobEventListeners = options.jobEventListeners;
        ByteBufferPool buffers = newBufferPool();
        PeerMessageCodec peerCodec = new PeerMessageCodec();
        clients =
                ExternalClients.create(
                        options.settings, loop, new HttpClient(loop, buffers), peerCodec);
        controllerNode = newControllerNode(options);
        admissionService = newAdmissionService(options.settings);
        Listeners listeners = new Listeners(loop, buffers, options.settings);
        publicServer = listeners.openPublic(publicApi());
        tesServer =
                Optional.ofNullable(options.tes)
                        .map(
                                tes ->
                                        listeners.openTes(
                                                tes.listenEndpoint(), tesTls, tesApi(options)));
        reservationServer =
                Optional.ofNullable(options.reservations)
                        .map(
                                reservations ->
                                        listeners.openReservations(
                                                reservations.listenEndpoint(),
                                                reservationTls,
                                                reservationApi(options)));
        peerServer = listeners.openPeers(peerApi(peerCodec));
        controllerNode.start();
    }

    private ControllerNode newControllerNode(Builder options) {
        ReservationSettings reservationSettings =
                options.reservations == null
                        ? ReservationSettings.OFF
                        : new ReservationSettings(
                                true,
                                options.reservations.maxMachines(),
                                options.settings.clockSkewBound());
        return new ControllerNode(
                loop,
                clients.store(),
                clients.workers(),
                clients.cloud(),
                clients.peers(),
                options.settings.deployment(),
                machineTypeCatalog,
                jobEventListeners,
                reservationSettings,
                options.standby,
                options.random);
    }

    private AdmissionService newAdmissionService(Settings settings) {
        return new AdmissionService(
                clients.store(),
                loop,
                machineTypeCatalog,
                settings.deployment(),
                jobEventListeners,
                controllerNode::liveJobStatus);
    }

    private Http.RequestHandler publicApi() {
        return new PublicApiRouter(
                new JobApi(admissionService),
                new HeartbeatApi(controllerNode::handleHeartbeat),
                controllerNode::isReadyForUsers);
    }

    private Http.RequestHandler tesApi(Builder options) {
        return new TesApi(
                admissionService,
                clients.store(),
                loop,
                options.settings.deployment(),
                options.tes.tokens(),
                jobEventListeners.tracer(),
                options.random);
    }

    private Http.RequestHandler reservationApi(Builder options) {
        return new ReservationApi(
                new ReservationService(
                        clients.store(),
                        loop,
                        machineTypeCatalog,
                        options.settings.deployment(),
                        options.reservations.maxMachines()),
                options.reservations.tokens());
    }

    private Http.RequestHandler peerApi(PeerMessageCodec codec) {
        PeerServer peerApi = new PeerServer(codec);
        peerApi.setHandoverSource(
                new HandoverSource() {
                    @Override
                    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
                        return controllerNode.riskTableDelta(request);
                    }

                    @Override
                    public Optional<RecordDigests> recordDigests() {
                        return controllerNode.recordDigests();
                    }
                });
        peerApi.setLeaderListener(controllerNode::observeLeader);
        peerApi.setStoreReachable(() -> !clients.store().seemsUnavailable());
        peerApi.setHeartbeatSources(
                controllerNode::isMissingHeartbeats, controllerNode::recentlyHeardMachines);
        return peerApi;
    }

    static ByteBufferPool newBufferPool() {
        return new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    }

    /** Returns a builder of a controller with these settings. */
    public static Builder builder(Settings settings) {
        return new Builder(settings);
    }

    /** Collects the options of a controller and starts it. Not thread-safe. */
    public static final class Builder {
        private final Settings settings;
        private RandomGenerator random = RandomGenerator.getDefault();
        private TesOptions tes;
        private ReservationOptions reservations;
        private StandbySettings standby = StandbySettings.DISABLED;
        private JobEventListeners jobEventListeners = JobEventListeners.NONE;

        private Builder(Settings settings) {
            this.settings = settings;
        }

        /** Sets the source of random numbers; by default the JDK's generator, seeded by the JDK. */
        public Builder random(RandomGenerator source) {
            random = source;
            return this;
        }

        /** Serves the task execution API; with null, the default, it is not served. */
        public Builder tes(TesOptions options) {
            tes = options;
            return this;
        }

        /**
         * Accepts reservations and maintenance windows and schedules around them; with null, the
         * default, it does neither.
         */
        public Builder calendar(ReservationOptions options) {
            reservations = options;
            return this;
        }

        /**
         * Replicates the state that a takeover needs while another node leads.
         *
         * @param softwareVersion the version to report to other nodes
         */
        public Builder standby(String softwareVersion) {
            standby = new StandbySettings(true, softwareVersion, settings.zone());
            return this;
        }

        /**
         * Sets the listeners for job events; by default there are none. The tracer is closed with
         * the controller.
         */
        public Builder eventListeners(JobEventListeners listeners) {
            jobEventListeners = listeners;
            return this;
        }

        /**
         * Starts the controller.
         *
         * @throws IOException if a certificate or its key cannot be used, or the event loop cannot
         *     be created
         * @throws RuntimeException if a server cannot listen on its address
         */
        public Controller start() throws IOException {
            Optional<SSLContext> tesTls =
                    tes == null
                            ? Optional.empty()
                            : loadTls(tes.certificateChainFile(), tes.privateKeyFile());
            Optional<SSLContext> reservationTls =
                    reservations == null
                            ? Optional.empty()
                            : loadTls(
                                    reservations.certificateChainFile(),
                                    reservations.privateKeyFile());
            XnioEventLoop loop = new XnioEventLoop();
            try {
                // Created on the loop's thread, so that a single thread loads classes and reads
                // files during the start.
                return loop.callAndWait(() -> new Controller(loop, this, tesTls, reservationTls));
            } catch (RuntimeException failure) {
                loop.close();
                throw failure;
            }
        }

        /** Loads the TLS context of a server; empty, for plain HTTP, if there is no certificate. */
        private static Optional<SSLContext> loadTls(Path chain, Path key) throws IOException {
            return chain == null
                    ? Optional.empty()
                    : Optional.of(PemKeyManager.sslContext(chain, key));
        }
    }

    /** Returns the port for users and workers. */
    public int port() {
        return publicServer.port();
    }

    /** Returns the port of the task execution API, or -1 if it is not served. */
    public int tesPort() {
        return tesServer.map(HttpServer::port).orElse(-1);
    }

    /** Returns the port for reservations and maintenance windows, or -1 if they are not served. */
    public int calendarPort() {
        return reservationServer.map(HttpServer::port).orElse(-1);
    }

    /**
     * Hands the leadership over to the best prepared standby, if this node leads. Blocks until this
     * node no longer leads. Call it before {@link #close}, and not on the event loop's thread.
     *
     * @param timeout the limit of the wait
     */
    public void handOver(Duration timeout) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        loop.callAndWait(
                () -> {
                    controllerNode.handOver();
                    completeWhenNotLeading(completion);
                    return completion;
                });
        try {
            completion.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException late) {
            // Nothing is left to do: the next leader finds the lease revoked or waits until it
            // expires.
        }
    }

    private void completeWhenNotLeading(CompletableFuture<Void> completion) {
        if (controllerNode.isLeader()) {
            loop.schedule(HANDOVER_POLL_INTERVAL, () -> completeWhenNotLeading(completion));
        } else {
            completion.complete(null);
        }
    }

    /** Stops the servers first, then the node and its event loop, then the tracer. */
    @Override
    public void close() {
        tesServer.ifPresent(HttpServer::close);
        reservationServer.ifPresent(HttpServer::close);
        publicServer.close();
        peerServer.close();
        controllerNode.close();
        loop.close();
        jobEventListeners.tracer().close();
    }
}
