package org.meadowhollow.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.platform.Peers.Sign;
import org.meadowhollow.protocol.peers.PeerLink;

class PeerLinkTest {
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Http.Client http = (address, method, path, body, timeout) -> silent.contains(address)
            ? CompletableFuture.failedFuture(new Http.NotSent("no answer in time"))
            : refusing.contains(address) ? CompletableFuture.failedFuture(new Http.Refused("no connection"))
            : CompletableFuture.completedFuture(new Http.Reply(200, new byte[0], 0));
    private final PeerLink link = new PeerLink(http, Map.of("n1", "a:1", "n2", "a:2", "n3", "a:3"));

    @Test
    void aNodeThatAloneRefusesIsToldFromAFilterBetweenAll() {
        assertEquals(Sign.ANSWERS, link.signOf("n1").join());
        refusing.add("a:1");
        assertEquals(Sign.REFUSES, link.signOf("n1").join());
        refusing.add("a:2");
        assertEquals(Sign.REFUSES, link.signOf("n1").join(), "the third one answers");
        refusing.add("a:3");
        assertEquals(Sign.SILENT, link.signOf("n1").join(), "all refuse, so the line is at fault");
    }

    @Test
    void silenceIsNoRefusal() {
        silent.add("a:1");
        assertEquals(Sign.SILENT, link.signOf("n1").join());
        assertEquals(Sign.SILENT, link.signOf("nobody").join());
    }
}
