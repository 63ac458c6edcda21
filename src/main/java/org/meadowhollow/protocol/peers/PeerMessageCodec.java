package org.meadowhollow.protocol.peers;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.google.errorprone.annotations.concurrent.GuardedBy;
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
import java.util.zip.CRC32C;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.PeerGateway.UnreadableResponseException;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.peers.PeerMessages.ChecksummedMessage;
import org.meadowhollow.protocol.peers.PeerMessages.DigestsMessage;
import org.meadowhollow.protocol.peers.PeerMessages.LeaderMessage;
import org.meadowhollow.protocol.peers.PeerMessages.RecentHeartbeatsMessage;
import org.meadowhollow.protocol.peers.PeerMessages.RecentHeartbeatsRequest;
import org.meadowhollow.protocol.peers.PeerMessages.RiskTablesMessage;
import org.meadowhollow.protocol.peers.PeerMessages.RiskTablesRequest;
import org.meadowhollow.protocol.peers.PeerMessages.StatusMessage;
import org.meadowhollow.storage.RecordDigests;

/**
 * Encodes and decodes the Kryo messages between controllers. A node's {@link PeerClient} and {@link
 * PeerServer} share one codec. Thread-safe: Kryo itself is not, so the codec's lock is held while a
 * message is encoded or decoded.
 */
public final class PeerMessageCodec {
    /**
     * The format version of the messages between a leader and its standbys; messages of another
     * version are rejected.
     */
    static final int FORMAT_VERSION = 1;

    /**
     * The initial size of the buffer: enough for most messages, which hold a name and a number; the
     * buffer grows for requests that name hundreds of machines.
     */
    private static final int INITIAL_BUFFER_BYTES = 512;

    private static final int MAX_MESSAGE_BYTES = 60 * 1024;

    /** The maximum number of machines that one request may name. */
    private static final int MAX_MACHINES_PER_REQUEST = 1000;

    // Error texts that are sent to the other node; part of the protocol, so they must not change.
    private static final String NOT_AN_ANNOUNCEMENT = "not a hint";
    private static final String NOT_A_QUESTION = "not a question";

    /**
     * Created with the first message, since Kryo loads many classes, and a starting node accepts
     * user requests before it exchanges messages with other controllers.
     */
    @GuardedBy("this")
    private Kryo kryo;

    /**
     * Returns the Kryo instance. The numbers of classes on the wire follow from the order of
     * registration, so new classes are registered last.
     */
    @GuardedBy("this")
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

    private synchronized byte[] write(Object message) {
        Output output = new Output(INITIAL_BUFFER_BYTES, MAX_MESSAGE_BYTES);
        kryo().writeClassAndObject(output, message);
        return output.toBytes();
    }

    private synchronized Object read(byte[] body) {
        return kryo().readClassAndObject(new Input(body));
    }

    /**
     * Decodes the body of a request.
     *
     * @param errorText the error text if the body is malformed
     * @throws MalformedMessageException if the body is not a message of this type
     */
    private <T> T decodeRequest(byte[] body, Class<T> type, String errorText)
            throws MalformedMessageException {
        try {
            return type.cast(read(body));
        } catch (KryoException | IllegalArgumentException | ClassCastException malformed) {
            throw new MalformedMessageException(errorText);
        }
    }

    /** Decodes the body of a response; empty if it is damaged or from another version. */
    private <T> Optional<T> decodeResponse(byte[] body, Class<T> type) {
        try {
            Object message = read(body);
            return type.isInstance(message) ? Optional.of(type.cast(message)) : Optional.empty();
        } catch (KryoException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    // ---- leader announcements and status ----

    byte[] encodeLeader(String leader, FencingToken fencingToken) {
        return write(new LeaderMessage(leader, fencingToken.value()));
    }

    LeaderMessage decodeLeader(byte[] body) throws MalformedMessageException {
        return decodeRequest(body, LeaderMessage.class, NOT_AN_ANNOUNCEMENT);
    }

    byte[] encodeStatus(boolean storeReachable, boolean isolated) {
        return write(new StatusMessage(storeReachable, isolated));
    }

    Optional<StatusMessage> decodeStatus(byte[] body) {
        return decodeResponse(body, StatusMessage.class);
    }

    // ---- recent heartbeats ----

    /**
     * A decoded {@link RecentHeartbeatsRequest}.
     *
     * @param machines the machines that the controller is asked about
     * @param within heartbeats count if they arrived within this time before the response
     */
    record RecentHeartbeatsQuery(List<MachineId> machines, Duration within) {}

    /**
     * A decoded {@link RecentHeartbeatsMessage}.
     *
     * @param storeReachable whether the key-value store serves the controller
     * @param machines the requested machines whose heartbeats the controller received recently
     */
    record RecentHeartbeats(boolean storeReachable, Set<MachineId> machines) {}

    byte[] encodeRecentHeartbeatsRequest(List<MachineId> machines, Duration within) {
        return write(
                new RecentHeartbeatsRequest(
                        machines.stream().map(MachineId::value).toArray(String[]::new),
                        within.toMillis()));
    }

    /**
     * @throws MalformedMessageException if the body is not such a request, or names too many
     *     machines
     */
    RecentHeartbeatsQuery decodeRecentHeartbeatsRequest(byte[] body)
            throws MalformedMessageException {
        RecentHeartbeatsRequest message =
                decodeRequest(body, RecentHeartbeatsRequest.class, NOT_A_QUESTION);
        if (message.machines().length > MAX_MACHINES_PER_REQUEST) {
            throw new MalformedMessageException("too many machines");
        }
        return new RecentHeartbeatsQuery(
                Arrays.stream(message.machines()).map(MachineId::new).toList(),
                Duration.ofMillis(message.withinMillis()));
    }

    /**
     * @param asked the machines of the request, in its order
     * @param recent the machines among them that have sent a heartbeat recently
     */
    byte[] encodeRecentHeartbeats(
            boolean storeReachable, List<MachineId> asked, Set<MachineId> recent) {
        BitSet bits = new BitSet();
        for (int at = 0; at < asked.size(); at++) {
            bits.set(at, recent.contains(asked.get(at)));
        }
        return write(new RecentHeartbeatsMessage(storeReachable, bits.toLongArray()));
    }

    /**
     * @param asked the machines of the request, in its order
     */
    Optional<RecentHeartbeats> decodeRecentHeartbeats(byte[] body, List<MachineId> asked) {
        return decodeResponse(body, RecentHeartbeatsMessage.class)
                .map(
                        message ->
                                new RecentHeartbeats(
                                        message.served(),
                                        machinesOfSetBits(asked, message.heard())));
    }

    private static Set<MachineId> machinesOfSetBits(List<MachineId> asked, long[] words) {
        BitSet bits = BitSet.valueOf(words);
        Set<MachineId> recent = new HashSet<>();
        for (int at = bits.nextSetBit(0);
                at >= 0 && at < asked.size();
                at = bits.nextSetBit(at + 1)) {
            recent.add(asked.get(at));
        }
        return recent;
    }

    // ---- risk tables and digests for standbys ----

    byte[] encodeRiskTableRequest(RiskTableRequest request) {
        ControllerStatus requester = request.requester();
        return write(
                new RiskTablesRequest(
                        FORMAT_VERSION,
                        requester.member(),
                        requester.processIncarnation(),
                        requester.zone(),
                        requester.softwareVersion(),
                        requester.schemaVersion(),
                        requester.replicaRevision().value(),
                        request.token().value(),
                        request.afterSample(),
                        request.afterMachine()));
    }

    /**
     * @throws MalformedMessageException if the body is not such a request, or has another format
     *     version
     */
    RiskTableRequest decodeRiskTableRequest(byte[] body) throws MalformedMessageException {
        RiskTablesRequest message = decodeRequest(body, RiskTablesRequest.class, NOT_A_QUESTION);
        if (message.form() != FORMAT_VERSION) {
            throw new MalformedMessageException("a question of an unknown form");
        }
        return new RiskTableRequest(
                new ControllerStatus(
                        message.member(),
                        message.incarnation(),
                        message.zone(),
                        message.program(),
                        message.schema(),
                        new Revision(message.revision())),
                new FencingToken(message.term()),
                message.after(),
                message.afterMachine());
    }

    byte[] encodeRiskTables(RiskTableDelta delta) {
        List<RiskTableDelta.MachineEntry> entries = delta.entries();
        return encodeChecksummed(
                new RiskTablesMessage(
                        delta.token().value(),
                        delta.lastSample(),
                        delta.fullTables(),
                        delta.hasMore(),
                        entries.stream()
                                .map(entry -> entry.machine().value())
                                .toArray(String[]::new),
                        entries.stream()
                                .mapToInt(RiskTableDelta.MachineEntry::machineIdentityHash)
                                .toArray(),
                        entries.stream()
                                .mapToLong(entry -> entry.workerIncarnation().value())
                                .toArray(),
                        entries.stream()
                                .mapToLong(RiskTableDelta.MachineEntry::sequenceNumber)
                                .toArray(),
                        entries.stream()
                                .map(RiskTableDelta.MachineEntry::table)
                                .toArray(int[][]::new),
                        entries.stream()
                                .map(RiskTableDelta.MachineEntry::samples)
                                .toArray(long[][]::new)));
    }

    /**
     * @throws UnreadableResponseException if the message is damaged or of another format version
     */
    RiskTableDelta decodeRiskTables(byte[] body) {
        RiskTablesMessage message = decodeChecksummed(body, RiskTablesMessage.class);
        int count = message.machines().length;
        if (message.incarnations().length != count
                || message.sessions().length != count
                || message.seqs().length != count
                || message.tables().length != count
                || message.samples().length != count) {
            throw new UnreadableResponseException("its columns differ in length");
        }
        List<RiskTableDelta.MachineEntry> entries = new ArrayList<>(count);
        for (int at = 0; at < count; at++) {
            entries.add(
                    new RiskTableDelta.MachineEntry(
                            new MachineId(message.machines()[at]),
                            message.incarnations()[at],
                            new WorkerIncarnation(message.sessions()[at]),
                            message.seqs()[at],
                            message.tables()[at],
                            message.samples()[at]));
        }
        return new RiskTableDelta(
                new FencingToken(message.term()),
                message.upTo(),
                message.whole(),
                message.more(),
                entries);
    }

    byte[] encodeDigests(RecordDigests digests) {
        return encodeChecksummed(
                new DigestsMessage(
                        digests.parts().keySet().toArray(String[]::new),
                        digests.parts().values().stream()
                                .mapToInt(RecordDigests.PartDigest::recordCount)
                                .toArray(),
                        digests.parts().values().stream()
                                .mapToLong(RecordDigests.PartDigest::hashSum)
                                .toArray(),
                        digests.partsBeingWritten().toArray(String[]::new)));
    }

    /**
     * @throws UnreadableResponseException if the message is damaged or of another format version
     */
    RecordDigests decodeDigests(byte[] body) {
        DigestsMessage message = decodeChecksummed(body, DigestsMessage.class);
        int count = message.parts().length;
        if (message.records().length != count || message.sums().length != count) {
            throw new UnreadableResponseException("its columns differ in length");
        }
        Map<String, RecordDigests.PartDigest> parts = new HashMap<>();
        for (int at = 0; at < count; at++) {
            parts.put(
                    message.parts()[at],
                    new RecordDigests.PartDigest(message.records()[at], message.sums()[at]));
        }
        return RecordDigests.of(parts, Set.of(message.unsettled()));
    }

    // ---- checksums ----

    private byte[] encodeChecksummed(Object message) {
        byte[] body = write(message);
        return write(new ChecksummedMessage(FORMAT_VERSION, checksum(body), body));
    }

    private <T> T decodeChecksummed(byte[] bytes, Class<T> type) {
        try {
            ChecksummedMessage envelope = (ChecksummedMessage) read(bytes);
            if (envelope.form() != FORMAT_VERSION) {
                throw new UnreadableResponseException(
                        "its format version " + envelope.form() + " is unknown");
            }
            if (envelope.checksum() != checksum(envelope.body())) {
                throw new UnreadableResponseException("it is damaged");
            }
            return type.cast(read(envelope.body()));
        } catch (KryoException | IllegalArgumentException | ClassCastException malformed) {
            throw new UnreadableResponseException("it cannot be decoded");
        }
    }

    private static int checksum(byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        return (int) sum.getValue();
    }
}
