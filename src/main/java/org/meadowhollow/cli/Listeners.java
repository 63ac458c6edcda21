package org.meadowhollow.cli;

import io.undertow.connector.ByteBufferPool;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.UnfinishedRequests;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * Opens the HTTP servers of a controller, each with a limit of its connections. Every server
 * accepts requests as soon as it is opened; all of them run on the event loop's thread.
 */
final class Listeners {
    /**
     * How long an idle connection of a peer stays open: longer than the pause between two requests
     * of a peer that has anything to send.
     */
    private static final Duration PEER_IDLE_TIMEOUT = Duration.ofMinutes(2);

    /**
     * How long an idle connection of a user or worker stays open, in heartbeat intervals. Workers
     * send heartbeats and users poll every few seconds, so a caller that sends nothing for this
     * long has stopped or is disconnected.
     */
    private static final int IDLE_HEARTBEATS = 6;

    /**
     * The least time that an idle connection of a user or worker stays open. A request that a slow
     * caller sends on a closed connection is lost.
     */
    private static final Duration MIN_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /**
     * The number of file descriptors that the process needs for other purposes than connections.
     */
    private static final int RESERVED_FILE_DESCRIPTORS = 64;

    /** The least share of the process's file descriptors that is available to callers. */
    private static final double MIN_CALLER_SHARE = 0.5;

    /**
     * Divides the limit of connections for callers; the quotient is the additional limit for
     * clients of the task execution API.
     */
    private static final int TES_CONNECTIONS_DIVISOR = 8;

    /** The limit of connections for operators, who work by hand or with scripts. */
    private static final int MAX_OPERATOR_CONNECTIONS = 16;

    /**
     * Divides the memory of the process; the quotient is the limit of the bytes of unfinished
     * requests on all servers.
     */
    private static final int UNFINISHED_MEMORY_DIVISOR = 32;

    /** Each one takes some 20 KiB beside its body. */
    private static final int MAX_UNFINISHED_REQUESTS = 256;

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final Settings settings;
    private final Duration callerIdleTimeout;
    private final UnfinishedRequests unfinishedRequests;

    Listeners(XnioEventLoop loop, ByteBufferPool buffers, Settings settings) {
        this.loop = loop;
        this.buffers = buffers;
        this.settings = settings;
        this.callerIdleTimeout = callerIdleTimeout(settings.deployment().heartbeatInterval());
        this.unfinishedRequests =
                new UnfinishedRequests(
                        settings.memoryLimitBytes() / UNFINISHED_MEMORY_DIVISOR,
                        MAX_UNFINISHED_REQUESTS);
    }

    /** Opens the server for users and workers. */
    HttpServer openPublic(Http.RequestHandler handler) {
        return open(
                settings.publicEndpoint(),
                maxCallerConnections(settings),
                callerIdleTimeout,
                MessageReader.MAX_REQUEST_BYTES,
                null,
                handler);
    }

    /** Opens the server for clients of the task execution API. */
    HttpServer openTes(
            Settings.Endpoint endpoint, Optional<SSLContext> tls, Http.RequestHandler handler) {
        return open(
                endpoint,
                maxCallerConnections(settings) / TES_CONNECTIONS_DIVISOR,
                callerIdleTimeout,
                HttpServer.DEFAULT_MAX_BODY_BYTES,
                tls.orElse(null),
                handler);
    }

    /** Opens the server for operators, who manage reservations and maintenance windows. */
    HttpServer openReservations(
            Settings.Endpoint endpoint, Optional<SSLContext> tls, Http.RequestHandler handler) {
        return open(
                endpoint,
                MAX_OPERATOR_CONNECTIONS,
                callerIdleTimeout,
                HttpServer.DEFAULT_MAX_BODY_BYTES,
                tls.orElse(null),
                handler);
    }

    /** Opens the server for the other controllers, without a limit of their connections. */
    HttpServer openPeers(Http.RequestHandler handler) {
        return open(
                settings.peerEndpoint(),
                0,
                PEER_IDLE_TIMEOUT,
                HttpServer.DEFAULT_MAX_BODY_BYTES,
                null,
                handler);
    }

    private HttpServer open(
            Settings.Endpoint endpoint,
            int maxConnections,
            Duration idleTimeout,
            int maxBodyBytes,
            SSLContext tls,
            Http.RequestHandler handler) {
        return new HttpServer(
                loop,
                buffers,
                new HttpServer.Options(
                        endpoint.host(),
                        endpoint.port(),
                        maxConnections,
                        idleTimeout,
                        maxBodyBytes,
                        tls),
                unfinishedRequests,
                handler);
    }

    /**
     * Returns the limit of connections for users and workers: the file descriptor limit of the
     * process less a reserve for the connections that it opens itself, so that it can always reach
     * the key-value store, the cloud, its peers and some unresponsive workers.
     *
     * @return 0 for no limit
     */
    static int maxCallerConnections(Settings settings) {
        int reserve =
                RESERVED_FILE_DESCRIPTORS
                        + HttpClient.MAX_OPEN_PER_ADDRESS * (2 + settings.peerAddresses().size())
                        + HeartbeatTimeoutMonitor.MAX_PROBES_IN_FLIGHT;
        int minimum = (int) (settings.fileDescriptorLimit() * MIN_CALLER_SHARE);
        return settings.fileDescriptorLimit() == 0
                ? 0
                : Math.max(minimum, settings.fileDescriptorLimit() - reserve);
    }

    private static Duration callerIdleTimeout(Duration heartbeatInterval) {
        Duration idle = heartbeatInterval.multipliedBy(IDLE_HEARTBEATS);
        return idle.compareTo(MIN_IDLE_TIMEOUT) > 0 ? idle : MIN_IDLE_TIMEOUT;
    }
}
