package org.meadowhollow.protocol.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.zip.CRC32C;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.RecordDigests;

/**
 * Hints between controllers: who leads, in which term, whom the state service serves, and who hears
 * which workers.
 */
public final class PeerClient implements PeerGateway, Http.SimpleRequestHandler {
    private static final String LEADER_PATH = "/leader";
    private static final String STATUS_PATH = "/served";
    private static final String RECENT_HEARTBEATS_PATH = "/hearing";
    private static final String RISK_TABLES_PATH = "/tables";
    private static final String DIGESTS_PATH = "/digests";

    /** The form of what standbys are told; one that is not known is not read. */
    static final int FORMAT_VERSION = 1;

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    /** A node that is up but slow must not be taken for one that is silent too soon. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Bytes; most hints are a name and a number, and a question about machines names some hundred.
     */
    private static final int INITIAL_BUFFER_BYTES = 512;

    private static final int MAX_MESSAGE_BYTES = 60 * 1024;

    /** Machines that one question may name. */
    private static final int MAX_MACHINES_PER_REQUEST = 1000;

    /** What one controller tells another. */
    record LeaderMessage(String member, long term) {}

    /**
     * Whether the state service serves a controller, and whether it leads and misses many workers'
     * reports.
     */
    record StatusMessage(boolean served, boolean deaf) {}

    /** Which of some machines have reported to a controller within a time. */
    record RecentHeartbeatsRequest(String[] machines, long withinMillis) {}

    /** The answer: a bit for each machine asked about, in their order. */
    record RecentHeartbeatsMessage(boolean served, long[] heard) {}

    /** A question about a leader's tables, and what the node that asks says of itself. */
    record RiskTablesRequest(
            int form,
            String member,
            long incarnation,
            String zone,
            String program,
            int schema,
            long revision,
            long term,
            long after,
            String afterMachine) {}

    /**
     * An answer of which a receiver can tell whether it knows its form and whether it is whole,
     * before it reads it.
     */
    record ChecksummedMessage(int form, int checksum, byte[] body) {}

    /** The answer about tables: the columns of its parts. */
    record RiskTablesMessage(
            long term,
            long upTo,
            boolean whole,
            boolean more,
            String[] machines,
            int[] incarnations,
            long[] sessions,
            long[] seqs,
            int[][] tables,
            long[][] samples) {}

    /** The digests of a leader's records. */
    record DigestsMessage(String[] parts, int[] records, long[] sums, String[] unsettled) {}

    /** What a leading node tells its standbys; all answers are empty while it does not lead. */
    public interface HandoverSource {
        Optional<RiskTableDelta> riskTableDelta(RiskTableRequest question);

        Optional<RecordDigests> recordDigests();
    }

    private static final HandoverSource NOT_LEADING =
            new HandoverSource() {
                @Override
                public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest question) {
                    return Optional.empty();
                }

                @Override
                public Optional<RecordDigests> recordDigests() {
                    return Optional.empty();
                }
            };

    /** Those of some machines that have reported to this node within a time. */
    public interface HeartbeatQuery {
        Set<MachineId> recentlyHeard(List<MachineId> machines, Duration within);
    }

    private final Http.Client http;
    private final Map<String, String> addresses;

    /**
     * Made for the first hint: it brings many classes, and a node takes requests before it hears
     * any.
     */
    private Kryo kryo;

    private volatile BooleanSupplier storeReachable = () -> false;
    private volatile BooleanSupplier isolated = () -> false;
    private volatile HandoverSource handoverSource = NOT_LEADING;
    private volatile HeartbeatQuery heartbeatQuery = (machines, within) -> Set.of();
    private volatile BiConsumer<FencingToken, String> leaderListener = (fencingToken, member) -> {};

    /**
     * @param addresses of the other controllers, by member
     */
    public PeerClient(Http.Client http, Map<String, String> addresses) {
        this.http = http;
        this.addresses = Map.copyOf(addresses);
    }

    private Kryo kryo() {
        if (kryo == null) {
            kryo = new Kryo();
            kryo.setRegistrationRequired(true);
            kryo.register(LeaderMessage.class);
            kryo.register(StatusMessage.class);
            kryo.register(String[].class);
            kryo.register(long[].class);
            kryo.register(RecentHeartbeatsRequest.class);
            kryo.register(RecentHeartbeatsMessage.class);
            kryo.register(byte[].class);
            kryo.register(int[].class);
            kryo.register(int[][].class);
            kryo.register(long[][].class);
            kryo.register(RiskTablesRequest.class);
            kryo.register(ChecksummedMessage.class);
            kryo.register(RiskTablesMessage.class);
            kryo.register(DigestsMessage.class);
        }
        return kryo;
    }

    /** Says to others whether the state service serves this controller. */
    public void storeReachable(BooleanSupplier now) {
        storeReachable = now;
    }

    /**
     * Says to others whether this node leads and misses many reports, and which workers have come
     * to it.
     */
    public void hearing(BooleanSupplier deafNow, HeartbeatQuery heard) {
        isolated = deafNow;
        heartbeatQuery = heard;
    }

    /** Answers standbys while this node leads. */
    public void handoverSource(HandoverSource now) {
        handoverSource = now;
    }

    public void leaderListener(BiConsumer<FencingToken, String> told) {
        leaderListener = told;
    }

    @Override
    public void announceLeader(String leader, FencingToken fencingToken) {
        byte[] hint = encode(new LeaderMessage(leader, fencingToken.value()));
        for (String address : addresses.values()) {
            http.send(address, "POST", LEADER_PATH, hint, RESPONSE_TIMEOUT);
        }
    }

    @Override
    public CompletableFuture<Http.Reply> handle(String method, String path, byte[] body) {
        if (method.equals("GET") && path.equals(STATUS_PATH)) {
            return CompletableFuture.completedFuture(
                    new Http.Reply(
                            200,
                            encode(
                                    new StatusMessage(
                                            storeReachable.getAsBoolean(),
                                            isolated.getAsBoolean())),
                            0));
        }
        if (method.equals("POST") && path.equals(RECENT_HEARTBEATS_PATH)) {
            return CompletableFuture.completedFuture(answerRecentHeartbeats(body));
        }
        if (method.equals("POST") && path.equals(RISK_TABLES_PATH)) {
            return CompletableFuture.completedFuture(answerRiskTables(body));
        }
        if (method.equals("GET") && path.equals(DIGESTS_PATH)) {
            return CompletableFuture.completedFuture(
                    handoverSource
                            .recordDigests()
                            .map(this::digestsReply)
                            .orElseGet(() -> Http.Reply.error(404, "this node does not lead")));
        }
        if (!method.equals("POST") || !path.equals(LEADER_PATH)) {
            return CompletableFuture.completedFuture(Http.Reply.error(404, "no such path"));
        }
        LeaderMessage hint;
        try {
            hint = (LeaderMessage) decode(body);
        } catch (KryoException | IllegalArgumentException | ClassCastException broken) {
            return CompletableFuture.completedFuture(Http.Reply.error(400, "not a hint"));
        }
        leaderListener.accept(new FencingToken(hint.term()), hint.member());
        return CompletableFuture.completedFuture(Http.Reply.of(200, MessageReader.mapOf()));
    }

    // ---- what standbys are told ----

    private Http.Reply answerRiskTables(byte[] body) {
        RiskTablesRequest asked;
        try {
            asked = (RiskTablesRequest) decode(body);
        } catch (KryoException | IllegalArgumentException | ClassCastException broken) {
            return Http.Reply.error(400, "not a question");
        }
        if (asked.form() != FORMAT_VERSION) {
            return Http.Reply.error(400, "a question of an unknown form");
        }
        RiskTableRequest question =
                new RiskTableRequest(
                        new ControllerStatus(
                                asked.member(),
                                asked.incarnation(),
                                asked.zone(),
                                asked.program(),
                                asked.schema(),
                                new Revision(asked.revision())),
                        new FencingToken(asked.term()),
                        asked.after(),
                        asked.afterMachine());
        return handoverSource
                .riskTableDelta(question)
                .map(this::riskTablesReply)
                .orElseGet(() -> Http.Reply.error(404, "this node does not lead"));
    }

    private Http.Reply riskTablesReply(RiskTableDelta delta) {
        List<RiskTableDelta.MachineEntry> parts = delta.entries();
        return checksummedReply(
                new RiskTablesMessage(
                        delta.token().value(),
                        delta.lastSample(),
                        delta.fullTables(),
                        delta.hasMore(),
                        parts.stream()
                                .map(machineEntry -> machineEntry.machine().value())
                                .toArray(String[]::new),
                        parts.stream()
                                .mapToInt(RiskTableDelta.MachineEntry::machineIdentityHash)
                                .toArray(),
                        parts.stream()
                                .mapToLong(machineEntry -> machineEntry.workerIncarnation().value())
                                .toArray(),
                        parts.stream()
                                .mapToLong(RiskTableDelta.MachineEntry::sequenceNumber)
                                .toArray(),
                        parts.stream()
                                .map(RiskTableDelta.MachineEntry::table)
                                .toArray(int[][]::new),
                        parts.stream()
                                .map(RiskTableDelta.MachineEntry::samples)
                                .toArray(long[][]::new)));
    }

    private Http.Reply digestsReply(RecordDigests recordDigests) {
        String[] parts = recordDigests.parts().keySet().toArray(String[]::new);
        return checksummedReply(
                new DigestsMessage(
                        parts,
                        recordDigests.parts().values().stream()
                                .mapToInt(RecordDigests.PartDigest::recordCount)
                                .toArray(),
                        recordDigests.parts().values().stream()
                                .mapToLong(RecordDigests.PartDigest::hashSum)
                                .toArray(),
                        recordDigests.partsBeingWritten().toArray(String[]::new)));
    }

    private Http.Reply checksummedReply(Object hint) {
        byte[] body = encode(hint);
        return new Http.Reply(
                200, encode(new ChecksummedMessage(FORMAT_VERSION, checksum(body), body)), 0);
    }

    private static int checksum(byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        return (int) sum.getValue();
    }

    /**
     * Empty if there is none: no answer, a node that does not lead, or one that knows no such
     * question.
     */
    private <T> Optional<T> verifyAndDecode(Http.Reply reply, Throwable failure, Class<T> type) {
        if (failure != null || reply.status() != 200) {
            return Optional.empty();
        }
        try {
            ChecksummedMessage hint = (ChecksummedMessage) decode(reply.body());
            if (hint.form() != FORMAT_VERSION) {
                throw new UnreadableResponseException("its form " + hint.form() + " is not known");
            }
            if (hint.checksum() != checksum(hint.body())) {
                throw new UnreadableResponseException("it is damaged");
            }
            return Optional.of(type.cast(decode(hint.body())));
        } catch (KryoException | IllegalArgumentException | ClassCastException broken) {
            throw new UnreadableResponseException("it makes no sense");
        }
    }

    @Override
    public CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest question) {
        String address = addresses.get(leader);
        if (address == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ControllerStatus from = question.requester();
        byte[] body =
                encode(
                        new RiskTablesRequest(
                                FORMAT_VERSION,
                                from.member(),
                                from.processIncarnation(),
                                from.zone(),
                                from.softwareVersion(),
                                from.schemaVersion(),
                                from.replicaRevision().value(),
                                question.token().value(),
                                question.afterSample(),
                                question.afterMachine()));
        return http.send(address, "POST", RISK_TABLES_PATH, body, RESPONSE_TIMEOUT)
                .handle(
                        (reply, failure) ->
                                verifyAndDecode(reply, failure, RiskTablesMessage.class)
                                        .map(PeerClient::decodeDelta));
    }

    private static RiskTableDelta decodeDelta(RiskTablesMessage hint) {
        int count = hint.machines().length;
        if (hint.incarnations().length != count
                || hint.sessions().length != count
                || hint.seqs().length != count
                || hint.tables().length != count
                || hint.samples().length != count) {
            throw new UnreadableResponseException("its columns differ in length");
        }
        List<RiskTableDelta.MachineEntry> parts = new ArrayList<>(count);
        for (int at = 0; at < count; at++) {
            parts.add(
                    new RiskTableDelta.MachineEntry(
                            new MachineId(hint.machines()[at]),
                            hint.incarnations()[at],
                            new WorkerIncarnation(hint.sessions()[at]),
                            hint.seqs()[at],
                            hint.tables()[at],
                            hint.samples()[at]));
        }
        return new RiskTableDelta(
                new FencingToken(hint.term()), hint.upTo(), hint.whole(), hint.more(), parts);
    }

    @Override
    public CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader) {
        String address = addresses.get(leader);
        if (address == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return http.send(address, "GET", DIGESTS_PATH, null, RESPONSE_TIMEOUT)
                .handle(
                        (reply, failure) ->
                                verifyAndDecode(reply, failure, DigestsMessage.class)
                                        .map(PeerClient::digests));
    }

    private static RecordDigests digests(DigestsMessage hint) {
        if (hint.records().length != hint.parts().length
                || hint.sums().length != hint.parts().length) {
            throw new UnreadableResponseException("its columns differ in length");
        }
        Map<String, RecordDigests.PartDigest> parts = new HashMap<>();
        for (int at = 0; at < hint.parts().length; at++) {
            parts.put(
                    hint.parts()[at],
                    new RecordDigests.PartDigest(hint.records()[at], hint.sums()[at]));
        }
        return RecordDigests.of(parts, Set.of(hint.unsettled()));
    }

    // ---- who hears the workers ----

    private Http.Reply answerRecentHeartbeats(byte[] body) {
        RecentHeartbeatsRequest asked;
        try {
            asked = (RecentHeartbeatsRequest) decode(body);
        } catch (KryoException | IllegalArgumentException | ClassCastException broken) {
            return Http.Reply.error(400, "not a question");
        }
        if (asked.machines().length > MAX_MACHINES_PER_REQUEST) {
            return Http.Reply.error(400, "too many machines");
        }
        List<MachineId> machines = Arrays.stream(asked.machines()).map(MachineId::new).toList();
        Set<MachineId> heard =
                heartbeatQuery.recentlyHeard(machines, Duration.ofMillis(asked.withinMillis()));
        BitSet bits = new BitSet();
        for (int at = 0; at < machines.size(); at++) {
            bits.set(at, heard.contains(machines.get(at)));
        }
        return new Http.Reply(
                200,
                encode(
                        new RecentHeartbeatsMessage(
                                storeReachable.getAsBoolean(), bits.toLongArray())),
                0);
    }

    @Override
    public CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within) {
        byte[] question =
                encode(
                        new RecentHeartbeatsRequest(
                                machines.stream().map(MachineId::value).toArray(String[]::new),
                                within.toMillis()));
        List<CompletableFuture<PeerReachabilityReport>> answers = new ArrayList<>();
        addresses.forEach(
                (member, address) ->
                        answers.add(
                                http.send(
                                                address,
                                                "POST",
                                                RECENT_HEARTBEATS_PATH,
                                                question,
                                                PROBE_TIMEOUT)
                                        .handle(
                                                (reply, failure) ->
                                                        failure == null
                                                                ? decodeReachability(
                                                                        member, machines, reply)
                                                                : PeerReachabilityReport.unanswered(
                                                                        member))));
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(unused -> answers.stream().map(CompletableFuture::join).toList());
    }

    private PeerReachabilityReport decodeReachability(
            String member, List<MachineId> machines, Http.Reply reply) {
        try {
            if (reply.status() == 200
                    && decode(reply.body()) instanceof RecentHeartbeatsMessage hint) {
                BitSet bits = BitSet.valueOf(hint.heard());
                Set<MachineId> heard = new HashSet<>();
                for (int at = bits.nextSetBit(0);
                        at >= 0 && at < machines.size();
                        at = bits.nextSetBit(at + 1)) {
                    heard.add(machines.get(at));
                }
                return new PeerReachabilityReport(member, true, hint.served(), heard);
            }
        } catch (KryoException | IllegalArgumentException broken) {
            // Another version's answer tells nothing, like none.
        }
        return PeerReachabilityReport.unanswered(member);
    }

    @Override
    public CompletableFuture<Boolean> anyPeerReachesStore() {
        return anyTrue(
                addresses.values().stream()
                        .map(
                                address ->
                                        http.send(
                                                        address,
                                                        "GET",
                                                        STATUS_PATH,
                                                        null,
                                                        RESPONSE_TIMEOUT)
                                                .handle(
                                                        (reply, failure) ->
                                                                failure == null
                                                                        && statusMatches(
                                                                                reply,
                                                                                StatusMessage
                                                                                        ::served)))
                        .toList());
    }

    @Override
    public CompletableFuture<ProbeResult> probe(String member) {
        return probeDirectly(member)
                .thenCompose(
                        probeResult -> {
                            if (probeResult != ProbeResult.CONNECTION_REFUSED) {
                                return CompletableFuture.completedFuture(probeResult);
                            }
                            // A packet filter between the controllers refuses connections to all of
                            // them.
                            return anyTrue(
                                            addresses.keySet().stream()
                                                    .filter(other -> !other.equals(member))
                                                    .map(
                                                            other ->
                                                                    probeDirectly(other)
                                                                            .thenApply(
                                                                                    its ->
                                                                                            its
                                                                                                            == ProbeResult
                                                                                                                    .HEALTHY
                                                                                                    || its
                                                                                                            == ProbeResult
                                                                                                                    .ISOLATED))
                                                    .toList())
                                    .thenApply(
                                            othersAnswer ->
                                                    othersAnswer
                                                            ? ProbeResult.CONNECTION_REFUSED
                                                            : ProbeResult.UNRESPONSIVE);
                        });
    }

    /** Whether any of the answers is yes, as soon as one is. */
    private static CompletableFuture<Boolean> anyTrue(List<CompletableFuture<Boolean>> answers) {
        CompletableFuture<Boolean> any = new CompletableFuture<>();
        answers.forEach(
                answer ->
                        answer.thenAccept(
                                yes -> {
                                    if (yes) {
                                        any.complete(true);
                                    }
                                }));
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenRun(() -> any.complete(false));
        return any;
    }

    private CompletableFuture<ProbeResult> probeDirectly(String member) {
        String address = addresses.get(member);
        if (address == null) {
            return CompletableFuture.completedFuture(ProbeResult.UNRESPONSIVE);
        }
        return http.send(address, "GET", STATUS_PATH, null, PROBE_TIMEOUT)
                .handle(
                        (reply, failure) ->
                                failure == null
                                        ? statusMatches(reply, StatusMessage::deaf)
                                                ? ProbeResult.ISOLATED
                                                : ProbeResult.HEALTHY
                                        : failure instanceof Http.ConnectionRefusedException
                                                ? ProbeResult.CONNECTION_REFUSED
                                                : ProbeResult.UNRESPONSIVE);
    }

    private boolean statusMatches(Http.Reply reply, Predicate<StatusMessage> what) {
        try {
            return reply.status() == 200
                    && decode(reply.body()) instanceof StatusMessage hint
                    && what.test(hint);
        } catch (KryoException | IllegalArgumentException broken) {
            return false;
        }
    }

    private synchronized byte[] encode(Object hint) {
        Output output = new Output(INITIAL_BUFFER_BYTES, MAX_MESSAGE_BYTES);
        kryo().writeClassAndObject(output, hint);
        return output.toBytes();
    }

    private synchronized Object decode(byte[] body) {
        return kryo().readClassAndObject(new Input(body));
    }
}
