package org.meadowhollow.protocol.peers;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.golden.GoldenFile;
import org.meadowhollow.model.FencingToken;

/**
 * Writes the golden files of the messages between controllers. It is run only to add the file of a
 * new message: an existing file holds what deployed versions send, and must not be written again.
 */
final class GoldenPeerFilesMain {
    private GoldenPeerFilesMain() {}

    public static void main(String[] unused) throws IOException {
        GoldenPeers peer = new GoldenPeers();
        peer.setStatus(true, false);
        peer.client.announceLeader("n1", new FencingToken(42));
        write("peer-leader", peer, 0);
        CompletableFuture<?> unusedHeartbeats =
                peer.client.queryRecentHeartbeats(GoldenPeers.MACHINES, Duration.ofMillis(6500));
        write("peer-hearing-question", peer, 1);
        CompletableFuture<?> unusedTables =
                peer.client.fetchRiskTables("n1", GoldenPeers.RISK_TABLE_REQUEST);
        write("peer-tables-question", peer, 2);
        GoldenFile.write("peer-served", "GET /served", peer.handle("GET", "/served", null));
        GoldenFile.write(
                "peer-hearing",
                "POST /hearing",
                peer.handle("POST", "/hearing", peer.sent.get(1).body()));
        GoldenFile.write(
                "peer-tables",
                "POST /tables",
                peer.handle("POST", "/tables", peer.sent.get(2).body()));
        GoldenFile.write("peer-digests", "GET /digests", peer.handle("GET", "/digests", null));
        peer.setStatus(false, true);
        GoldenFile.write("peer-deaf", "GET /served", peer.handle("GET", "/served", null));
    }

    private static void write(String name, GoldenPeers peer, int at) throws IOException {
        GoldenPeers.Sent sent = peer.sent.get(at);
        GoldenFile.write(name, sent.method() + ' ' + sent.path(), sent.body());
    }
}
