package org.meadowhollow.protocol.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.PeerGateway.ProbeResult;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.golden.GoldenFile;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.storage.RecordDigests;

/**
 * Guards against changes of the bytes of messages between controllers, which nodes of another
 * version could not read. The golden files hold messages as an earlier version sent them: each must
 * decode to the same fields, and the same message must be encoded to the same bytes. Kryo writes no
 * names, but it orders the fields of a record by name and numbers the classes in the order of
 * registration, so renaming a field or registering a class elsewhere changes the bytes. The test
 * writes no file.
 */
class GoldenPeerMessagesTest {
    private final GoldenPeers peer = new GoldenPeers();

    private void assertSent(GoldenFile file) {
        assertEquals(1, peer.sent.size());
        assertEquals(file.key(), peer.sent.get(0).method() + ' ' + peer.sent.get(0).path());
        file.assertSameBytes(peer.sent.get(0).body());
    }

    @Test
    void leaderAnnouncementIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-leader");
        assertEquals("POST /leader", file.key());
        List<String> announcements = new ArrayList<>();
        peer.server.setLeaderListener(
                (fencingToken, member) ->
                        announcements.add(member + " in " + fencingToken.value()));
        peer.handle("POST", "/leader", file.bytes());
        assertEquals(List.of("n1 in 42"), announcements);
        peer.client.announceLeader("n1", new FencingToken(42));
        assertSent(file);
    }

    @Test
    void statusOfANodeThatReachesTheStoreIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-served");
        assertEquals("GET /served", file.key());
        peer.presetResponse = file.bytes();
        assertTrue(peer.client.anyPeerReachesStore().join());
        assertEquals(ProbeResult.HEALTHY, peer.client.probe("n1").join());
        assertEquals("GET /served", peer.sent.get(0).method() + ' ' + peer.sent.get(0).path());
        peer.setStatus(true, false);
        file.assertSameBytes(peer.handle("GET", "/served", null));
    }

    @Test
    void statusOfAnIsolatedLeaderWithoutTheStoreIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-deaf");
        peer.presetResponse = file.bytes();
        assertFalse(peer.client.anyPeerReachesStore().join());
        assertEquals(ProbeResult.ISOLATED, peer.client.probe("n1").join());
        peer.setStatus(false, true);
        file.assertSameBytes(peer.handle("GET", "/served", null));
    }

    @Test
    void recentHeartbeatsRequestIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-hearing-question");
        assertEquals("POST /hearing", file.key());
        List<MachineId> asked = new ArrayList<>();
        List<Duration> within = new ArrayList<>();
        peer.server.setHeartbeatSources(
                () -> false,
                (machines, span) -> {
                    asked.addAll(machines);
                    within.add(span);
                    return Set.of();
                });
        peer.handle("POST", "/hearing", file.bytes());
        assertEquals(
                List.of(
                        new MachineId("vm-000001"),
                        new MachineId("vm-000002"),
                        new MachineId("vm-000003")),
                asked);
        assertEquals(List.of(Duration.ofMillis(6500)), within);
        CompletableFuture<?> unused = peer.client.queryRecentHeartbeats(asked, within.get(0));
        assertSent(file);
    }

    @Test
    void recentHeartbeatsResponseIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-hearing");
        peer.presetResponse = file.bytes();
        assertEquals(
                List.of(
                        new PeerReachabilityReport(
                                "n1",
                                true,
                                true,
                                Set.of(new MachineId("vm-000001"), new MachineId("vm-000003")))),
                peer.client
                        .queryRecentHeartbeats(GoldenPeers.MACHINES, Duration.ofMillis(6500))
                        .join());
        peer.setStatus(true, false);
        file.assertSameBytes(
                peer.handle("POST", "/hearing", GoldenFile.read("peer-hearing-question").bytes()));
    }

    @Test
    void riskTablesRequestIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-tables-question");
        assertEquals("POST /tables", file.key());
        List<RiskTableRequest> asked = new ArrayList<>();
        peer.server.setHandoverSource(
                new HandoverSource() {
                    @Override
                    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
                        asked.add(request);
                        return Optional.of(GoldenPeers.delta());
                    }

                    @Override
                    public Optional<RecordDigests> recordDigests() {
                        return Optional.empty();
                    }
                });
        peer.handle("POST", "/tables", file.bytes());
        assertEquals(
                List.of(
                        new RiskTableRequest(
                                new ControllerStatus(
                                        "n2",
                                        0x1122334455667788L,
                                        "b",
                                        "2.1.0",
                                        1,
                                        new Revision(123_456)),
                                new FencingToken(42),
                                99,
                                "vm-000002")),
                asked);
        peer.presetResponse = GoldenFile.read("peer-tables").bytes();
        peer.client.fetchRiskTables("n1", asked.get(0)).join();
        assertSent(file);
    }

    private static void assertEntry(
            String machine,
            int incarnation,
            long session,
            long seq,
            int[] table,
            long[] samples,
            RiskTableDelta.MachineEntry machineEntry) {
        assertEquals(new MachineId(machine), machineEntry.machine());
        assertEquals(incarnation, machineEntry.machineIdentityHash());
        assertEquals(new WorkerIncarnation(session), machineEntry.workerIncarnation());
        assertEquals(seq, machineEntry.sequenceNumber());
        assertArrayEquals(table, machineEntry.table());
        assertArrayEquals(samples, machineEntry.samples());
    }

    @Test
    void riskTablesResponseIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-tables");
        peer.presetResponse = file.bytes();
        RiskTableDelta delta =
                peer.client
                        .fetchRiskTables("n1", GoldenPeers.RISK_TABLE_REQUEST)
                        .join()
                        .orElseThrow();
        assertEquals(new FencingToken(42), delta.token());
        assertEquals(1234, delta.lastSample());
        assertTrue(delta.fullTables());
        assertFalse(delta.hasMore());
        assertEquals(2, delta.entries().size());
        assertEntry(
                "vm-000001",
                -5,
                1,
                77,
                new int[] {1, -2, 300},
                new long[0],
                delta.entries().get(0));
        assertEntry(
                "vm-000002",
                6,
                4_294_967_297L,
                78,
                new int[0],
                new long[] {1, 77, 20, -3},
                delta.entries().get(1));
        peer.setStatus(true, false);
        file.assertSameBytes(
                peer.handle("POST", "/tables", GoldenFile.read("peer-tables-question").bytes()));
    }

    @Test
    void digestsResponseIsUnchanged() {
        GoldenFile file = GoldenFile.read("peer-digests");
        assertEquals("GET /digests", file.key());
        peer.presetResponse = file.bytes();
        RecordDigests recordDigests = peer.client.fetchDigests("n1").join().orElseThrow();
        assertEquals("GET /digests", peer.sent.get(0).method() + ' ' + peer.sent.get(0).path());
        assertEquals(
                new HashMap<>(
                        Map.of(
                                "job/req-0",
                                new RecordDigests.PartDigest(3, 0x0123456789abcdefL),
                                "task/req-0",
                                new RecordDigests.PartDigest(70_000, -2))),
                new HashMap<>(recordDigests.parts()));
        assertEquals(Set.of("job/req-1"), recordDigests.partsBeingWritten());
        peer.setStatus(true, false);
        file.assertSameBytes(peer.handle("GET", "/digests", null));
    }

    /** Returns the body that the current code sends for the message of a golden file. */
    private byte[] encodeNow(String name) {
        peer.setStatus(true, name.equals("peer-deaf"));
        peer.client.announceLeader("n1", new FencingToken(42));
        CompletableFuture<?> unusedHeartbeats =
                peer.client.queryRecentHeartbeats(GoldenPeers.MACHINES, Duration.ofMillis(6500));
        peer.presetResponse = GoldenFile.read("peer-tables").bytes();
        CompletableFuture<?> unusedTables =
                peer.client.fetchRiskTables("n1", GoldenPeers.RISK_TABLE_REQUEST);
        return switch (name) {
            case "peer-leader" -> peer.sent.get(0).body();
            case "peer-hearing-question" -> peer.sent.get(1).body();
            case "peer-tables-question" -> peer.sent.get(2).body();
            case "peer-hearing" -> peer.handle("POST", "/hearing", peer.sent.get(1).body());
            case "peer-tables" -> peer.handle("POST", "/tables", peer.sent.get(2).body());
            case "peer-digests" -> peer.handle("GET", "/digests", null);
            default -> peer.handle("GET", "/served", null);
        };
    }

    static Stream<Arguments> classNumbers() {
        return Stream.of(
                Arguments.of("peer-leader", 0, 11),
                Arguments.of("peer-served", 0, 12),
                Arguments.of("peer-deaf", 0, 12),
                Arguments.of("peer-hearing-question", 0, 15),
                Arguments.of("peer-hearing", 0, 16),
                Arguments.of("peer-tables-question", 0, 21),
                Arguments.of("peer-tables", 0, 22),
                Arguments.of("peer-tables", 2, 23),
                Arguments.of("peer-digests", 0, 22),
                Arguments.of("peer-digests", 2, 24));
    }

    /**
     * Checks the class number of each message, which follows from the order of registration: Kryo's
     * own classes are 0 to 8, and two is added on the wire. The numbers of the arrays (13, 14, 17
     * to 20) occur in no message, since a field of an array type holds no other type; the arrays
     * only shift the numbers of the classes that are registered after them.
     *
     * @param at the offset of the number in the message; at offset 2 it is inside the checksummed
     *     body, after the body's length
     */
    @ParameterizedTest
    @MethodSource("classNumbers")
    void classNumbersFollowTheOrderOfRegistration(String name, int at, int number) {
        assertEquals(number, GoldenFile.read(name).bytes()[at]);
        assertEquals(number, encodeNow(name)[at]);
    }

    /**
     * A checksummed response ends with its format version; a request for risk tables has it after
     * the two fields whose names sort before it.
     */
    @Test
    void formatVersionAndItsPositionAreUnchanged() {
        assertEquals(1, PeerMessageCodec.FORMAT_VERSION);
        for (String name : List.of("peer-tables", "peer-digests")) {
            byte[] bytes = encodeNow(name);
            assertEquals(
                    2,
                    bytes[bytes.length - 1],
                    "format version 1, which Kryo writes as 2, since it encodes a signed number");
            peer.sent.clear();
        }
        assertEquals(2, encodeNow("peer-tables-question")[1 + 2 + "vm-000002".length()]);
    }
}
