package org.meadowhollow.coordination.api;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.meadowhollow.storage.IndeterminateOutcomeException;
import org.meadowhollow.storage.KeyValueStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Guards the callers of a port to another system against implementations that throw. The contract
 * of a port is a failed future; an exception out of a call would end the step that made it, and
 * with it all that the step was to do next. A call that throws may have been sent, so its outcome
 * counts as unknown. Thread-safe.
 */
public final class PortGuard {
    private static final Logger LOG = LoggerFactory.getLogger(PortGuard.class);

    private final String port;
    private final Function<RuntimeException, RuntimeException> failureOf;
    private final Set<String> loggedMethods = ConcurrentHashMap.newKeySet();

    /**
     * @param port the name of the port, for the log
     * @param failureOf returns the failure of a call for the exception that it threw
     */
    private PortGuard(String port, Function<RuntimeException, RuntimeException> failureOf) {
        this.port = port;
        this.failureOf = failureOf;
    }

    /**
     * Returns a store whose calls fail with {@link IndeterminateOutcomeException} if they throw.
     */
    public static KeyValueStore guard(KeyValueStore store) {
        return new GuardedKeyValueStore(
                store,
                new PortGuard(
                        "KeyValueStore",
                        thrown -> new IndeterminateOutcomeException("the call failed: " + thrown)));
    }

    /** Returns a gateway whose calls fail with the exception that they throw. */
    public static WorkerGateway guard(WorkerGateway workers) {
        PortGuard guard = new PortGuard("WorkerGateway", thrown -> thrown);
        return (address, token, incarnation, commands) ->
                guard.call(
                        "sendCommands",
                        () -> workers.sendCommands(address, token, incarnation, commands));
    }

    /** Returns a provider whose calls fail with the exception that they throw. */
    public static CloudProvider guard(CloudProvider cloud) {
        return new GuardedCloudProvider(cloud, new PortGuard("CloudProvider", thrown -> thrown));
    }

    /** Returns a gateway whose calls fail with the exception that they throw. */
    public static PeerGateway guard(PeerGateway peers) {
        return new GuardedPeerGateway(peers, new PortGuard("PeerGateway", thrown -> thrown));
    }

    /** Calls a method that returns a future; throws nothing. */
    <T> CompletableFuture<T> call(String method, Supplier<CompletableFuture<T>> request) {
        try {
            return request.get();
        } catch (RuntimeException thrown) {
            log(method, thrown);
            return CompletableFuture.failedFuture(failureOf.apply(thrown));
        }
    }

    /** Calls a method without a result; throws nothing. */
    void run(String method, Runnable request) {
        try {
            request.run();
        } catch (RuntimeException thrown) {
            log(method, thrown);
        }
    }

    private void log(String method, RuntimeException thrown) {
        if (loggedMethods.add(method)) {
            LOG.error("call failed port={} method={}", port, method, thrown);
        } else {
            LOG.debug("call failed again port={} method={}", port, method, thrown);
        }
    }
}
