package org.meadowhollow.protocol.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.coordination.Peers;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;

/** Hints between controllers: who leads, in which term, and whom the state service serves. */
public final class PeerLink implements Peers, Http.Handler {
    private static final String LEADER = "/leader";
    private static final String SERVED = "/served";
    private static final Duration ANSWER = Duration.ofSeconds(2);
    /** A node that is up but slow must not be taken for one that is silent too soon. */
    private static final Duration SIGN = Duration.ofSeconds(1);
    /** Bytes; a hint is a name and a number. */
    private static final int MOST_BYTES = 512;

    /** What one controller tells another. */
    record LeaderHint(String member, long term) {
    }

    /** Whether the state service serves a controller. */
    record ServedHint(boolean served) {
    }

    private final Http.Client http;
    private final Map<String, String> addresses;
    /** Made for the first hint: it brings many classes, and a node takes requests before it hears any. */
    private Kryo kryo;
    private volatile BooleanSupplier served = () -> false;
    private volatile BiConsumer<Term, String> listener = (term, member) -> { };

    /**
     * @param addresses of the other controllers, by member
     */
    public PeerLink(Http.Client http, Map<String, String> addresses) {
        this.http = http;
        this.addresses = Map.copyOf(addresses);
    }

    private Kryo kryo() {
        if (kryo == null) {
            kryo = new Kryo();
            kryo.setRegistrationRequired(true);
            kryo.register(LeaderHint.class);
            kryo.register(ServedHint.class);
        }
        return kryo;
    }

    /** Says to others whether the state service serves this controller. */
    public void served(BooleanSupplier now) {
        served = now;
    }

    public void listener(BiConsumer<Term, String> told) {
        listener = told;
    }

    @Override
    public void announce(String leader, Term term) {
        byte[] hint = encode(new LeaderHint(leader, term.value()));
        for (String address : addresses.values()) {
            http.send(address, "POST", LEADER, hint, ANSWER);
        }
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        if (method.equals("GET") && path.equals(SERVED)) {
            return CompletableFuture.completedFuture(
                    new Http.Reply(200, encode(new ServedHint(served.getAsBoolean())), 0));
        }
        if (!method.equals("POST") || !path.equals(LEADER)) {
            return CompletableFuture.completedFuture(Http.Reply.error(404, "no such path"));
        }
        LeaderHint hint;
        try {
            hint = (LeaderHint) decode(body);
        } catch (KryoException | IllegalArgumentException | ClassCastException broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, "not a hint"));
        }
        listener.accept(new Term(hint.term()), hint.member());
        return CompletableFuture.completedFuture(Http.Reply.of(200, Fields.of()));
    }

    @Override
    public CompletableFuture<Boolean> anyServed() {
        return any(addresses.values().stream().map(address -> http.send(address, "GET", SERVED, null, ANSWER)
                .handle((reply, failure) -> failure == null && saysServed(reply))).toList());
    }

    @Override
    public CompletableFuture<Sign> signOf(String member) {
        return ask(member).thenCompose(sign -> {
            if (sign != Sign.REFUSES) {
                return CompletableFuture.completedFuture(sign);
            }
            // A packet filter between the controllers refuses connections to all of them.
            return any(addresses.keySet().stream().filter(other -> !other.equals(member))
                    .map(other -> ask(other).thenApply(its -> its == Sign.ANSWERS)).toList())
                    .thenApply(othersAnswer -> othersAnswer ? Sign.REFUSES : Sign.SILENT);
        });
    }

    /** Whether any of the answers is yes, as soon as one is. */
    private static CompletableFuture<Boolean> any(List<CompletableFuture<Boolean>> answers) {
        CompletableFuture<Boolean> any = new CompletableFuture<>();
        answers.forEach(answer -> answer.thenAccept(yes -> {
            if (yes) {
                any.complete(true);
            }
        }));
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenRun(() -> any.complete(false));
        return any;
    }

    private CompletableFuture<Sign> ask(String member) {
        String address = addresses.get(member);
        if (address == null) {
            return CompletableFuture.completedFuture(Sign.SILENT);
        }
        return http.send(address, "GET", SERVED, null, SIGN).handle((reply, failure) -> failure == null
                ? Sign.ANSWERS : failure instanceof Http.Refused ? Sign.REFUSES : Sign.SILENT);
    }

    private boolean saysServed(Http.Reply reply) {
        try {
            return reply.status() == 200 && decode(reply.body()) instanceof ServedHint hint && hint.served();
        } catch (KryoException | IllegalArgumentException broken) {
            return false;
        }
    }

    private synchronized byte[] encode(Object hint) {
        Output output = new Output(MOST_BYTES);
        kryo().writeClassAndObject(output, hint);
        return output.toBytes();
    }

    private synchronized Object decode(byte[] body) {
        return kryo().readClassAndObject(new Input(body));
    }
}
