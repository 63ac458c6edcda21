package org.meadowhollow.transport;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A proxy of the event loop's thread that captures the attempt when Undertow's client opens a
 * connection, because that client does not return it. An attempt that has timed out must be
 * cancelled: behind a network partition it keeps its socket for two minutes, and a leader that
 * probed hundreds of unresponsive machines ran out of sockets for its users and healthy workers. It
 * is never started as a thread and delegates everything to the real one.
 */
final class AttemptCapturingIoThread extends XnioIoThread {
    private final XnioIoThread delegate;
    private IoFuture<StreamConnection> latestAttempt;

    AttemptCapturingIoThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.delegate = thread;
    }

    /**
     * Returns the latest attempt and forgets it; to be called right after it began, on the loop's
     * thread.
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
