package org.meadowhollow.cli;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.random.RandomGenerator;
import org.meadowhollow.bookkeeping.Catalog;
import org.meadowhollow.coordination.Admission;
import org.meadowhollow.coordination.Node;
import org.meadowhollow.coordination.Platform;
import org.meadowhollow.protocol.NodeApi;
import org.meadowhollow.protocol.RateBudget;
import org.meadowhollow.protocol.cloud.CloudClient;
import org.meadowhollow.protocol.peers.PeerLink;
import org.meadowhollow.protocol.state.StateClient;
import org.meadowhollow.protocol.users.UserApi;
import org.meadowhollow.protocol.workers.WorkerApi;
import org.meadowhollow.protocol.workers.WorkerClient;
import org.meadowhollow.transport.HttpClient;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioLoop;

/** One controller node, to start and to close; the daemon is a thin shell around it. */
public final class Controller implements AutoCloseable {
    /** Bytes of a network buffer; nearly every message fits into one. */
    private static final int BUFFER = 8 * 1024;
    private static final int MOST_BUFFERS = 64;
    /**
     * The limits of the state service and the cloud hold for all nodes together. The leader does most of the
     * work and may take most of them; the rest is left to what the others do for users.
     */
    private static final double SHARE = 0.7;

    private final XnioLoop loop;
    private final HttpServer front;
    private final HttpServer back;
    private final Node node;

    private Controller(XnioLoop loop, Settings settings, RandomGenerator random) {
        this.loop = loop;
        Platform platform = settings.platform();
        ByteBufferPool buffers = buffers();
        HttpClient http = new HttpClient(loop, buffers);
        StateClient state = new StateClient(http, settings.state(), loop, budget(platform.stateRps()),
                budget(platform.stateWriteRps()));
        CloudClient cloud = new CloudClient(http, settings.cloud(), loop, budget(platform.cloudRps()));
        PeerLink peers = new PeerLink(http, settings.peers());
        Catalog catalog = new Catalog();
        node = new Node(loop, state, new WorkerClient(http), cloud, peers, platform, catalog, random);
        peers.listener(node::heardOf);
        peers.served(() -> !state.seemsOut());
        peers.hearing(node::isHardOfHearing, node::heardAmong);
        Admission admission = new Admission(state, loop, catalog, platform, node::counts);
        NodeApi api = new NodeApi(new UserApi(admission), new WorkerApi(node::report), node::isReady);
        front = new HttpServer(loop, buffers, settings.listen().host(), settings.listen().port(), api);
        back = new HttpServer(loop, buffers, settings.back().host(), settings.back().port(), peers);
        node.start();
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

        private Builder(Settings settings) {
            this.settings = settings;
        }

        public Builder random(RandomGenerator source) {
            random = source;
            return this;
        }

        public Controller start() throws IOException {
            XnioLoop loop = new XnioLoop();
            try {
                // Built where it runs, so that one thread alone loads classes and reads files while it starts.
                return loop.call(() -> new Controller(loop, settings, random));
            } catch (RuntimeException failure) {
                loop.close();
                throw failure;
            }
        }
    }

    public int port() {
        return front.port();
    }

    @Override
    public void close() {
        front.close();
        back.close();
        node.close();
        loop.close();
    }
}
