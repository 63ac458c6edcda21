package org.meadowhollow.protocol.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.meadowhollow.bookkeeping.Term;
import org.meadowhollow.coordination.Peers;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;

/** Hints between controllers: who leads, in which term. */
public final class PeerLink implements Peers, Http.Handler {
    private static final String PATH = "/leader";
    private static final Duration ANSWER = Duration.ofSeconds(2);
    /** Bytes; a hint is a name and a number. */
    private static final int MOST_BYTES = 512;

    /** What one controller tells another. */
    record LeaderHint(String member, long term) {
    }

    private final Http.Client http;
    private final List<String> addresses;
    private final Kryo kryo = new Kryo();
    private volatile BiConsumer<Term, String> listener = (term, member) -> { };

    public PeerLink(Http.Client http, List<String> addresses) {
        this.http = http;
        this.addresses = List.copyOf(addresses);
        kryo.setRegistrationRequired(true);
        kryo.register(LeaderHint.class);
    }

    public void listener(BiConsumer<Term, String> told) {
        listener = told;
    }

    @Override
    public void announce(String leader, Term term) {
        byte[] hint = encode(new LeaderHint(leader, term.value()));
        for (String address : addresses) {
            http.send(address, "POST", PATH, hint, ANSWER);
        }
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        if (!method.equals("POST") || !path.equals(PATH)) {
            return CompletableFuture.completedFuture(Http.Reply.error(404, "no such path"));
        }
        LeaderHint hint;
        try {
            hint = decode(body);
        } catch (KryoException | IllegalArgumentException | ClassCastException broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, "not a hint"));
        }
        listener.accept(new Term(hint.term()), hint.member());
        return CompletableFuture.completedFuture(Http.Reply.of(200, Fields.of()));
    }

    private synchronized byte[] encode(LeaderHint hint) {
        Output output = new Output(MOST_BYTES);
        kryo.writeClassAndObject(output, hint);
        return output.toBytes();
    }

    private synchronized LeaderHint decode(byte[] body) {
        return (LeaderHint) kryo.readClassAndObject(new Input(body));
    }
}
