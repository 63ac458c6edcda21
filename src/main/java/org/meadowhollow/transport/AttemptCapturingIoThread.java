package org.meadowhollow.transport;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Proxy of the event loop's thread that captures the connection attempts of Undertow's client,
 * which does not return them. An attempt that has timed out must be cancelled: behind a network
 * partition it keeps its socket for two minutes, and a leader that probes hundreds of unresponsive
 * machines would run out of sockets for its users and healthy workers. The proxy is never started
 * as a thread and delegates all work to the real one.
 */
final class AttemptCapturingIoThread extends XnioIoThread {
    private final XnioIoThread delegate;
    private IoFuture<StreamConnection> latestAttempt;

    AttemptCapturingIoThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.delegate = thread;
    }

    /**
     * Returns the latest connection attempt and clears it. Call it on the event loop's thread,
     * right after the attempt was started.
     */
    IoFuture<StreamConnection> takeLatestAttempt() {
        IoFuture<StreamConnection> taken = latestAttempt;
        latestAttempt = null;
        return taken;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> opened,
            OptionMap options) {
        latestAttempt = delegate.openStreamConnection(destination, opened, options);
        return latestAttempt;
    }

    @Override
    public void execute(Runnable work) {
        delegate.execute(work);
    }

    @Override
    public Key executeAfter(Runnable work, long time, TimeUnit unit) {
        return delegate.executeAfter(work, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable work, long time, TimeUnit unit) {
        return delegate.executeAtInterval(work, time, unit);
    }
}
