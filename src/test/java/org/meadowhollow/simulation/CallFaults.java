package org.meadowhollow.simulation;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * Lets calls of the ports to other systems throw an exception at once, which their contracts rule
 * out: some before the request is sent, some after. Not thread-safe.
 */
final class CallFaults {
    private Random random;
    private double throwingShare;
    private int thrownCount;

    /** The method whose next call throws; null if there is none. */
    private String throwingMethod;

    /** Lets this share of all calls throw; 0 ends the fault. */
    void throwAtRandom(Random source, double share) {
        random = source;
        throwingShare = share;
    }

    /** Lets the next call of a method throw before anything is sent. */
    void throwNextCallOf(String method) {
        throwingMethod = method;
    }

    /** How many calls have thrown. */
    int thrownCount() {
        return thrownCount;
    }

    /** Returns a port that forwards its calls, unless they are to throw. */
    <T> T wrap(Class<T> port, T target) {
        InvocationHandler handler = (proxy, method, arguments) -> call(target, method, arguments);
        return port.cast(
                Proxy.newProxyInstance(port.getClassLoader(), new Class<?>[] {port}, handler));
    }

    private Object call(Object target, Method method, Object[] arguments) throws Throwable {
        if (method.getName().equals(throwingMethod)) {
            throwingMethod = null;
            throw faultOf(method);
        }
        boolean isThrowing =
                method.getReturnType() == CompletableFuture.class
                        && throwingShare > 0
                        && random.nextDouble() < throwingShare;
        boolean isSent = !isThrowing || random.nextBoolean();
        Object result = isSent ? forward(target, method, arguments) : null;
        if (isThrowing) {
            throw faultOf(method);
        }
        return result;
    }

    private IllegalStateException faultOf(Method method) {
        thrownCount++;
        return new IllegalStateException("fault of the test: " + method.getName());
    }

    private static Object forward(Object target, Method method, Object[] arguments)
            throws Throwable {
        try {
            return method.invoke(target, arguments);
        } catch (InvocationTargetException failure) {
            throw failure.getCause();
        }
    }
}
