package org.meadowhollow.protocol.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.storage.RecordDigests;

/**
 * The content of the golden messages between controllers, and a controller whose sent requests are
 * recorded and get a preset response.
 */
final class GoldenPeers {
    static final List<MachineId> MACHINES =
            List.of(
                    new MachineId("vm-000001"),
                    new MachineId("vm-000002"),
                    new MachineId("vm-000003"));
    static final RiskTableRequest RISK_TABLE_REQUEST =
            new RiskTableRequest(
                    new ControllerStatus(
                            "n2", 0x1122334455667788L, "b", "2.1.0", 1, new Revision(123_456)),
                    new FencingToken(42),
                    99,
                    "vm-000002");

    /** A sent request. */
    // The array is never modified, and requests are compared by component, never as a whole.
    @SuppressWarnings("ArrayRecordComponent")
    record Sent(String method, String path, byte[] body) {}

    /** The sent requests, in order. */
    final List<Sent> sent = new ArrayList<>();

    /** The response of the other controller to every request. */
    byte[] presetResponse = new byte[0];

    private final PeerMessageCodec codec = new PeerMessageCodec();
    final PeerClient client = new PeerClient(this::send, Map.of("n1", "a:1"), codec);
    final PeerServer server = new PeerServer(codec);

    private CompletableFuture<Http.Reply> send(
            String address, String method, String path, byte[] body, Duration timeout) {
        sent.add(new Sent(method, path, body));
        return CompletableFuture.completedFuture(new Http.Reply(200, presetResponse, 0));
    }

    static RiskTableDelta delta() {
        return new RiskTableDelta(
                new FencingToken(42),
                1234,
                true,
                false,
                List.of(
                        new RiskTableDelta.MachineEntry(
                                new MachineId("vm-000001"),
                                -5,
                                new WorkerIncarnation(1),
                                77,
                                new int[] {1, -2, 300},
                                new long[0]),
                        new RiskTableDelta.MachineEntry(
                                new MachineId("vm-000002"),
                                6,
                                new WorkerIncarnation(4_294_967_297L),
                                78,
                                new int[0],
                                new long[] {1, 77, 20, -3})));
    }

    static RecordDigests digests() {
        Map<String, RecordDigests.PartDigest> parts = new LinkedHashMap<>();
        parts.put("job/req-0", new RecordDigests.PartDigest(3, 0x0123456789abcdefL));
        parts.put("task/req-0", new RecordDigests.PartDigest(70_000, -2));
        return RecordDigests.of(new HashMap<>(parts), Set.of("job/req-1"));
    }

    /** Sets the status that the controller reports; its other responses are fixed. */
    void setStatus(boolean storeReachable, boolean isolated) {
        server.setStoreReachable(() -> storeReachable);
        server.setHeartbeatSources(
                () -> isolated, (machines, within) -> Set.of(MACHINES.get(0), MACHINES.get(2)));
        server.setHandoverSource(
                new HandoverSource() {
                    @Override
                    public Optional<RiskTableDelta> riskTableDelta(RiskTableRequest request) {
                        return Optional.of(delta());
                    }

                    @Override
                    public Optional<RecordDigests> recordDigests() {
                        return Optional.of(GoldenPeers.digests());
                    }
                });
    }

    byte[] handle(String method, String path, byte[] body) {
        Http.Reply reply = server.handle(method, path, body).join();
        if (reply.status() != 200) {
            throw new AssertionError("unexpected status " + reply.status());
        }
        return reply.body();
    }
}
