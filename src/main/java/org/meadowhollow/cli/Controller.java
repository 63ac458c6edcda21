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
import org.meadowhollow.protocol.NodeApi;
import org.meadowhollow.protocol.RateBudget;
import org.meadowhollow.protocol.cloud.CloudClient;
import org.meadowhollow.protocol.peers.PeerLink;
import org.meadowhollow.protocol.reservation.ReservationApi;
import org.meadowhollow.protocol.state.StateClient;
import org.meadowhollow.protocol.tes.TesApi;
import org.meadowhollow.protocol.users.UserApi;
import org.meadowhollow.protocol.workers.WorkerApi;
import org.meadowhollow.protocol.workers.WorkerClient;
import org.meadowhollow.storage.RecordDigests;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.PemKeys;
import org.meadowhollow.transport.XnioLoop;

/** One controller node, to start and to close; the daemon is a thin shell around it. */
public final class Controller implements AutoCloseable {
    /** Bytes of a network buffer; nearly every message fits into one. */
    private static final int BUFFER = 8 * 1024;

    private static final int MOST_BUFFERS = 64;

    /**
     * The limits of the state service and the cloud hold for all nodes together. The leader does
     * most of the work and may take most of them; the rest is left to what the others do for users.
     */
    private static final double SHARE = 0.7;

    /** Longer than the pause between two hints while there is anything to say. */
    private static final Duration PEERS_IDLE = Duration.ofMinutes(2);

    /**
     * Workers report and users poll every few seconds, so that whoever says nothing for this many
     * reports is gone or behind a cut; but at least for so long, since a slow caller loses a
     * request on a connection that is closed.
     */
    private static final int IDLE_REPORTS = 6;

    private static final Duration LEAST_IDLE = Duration.ofSeconds(20);

    /** While a lease is handed over. */
    private static final Duration LOOK_AGAIN = Duration.ofMillis(20);

    /** Sockets and files that the process itself needs beside its connections. */
    private static final int OWN_SOCKETS = 64;

    /** The least share of its sockets that a process leaves to those who come to it. */
    private static final double LEAST_FOR_CALLERS = 0.5;

    /**
     * The share of callers' connections that clients of the task execution API may take beside
     * them.
     */
    private static final int TES_SHARE = 8;

    /** Connections of those who plan by hand or by a script. */
    private static final int MOST_OPERATORS = 16;

    private final XnioLoop loop;
    private final HttpServer front;
    private final HttpServer back;

    /** Null unless the task execution API is served. */
    private final HttpServer tes;

    /** Null unless reservations and windows are taken. */
    private final HttpServer calendar;

    private final ControllerNode controllerNode;
    private final JobEventListeners jobEventListeners;

    private Controller(
            XnioLoop loop,
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
        DeploymentSettings deploymentSettings = settings.platform();
        ByteBufferPool buffers = buffers();
        HttpClient http = new HttpClient(loop, buffers);
        StateClient state =
                new StateClient(
                        http,
                        settings.state(),
                        loop,
                        budget(deploymentSettings.storeRequestsPerSecond()),
                        budget(deploymentSettings.storeWritesPerSecond()));
        CloudClient cloud =
                new CloudClient(
                        http,
                        settings.cloud(),
                        loop,
                        budget(deploymentSettings.cloudRequestsPerSecond()));
        PeerLink peers = new PeerLink(http, settings.peers());
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
                                        true, reservationOptions.maxMachines(), settings.skew()),
                        standby,
                        random);
        controllerNode = started;
        peers.testator(
                new PeerLink.Testator() {
                    @Override
                    public Optional<RiskTableDelta> tables(RiskTableRequest question) {
                        return started.riskTableDelta(question);
                    }

                    @Override
                    public Optional<RecordDigests> digests() {
                        return started.recordDigests();
                    }
                });
        peers.listener(controllerNode::observeLeader);
        peers.served(() -> !state.seemsUnavailable());
        peers.hearing(controllerNode::isMissingHeartbeats, controllerNode::recentlyHeardMachines);
        AdmissionService admissionService =
                new AdmissionService(
                        state,
                        loop,
                        machineTypeCatalog,
                        deploymentSettings,
                        jobEventListeners,
                        controllerNode::liveJobState);
        NodeApi api =
                new NodeApi(
                        new UserApi(admissionService),
                        new WorkerApi(controllerNode::handleHeartbeat),
                        controllerNode::isReadyForUsers);
        front =
                new HttpServer(
                        loop,
                        buffers,
                        settings.listen().host(),
                        settings.listen().port(),
                        mostCallers(settings),
                        idle(deploymentSettings),
                        api);
        tes =
                tesOptions == null
                        ? null
                        : new HttpServer(
                                loop,
                                buffers,
                                tesOptions.listen().host(),
                                tesOptions.listen().port(),
                                mostCallers(settings) / TES_SHARE,
                                idle(deploymentSettings),
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
                                MOST_OPERATORS,
                                idle(deploymentSettings),
                                calendarKeys,
                                new ReservationApi(
                                        new ReservationService(
                                                state,
                                                loop,
                                                machineTypeCatalog,
                                                deploymentSettings,
                                                reservationOptions.maxMachines()),
                                        reservationOptions.tokens()));
        back =
                new HttpServer(
                        loop,
                        buffers,
                        settings.back().host(),
                        settings.back().port(),
                        0,
                        PEERS_IDLE,
                        peers);
        controllerNode.start();
    }

    /**
     * Connections for users and workers: what the process may have, less a reserve for those it
     * opens itself, so that it can always reach the state service, the cloud, its peers and some
     * silent workers.
     */
    static int mostCallers(Settings settings) {
        int reserve =
                OWN_SOCKETS
                        + HttpClient.MOST_OPEN * (2 + settings.peers().size())
                        + HeartbeatTimeoutMonitor.MAX_PROBES_IN_FLIGHT;
        int least = (int) (settings.sockets() * LEAST_FOR_CALLERS);
        return settings.sockets() == 0 ? 0 : Math.max(least, settings.sockets() - reserve);
    }

    private static Duration idle(DeploymentSettings deploymentSettings) {
        Duration reports = deploymentSettings.heartbeatInterval().multipliedBy(IDLE_REPORTS);
        return reports.compareTo(LEAST_IDLE) > 0 ? reports : LEAST_IDLE;
    }

    static ByteBufferPool buffers() {
        return new DefaultByteBufferPool(false, BUFFER, MOST_BUFFERS, 0);
    }

    private static RateBudget budget(double perSecond) {
        return new RateBudget(perSecond * SHARE, perSecond * SHARE);
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
        public Builder observers(JobEventListeners told) {
            jobEventListeners = told;
            return this;
        }

        public Controller start() throws IOException {
            SSLContext keys =
                    tes == null || tes.chain() == null
                            ? null
                            : PemKeys.context(tes.chain(), tes.key());
            SSLContext calendarKeys =
                    calendar == null || calendar.certificateChainFile() == null
                            ? null
                            : PemKeys.context(
                                    calendar.certificateChainFile(), calendar.privateKeyFile());
            XnioLoop loop = new XnioLoop();
            try {
                // Built where it runs, so that one thread alone loads classes and reads files while
                // it starts.
                return loop.call(
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
        return front.port();
    }

    /** The port of the task execution API, or -1 if it is not served. */
    public int tesPort() {
        return tes == null ? -1 : tes.port();
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
        loop.call(
                () -> {
                    controllerNode.handOver();
                    untilOver(over);
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

    private void untilOver(CompletableFuture<Void> over) {
        if (controllerNode.isLeader()) {
            loop.schedule(LOOK_AGAIN, () -> untilOver(over));
        } else {
            over.complete(null);
        }
    }

    @Override
    public void close() {
        if (tes != null) {
            tes.close();
        }
        if (calendar != null) {
            calendar.close();
        }
        front.close();
        back.close();
        controllerNode.close();
        loop.close();
        jobEventListeners.tracer().close();
    }
}
