package org.meadowhollow.cli;

import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.cloud.CloudClient;
import org.meadowhollow.protocol.keyvalue.KeyValueStoreClient;
import org.meadowhollow.protocol.peers.PeerClient;
import org.meadowhollow.protocol.peers.PeerMessageCodec;
import org.meadowhollow.protocol.workers.WorkerClient;

/** The clients of the services that a controller calls. They share one HTTP client. */
record ExternalClients(
        KeyValueStoreClient store, CloudClient cloud, WorkerClient workers, PeerClient peers) {
    /**
     * The share of the request rate limits of the key-value store and the cloud that one node may
     * use. The limits hold for all nodes together. The leader does most of the work and may use
     * most of them; the rest is left to the other nodes, which serve users.
     */
    private static final double RATE_SHARE_PER_NODE = 0.7;

    static ExternalClients create(
            Settings settings, EventLoop loop, Http.Client http, PeerMessageCodec peerCodec) {
        DeploymentSettings deployment = settings.deployment();
        return new ExternalClients(
                new KeyValueStoreClient(
                        http,
                        settings.storeAddress(),
                        loop,
                        newRateLimiter(deployment.storeRequestsPerSecond()),
                        newRateLimiter(deployment.storeWritesPerSecond())),
                new CloudClient(
                        http,
                        settings.cloudAddress(),
                        loop,
                        newRateLimiter(deployment.cloudRequestsPerSecond())),
                new WorkerClient(http),
                new PeerClient(http, settings.peerAddresses(), peerCodec));
    }

    private static AdaptiveRateLimiter newRateLimiter(double limitPerSecond) {
        double perSecond = limitPerSecond * RATE_SHARE_PER_NODE;
        return new AdaptiveRateLimiter(perSecond, perSecond);
    }
}
