package org.meadowhollow.coordination.api;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.meadowhollow.storage.IndeterminateOutcomeException;
import org.meadowhollow.storage.KeyValueStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Guards the callers of the ports to other systems against implementations that throw. The contract
 * of a port is a failed future; an exception out of a call would end the step that made it, and
 * with it all that the step was to do next. A call that throws may have been sent, so its outcome
 * counts as unknown.
 */
public final class PortGuard implements InvocationHandler {
    private static final Logger LOG = LoggerFactory.getLogger(PortGuard.class);

    private final Object implementation;
    private final Function<RuntimeException, RuntimeException> failureOf;
    private final Set<String> loggedMethods = ConcurrentHashMap.newKeySet();

    private PortGuard(
            Object implementation, Function<RuntimeException, RuntimeException> failureOf) {
        this.implementation = implementation;
        this.failureOf = failureOf;
    }

    /**
     * Returns a store whose calls fail with {@link IndeterminateOutcomeException} if they throw.
     */
    public static KeyValueStore guard(KeyValueStore store) {
        return guard(
                KeyValueStore.class,
                store,
                thrown -> new IndeterminateOutcomeException("the call failed: " + thrown));
    }

    /** Returns a gateway whose calls fail with the exception that they throw. */
    public static WorkerGateway guard(WorkerGateway workers) {
        return guard(WorkerGateway.class, workers, Function.identity());
    }

    /** Returns a provider whose calls fail with the exception that they throw. */
    public static CloudProvider guard(CloudProvider cloud) {
        return guard(CloudProvider.class, cloud, Function.identity());
    }

    /** Returns a gateway whose calls fail with the exception that they throw. */
    public static PeerGateway guard(PeerGateway peers) {
        return guard(PeerGateway.class, peers, Function.identity());
    }

    private static <T> T guard(
            Class<T> port,
            T implementation,
            Function<RuntimeException, RuntimeException> failureOf) {
        Object guarded =
                Proxy.newProxyInstance(
                        port.getClassLoader(),
                        new Class<?>[] {port},
                        new PortGuard(implementation, failureOf));
        return port.cast(guarded);
    }

    @Override
    public Object invoke(Object proxy, Method method, Object[] arguments) throws Throwable {
        try {
            return method.invoke(implementation, arguments);
        } catch (InvocationTargetException failed) {
            boolean returnsFuture = method.getReturnType() == CompletableFuture.class;
            boolean returnsNothing = method.getReturnType() == void.class;
            if (failed.getCause() instanceof RuntimeException thrown
                    && (returnsFuture || returnsNothing)) {
                log(method, thrown);
                return returnsFuture
                        ? CompletableFuture.failedFuture(failureOf.apply(thrown))
                        : null;
            }
            throw failed.getCause();
        }
    }

    private void log(Method method, RuntimeException thrown) {
        String port = method.getDeclaringClass().getSimpleName();
        if (loggedMethods.add(method.getName())) {
            LOG.error("call failed port={} method={}", port, method.getName(), thrown);
        } else {
            LOG.debug("call failed again port={} method={}", port, method.getName(), thrown);
        }
    }
}
