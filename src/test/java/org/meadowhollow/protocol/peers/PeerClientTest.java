package org.meadowhollow.protocol.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.PeerGateway.ProbeResult;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.storage.RecordDigests;

class PeerClientTest {
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Http.Client http =
            (address, method, path, body, timeout) ->
                    silent.contains(address)
                            ? CompletableFuture.failedFuture(
                                    new Http.RequestNotSentException("no answer in time"))
                            : refusing.contains(address)
                                    ? CompletableFuture.failedFuture(
                                            new Http.ConnectionRefusedException("no connection"))
                                    : CompletableFuture.completedFuture(
                                            new Http.Reply(200, new byte[0], 0));
    private final PeerClient client =
            new PeerClient(
                    http, Map.of("n1", "a:1", "n2", "a:2", "n3", "a:3"), new PeerMessageCodec());

    @Test
    void aRefusalCountsOnlyWhileAnotherControllerAnswers() {
        assertEquals(ProbeResult.HEALTHY, client.probe("n1").join());
        refusing.add("a:1");
        assertEquals(ProbeResult.CONNECTION_REFUSED, client.probe("n1").join());
        refusing.add("a:2");
        assertEquals(
                ProbeResult.CONNECTION_REFUSED,
                client.probe("n1").join(),
                "the third controller responds");
        refusing.add("a:3");
        assertEquals(
                ProbeResult.UNRESPONSIVE,
                client.probe("n1").join(),
                "all controllers refuse, so the network is at fault");
    }

    /** Fetches the risk tables of a leader; the response is changed in transit. */
    private Optional<RiskTableDelta> fetchRiskTables(UnaryOperator<byte[]> inTransit) {
        PeerServer leader = new PeerServer(new PeerMessageCodec());
        RiskTableDelta delta =
                new RiskTableDelta(
                        new FencingToken(3),
                        8,
                        false,
                        false,
                        List.of(
                                new RiskTableDelta.MachineEntry(
                                        new MachineId("vm-1"),
                                        5,
                                        new WorkerIncarnation(1),
                                        77,
                                        new int[0],
                                        new long[] {1, 77, 20, 3})));
        leader.setHandoverSource(
                new HandoverSource() {
                    @Override
                    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
                        return Optional.of(delta);
                    }

                    @Override
                    public Optional<RecordDigests> recordDigests() {
                        return Optional.empty();
                    }
                });
        PeerClient standby =
                new PeerClient(
                        (address, method, path, body, timeout) ->
                                leader.handle(method, path, body)
                                        .thenApply(
                                                reply ->
                                                        new Http.Reply(
                                                                reply.status(),
                                                                inTransit.apply(reply.body()),
                                                                0)),
                        Map.of("n1", "a:1"),
                        new PeerMessageCodec());
        Optional<RiskTableDelta> fetched =
                standby.fetchRiskTables(
                                "n1",
                                new RiskTableRequest(
                                        new ControllerStatus(
                                                "n2", 1, "a", "test", 1, new Revision(4)),
                                        new FencingToken(3),
                                        7,
                                        ""))
                        .join();
        fetched.ifPresent(
                each ->
                        assertArrayEquals(
                                delta.entries().get(0).samples(), each.entries().get(0).samples()));
        return fetched;
    }

    private static UnaryOperator<byte[]> addToByte(int at, int increment) {
        return body -> {
            body[at < 0 ? body.length + at : at] += (byte) increment;
            return body;
        };
    }

    @Test
    void riskTablesArriveIntactOrNotAtAll() {
        assertTrue(fetchRiskTables(body -> body).isPresent());
        String damaged =
                assertThrows(CompletionException.class, () -> fetchRiskTables(addToByte(-2, 1)))
                        .getCause()
                        .getMessage();
        assertEquals("it is damaged", damaged);
        // Kryo orders fields by name, so the format version comes last, after the checksum.
        String unknownVersion =
                assertThrows(CompletionException.class, () -> fetchRiskTables(addToByte(-1, 2)))
                        .getCause()
                        .getMessage();
        assertEquals("its format version 2 is unknown", unknownVersion);
    }

    @Test
    void aTimeoutIsNotARefusal() {
        silent.add("a:1");
        assertEquals(ProbeResult.UNRESPONSIVE, client.probe("n1").join());
        assertEquals(ProbeResult.UNRESPONSIVE, client.probe("nobody").join());
    }
}
