package org.meadowhollow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.meadowhollow.protocol.Http;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Requests to other parties: one at a time on a connection, idle connections kept for the next one.
 * All work is done on the loop's thread.
 */
public final class HttpClient implements Http.Client {
    /** Idle connections kept for an address: as many as a busy caller has requests on their way. */
    private static final int MOST_IDLE = 12;

    /**
     * Open and opening connections for an address; a dead one must not eat the process's sockets.
     */
    public static final int MOST_OPEN = 24;

    /** A list of the state service holds 512 KiB; a watch may answer with all that has changed. */
    private static final int MOST_BODY = 8 * 1024 * 1024;

    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final Dialer dialer;
    private final Map<String, Target> targets = new HashMap<>();

    public HttpClient(XnioLoop loop, ByteBufferPool buffers) {
        this.loop = loop;
        this.buffers = buffers;
        this.dialer = new Dialer(loop.thread());
    }

    private static final class Target {
        private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
        private int open;
    }

    @Override
    public CompletableFuture<Http.Reply> send(
            String address, String method, String path, byte[] body, Duration timeout) {
        Call call =
                new Call(
                        address,
                        method,
                        path,
                        body,
                        new Patience(System.nanoTime(), timeout.toNanos()));
        call.await(timeout.toNanos());
        if (Thread.currentThread() == loop.thread()) {
            call.start();
        } else {
            loop.thread().execute(call::start);
        }
        return call.answer;
    }

    /** One request; every method runs on the loop's thread. */
    private final class Call {
        private final String address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Patience patience;
        private final CompletableFuture<Http.Reply> answer = new CompletableFuture<>();
        private XnioExecutor.Key timer;
        private ClientConnection connection;

        /** Where this call waits for its connection, until it has it or gives it up. */
        private Target connecting;

        private IoFuture<StreamConnection> attempt;
        private boolean sent;
        private boolean refused;
        private boolean over;

        Call(String address, String method, String path, byte[] body, Patience patience) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.patience = patience;
        }

        private void await(long nanos) {
            timer =
                    loop.thread()
                            .executeAfter(
                                    () -> {
                                        long more = patience.more(System.nanoTime());
                                        if (more > 0) {
                                            await(more);
                                        } else {
                                            fail("no answer in time");
                                        }
                                    },
                                    nanos,
                                    TimeUnit.NANOSECONDS);
        }

        void start() {
            Target target = targets.computeIfAbsent(address, unused -> new Target());
            ClientConnection kept;
            while ((kept = target.idle.poll()) != null) {
                if (kept.isOpen()) {
                    use(kept);
                    return;
                }
            }
            if (target.open >= MOST_OPEN) {
                fail("too many open connections to " + address);
                return;
            }
            target.open++;
            connecting = target;
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(ClientConnection made) {
                                    if (connecting == null) {
                                        IoUtils.safeClose(made);
                                        return;
                                    }
                                    connecting = null;
                                    made.getCloseSetter().set(unused -> closed(target));
                                    use(made);
                                }

                                @Override
                                public void failed(IOException failure) {
                                    refused = failure instanceof ConnectException;
                                    fail("no connection to " + address);
                                }
                            },
                            URI.create("http://" + address),
                            dialer,
                            buffers,
                            OptionMap.EMPTY);
            attempt = dialer.takeLatest();
        }

        private void closed(Target target) {
            target.open--;
            if (target.open == 0) {
                targets.remove(address, target);
            }
        }

        private void use(ClientConnection free) {
            connection = free;
            sent = true;
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(method)).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, address);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/msgpack");
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
            }
            connection.sendRequest(
                    request,
                    new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange exchange) {
                            exchange.setResponseListener(
                                    new ClientCallback<>() {
                                        @Override
                                        public void completed(ClientExchange answered) {
                                            read(answered, new ByteArrayOutputStream());
                                        }

                                        @Override
                                        public void failed(IOException failure) {
                                            lost(failure);
                                        }
                                    });
                            try {
                                write(exchange.getRequestChannel());
                            } catch (IOException failure) {
                                lost(failure);
                            }
                        }

                        @Override
                        public void failed(IOException failure) {
                            lost(failure);
                        }
                    });
        }

        private void write(StreamSinkChannel channel) throws IOException {
            if (body == null) {
                channel.shutdownWrites();
                finish(channel);
                return;
            }
            ByteBuffer left = ByteBuffer.wrap(body);
            while (left.hasRemaining()) {
                if (channel.write(left) == 0) {
                    channel.getWriteSetter()
                            .set(
                                    same -> {
                                        try {
                                            while (left.hasRemaining()) {
                                                if (channel.write(left) == 0) {
                                                    return;
                                                }
                                            }
                                            channel.shutdownWrites();
                                            finish(channel);
                                        } catch (IOException failure) {
                                            lost(failure);
                                        }
                                    });
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            finish(channel);
        }

        private void finish(StreamSinkChannel channel) throws IOException {
            if (!channel.flush()) {
                channel.getWriteSetter()
                        .set(
                                same -> {
                                    try {
                                        if (channel.flush()) {
                                            channel.suspendWrites();
                                        }
                                    } catch (IOException failure) {
                                        lost(failure);
                                    }
                                });
                channel.resumeWrites();
            }
        }

        private void read(ClientExchange exchange, ByteArrayOutputStream read) {
            StreamSourceChannel channel = exchange.getResponseChannel();
            channel.getReadSetter().set(same -> drain(exchange, channel, read));
            drain(exchange, channel, read);
        }

        private void drain(
                ClientExchange exchange, StreamSourceChannel channel, ByteArrayOutputStream read) {
            try (PooledByteBuffer pooled = buffers.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (true) {
                    buffer.clear();
                    int count = channel.read(buffer);
                    if (count == 0) {
                        channel.resumeReads();
                        return;
                    }
                    if (count < 0) {
                        succeed(exchange, read.toByteArray());
                        return;
                    }
                    buffer.flip();
                    byte[] part = new byte[count];
                    buffer.get(part);
                    read.write(part, 0, count);
                    if (read.size() > MOST_BODY) {
                        fail("the answer is too large");
                        return;
                    }
                }
            } catch (IOException failure) {
                lost(failure);
            }
        }

        private void succeed(ClientExchange exchange, byte[] bytes) {
            if (over) {
                return;
            }
            over = true;
            timer.remove();
            Target target = targets.get(address);
            String keep = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION);
            if (target != null
                    && target.idle.size() < MOST_IDLE
                    && connection.isOpen()
                    && !"close".equalsIgnoreCase(keep)) {
                target.idle.push(connection);
            } else {
                IoUtils.safeClose(connection);
            }
            answer.complete(new Http.Reply(exchange.getResponse().getResponseCode(), bytes, 0));
        }

        /**
         * What one connection suffers its idle neighbours have suffered too; a new call needs a new
         * one.
         */
        private void dropIdle() {
            Target target = targets.get(address);
            ClientConnection kept;
            while (target != null && (kept = target.idle.poll()) != null) {
                IoUtils.safeClose(kept);
            }
        }

        private void lost(IOException failure) {
            fail("connection lost: " + failure.getMessage());
        }

        private void fail(String why) {
            if (over) {
                // Closing the connection below comes back here, with a cause that hides the first
                // one.
                return;
            }
            over = true;
            timer.remove();
            if (connecting != null) {
                // Given up, it counts no more: behind a cut, attempts that hang would use up all
                // that may be open.
                closed(connecting);
                connecting = null;
                if (attempt != null) {
                    attempt.cancel();
                }
            }
            IoUtils.safeClose(connection);
            if (sent) {
                dropIdle();
            }
            answer.completeExceptionally(
                    sent
                            ? new Http.NoAnswer(why)
                            : refused ? new Http.Refused(why) : new Http.NotSent(why));
        }
    }
}
