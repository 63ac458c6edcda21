package org.meadowhollow.cli;

import io.undertow.connector.ByteBufferPool;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.meadowhollow.coordination.fleet.HeartbeatTimeoutMonitor;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * Opens the HTTP servers of a controller, with the connections that each may take. Every server
 * accepts requests as soon as it is opened; all of them run on the loop's thread.
 */
final class Listeners {
    /** Longer than the pause between two requests of a peer while it has anything to send. */
    private static final Duration PEER_IDLE_TIMEOUT = Duration.ofMinutes(2);

    /**
     * Workers send heartbeats and users poll every few seconds, so that a caller that sends nothing
     * for this many heartbeat intervals is gone or cut off; but a connection is kept for {@link
     * #MIN_IDLE_TIMEOUT} in any case, since a slow caller loses a request on a connection that is
     * closed.
     */
    private static final int IDLE_HEARTBEATS = 6;

    private static final Duration MIN_IDLE_TIMEOUT = Duration.ofSeconds(20);

    /** Sockets and files that the process itself needs beside its connections. */
    private static final int RESERVED_FILE_DESCRIPTORS = 64;

    /** The least share of its file descriptors that a process leaves to its callers. */
    private static final double MIN_CALLER_SHARE = 0.5;

    /**
     * The share of callers' connections that clients of the task execution API may take beside
     * them.
     */
    private static final int TES_CONNECTIONS_DIVISOR = 8;

    /** Connections of operators, by hand or by a script. */
    private static final int MAX_OPERATOR_CONNECTIONS = 16;

    private final XnioEventLoop loop;
    private final ByteBufferPool buffers;
    private final Settings settings;
    private final Duration callerIdleTimeout;

    Listeners(XnioEventLoop loop, ByteBufferPool buffers, Settings settings) {
        this.loop = loop;
        this.buffers = buffers;
        this.settings = settings;
        this.callerIdleTimeout = callerIdleTimeout(settings.deployment().heartbeatInterval());
    }

    /** For users and workers. */
    HttpServer openPublic(Http.RequestHandler handler) {
        return open(
                settings.publicEndpoint(),
                maxCallerConnections(settings),
                callerIdleTimeout,
                null,
                handler);
    }

    /** For clients of the task execution API. */
    HttpServer openTes(
            Settings.Endpoint endpoint, Optional<SSLContext> tls, Http.RequestHandler handler) {
        return open(
                endpoint,
                maxCallerConnections(settings) / TES_CONNECTIONS_DIVISOR,
                callerIdleTimeout,
                tls.orElse(null),
                handler);
    }

    /** For operators who make reservations and maintenance windows. */
    HttpServer openReservations(
            Settings.Endpoint endpoint, Optional<SSLContext> tls, Http.RequestHandler handler) {
        return open(
                endpoint, MAX_OPERATOR_CONNECTIONS, callerIdleTimeout, tls.orElse(null), handler);
    }

    /** For the other controllers; without a bound on their connections. */
    HttpServer openPeers(Http.RequestHandler handler) {
        return open(settings.peerEndpoint(), 0, PEER_IDLE_TIMEOUT, null, handler);
    }

    private HttpServer open(
            Settings.Endpoint endpoint,
            int maxConnections,
            Duration idleTimeout,
            SSLContext tls,
            Http.RequestHandler handler) {
        return new HttpServer(
                loop,
                buffers,
                new HttpServer.Options(
                        endpoint.host(), endpoint.port(), maxConnections, idleTimeout, tls),
                handler);
    }

    /**
     * Connections for users and workers: what the process may have, less a reserve for those it
     * opens itself, so that it can always reach the key-value store, the cloud, its peers and some
     * unresponsive workers.
     *
     * @return 0 for no bound
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

    private static Duration callerIdleTimeout(Duration heartbeatInterval) {
        Duration idle = heartbeatInterval.multipliedBy(IDLE_HEARTBEATS);
        return idle.compareTo(MIN_IDLE_TIMEOUT) > 0 ? idle : MIN_IDLE_TIMEOUT;
    }
}
