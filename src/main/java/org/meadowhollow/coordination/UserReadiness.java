package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.RecordKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether users should be sent to this node. Monitors how late the node runs its timers,
 * and whether the key-value store serves the node and its peers. Owns the results of these checks.
 * Guarded by the node's lock, which it takes itself.
 */
final class UserReadiness {
    private static final Logger LOG = LoggerFactory.getLogger(UserReadiness.class);

    /** The interval between probes of the key-value store while it does not serve this node. */
    private static final Duration OUTAGE_PROBE_INTERVAL = Duration.ofSeconds(1);

    /**
     * How long a peer's response that the key-value store serves it remains valid; a few probes of
     * the load balancer.
     */
    private static final Duration PEER_REACHES_STORE_VALIDITY = Duration.ofSeconds(3);

    /** The interval between measurements of how late the timers run. */
    private static final Duration LOAD_CHECK_INTERVAL = Duration.ofMillis(500);

    /**
     * A timer that runs later than this indicates overload; pauses of the garbage collector are
     * shorter.
     */
    private static final Duration LATE_THRESHOLD = Duration.ofMillis(300);

    /**
     * Number of consecutive late checks before a leader sends users to other nodes; about the time
     * that the load balancer's probes need.
     */
    private static final int LATE_CHECKS_BEFORE_SHEDDING = 3;

    /**
     * How long an overloaded leader sends users to other nodes; the load balancer readmits a node
     * only after some seconds anyway.
     */
    private static final Duration LOAD_SHEDDING_DURATION = Duration.ofSeconds(10);

    private final Object lock;
    private final EventLoop loop;
    private final KeyValueStore store;
    private final PeerGateway peerGateway;
    private final MachineTypeCatalog machineTypeCatalog;
    private final BooleanSupplier isLeading;
    private final BooleanSupplier isClosed;
    private MonotonicTime peerReachedStoreAt;
    private MonotonicTime lastLoadCheckAt;
    private int consecutiveLateChecks;
    private MonotonicTime sheddingUntil;

    /**
     * @param lock the node's lock
     * @param isLeading whether this node leads; called with the lock held
     * @param isClosed whether the node is closed; takes the lock itself
     */
    UserReadiness(
            Object lock,
            ControllerServices services,
            BooleanSupplier isLeading,
            BooleanSupplier isClosed) {
        this.lock = lock;
        this.loop = services.loop();
        this.store = services.store();
        this.peerGateway = services.peerGateway();
        this.machineTypeCatalog = services.machineTypeCatalog();
        this.isLeading = isLeading;
        this.isClosed = isClosed;
    }

    /** Begins to monitor the key-value store and this node's own load. */
    void start() {
        lastLoadCheckAt = loop.now();
        RepeatingSteps.every(
                loop,
                RepeatingStep.STORE_PROBE,
                OUTAGE_PROBE_INTERVAL,
                isClosed,
                this::probeStoreDuringOutage);
        RepeatingSteps.every(
                loop, RepeatingStep.LOAD_CHECK, LOAD_CHECK_INTERVAL, isClosed, this::checkLoad);
    }

    /**
     * Probes the key-value store while it does not serve this node, and asks the peers whether it
     * serves them.
     */
    private void probeStoreDuringOutage() {
        if (store.seemsUnavailable()) {
            var unusedProbe = store.get(RecordKeys.FENCING_TOKEN_KEY, RequestPriority.BACKGROUND);
            askPeersAboutStore();
        }
    }

    /**
     * Checks whether this node runs its timers in time. Without this check, a leader under many
     * times the usual load of user requests answers the heartbeats of hundreds of workers too late,
     * so that their leases expire and all their tasks are lost.
     */
    private void checkLoad() {
        MonotonicTime now = loop.now();
        boolean late =
                now.elapsedSince(lastLoadCheckAt)
                                .compareTo(LOAD_CHECK_INTERVAL.plus(LATE_THRESHOLD))
                        > 0;
        lastLoadCheckAt = now;
        boolean shedding;
        synchronized (lock) {
            recordLoadCheck(late, now);
            shedding = sheddingUntil != null && now.isBefore(sheddingUntil);
        }
        if (shedding) {
            askPeersAboutStore();
        }
    }

    private void recordLoadCheck(boolean late, MonotonicTime now) {
        consecutiveLateChecks = late ? consecutiveLateChecks + 1 : 0;
        if (consecutiveLateChecks < LATE_CHECKS_BEFORE_SHEDDING || !isLeading.getAsBoolean()) {
            return;
        }
        if (sheddingUntil == null || sheddingUntil.isBefore(now)) {
            LOG.info(
                    "users redirected duration_s={} reason=leader is overloaded",
                    LOAD_SHEDDING_DURATION.toSeconds());
        }
        sheddingUntil = now.plus(LOAD_SHEDDING_DURATION);
    }

    private void askPeersAboutStore() {
        var unusedAnswer =
                peerGateway
                        .anyPeerReachesStore()
                        .thenAccept(
                                peerReachesStore -> {
                                    if (peerReachesStore) {
                                        onPeerReachesStore();
                                    }
                                });
    }

    private void onPeerReachesStore() {
        synchronized (lock) {
            peerReachedStoreAt = loop.now();
        }
    }

    /**
     * Whether users should be sent to this node. A node that the key-value store does not serve
     * reports not ready if the store serves a peer. In an outage that affects all nodes it stays
     * ready, because the load balancer readmits a node only after a delay. An overloaded leader
     * reports not ready under the same condition, since heartbeats and its lease have precedence.
     */
    boolean isReadyForUsers() {
        synchronized (lock) {
            boolean shedding =
                    isLeading.getAsBoolean()
                            && sheddingUntil != null
                            && loop.now().isBefore(sheddingUntil);
            return !machineTypeCatalog.isEmpty()
                    && !((store.seemsUnavailable() || shedding) && isStoreReachedByPeer());
        }
    }

    private boolean isStoreReachedByPeer() {
        return peerReachedStoreAt != null
                && loop.now()
                                .elapsedSince(peerReachedStoreAt)
                                .compareTo(PEER_REACHES_STORE_VALIDITY)
                        < 0;
    }
}
