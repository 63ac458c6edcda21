package org.meadowhollow.transport;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Stands in for the loop's thread where Undertow's client opens a connection, and keeps hold of the
 * attempt, which that client does not hand out. An attempt that is given up must be cancelled:
 * behind a cut it keeps its socket for two minutes, and a leader that asked hundreds of silent
 * machines ran out of sockets for its users and healthy workers. It is never started as a thread;
 * everything is handed to the real one.
 */
final class AttemptCapturingIoThread extends XnioIoThread {
    private final XnioIoThread delegate;
    private IoFuture<StreamConnection> latestAttempt;

    AttemptCapturingIoThread(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.delegate = thread;
    }

    /**
     * The attempt begun last, which this forgets; to be called right after it began, on the loop's
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
