package org.meadowhollow.protocol.keyvalue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.simulation.VirtualEventLoop;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.KeyValueStoreException;
import org.meadowhollow.storage.KeyValueStoreException.Outcome;
import org.meadowhollow.storage.LeaseId;

class KeyValueStoreClientTest {
    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final List<String> sent = new ArrayList<>();
    private int status = 404;
    private final Http.Client http =
            (address, method, path, body, timeout) -> {
                sent.add(path);
                return CompletableFuture.completedFuture(
                        Http.Reply.of(status, Map.of("error", "no such lease")));
            };
    private final KeyValueStoreClient client = clientOver(http);

    private KeyValueStoreClient clientOver(Http.Client requests) {
        return clientOver(requests, new AdaptiveRateLimiter(10, 2));
    }

    private KeyValueStoreClient clientOver(
            Http.Client requests, AdaptiveRateLimiter requestLimiter) {
        return new KeyValueStoreClient(
                requests, "state:1", loop, requestLimiter, new AdaptiveRateLimiter(10, 2));
    }

    private Outcome outcomeOf(CompletableFuture<?> call) {
        return call.handle((result, failure) -> KeyValueStoreException.outcomeOf(failure)).join();
    }

    @Test
    // The test checks the sent requests, not their results.
    @SuppressWarnings("FutureReturnValueIgnored")
    void requestsAreSentWithinTheLimitInOrderOfPriority() {
        for (int at = 0; at < 4; at++) {
            client.get("background/" + at, RequestPriority.BACKGROUND);
        }
        client.get("user", RequestPriority.USER);
        client.grantLease(Duration.ofSeconds(5));
        assertEquals(List.of("/kv/background/0", "/kv/background/1"), sent);
        loop.run(Duration.ofMillis(101));
        assertEquals("/grants", sent.get(2));
        loop.run(Duration.ofMillis(101));
        assertEquals("/kv/user", sent.get(3));
        loop.run(Duration.ofSeconds(1));
        assertEquals(6, sent.size());
    }

    @Test
    // The test checks the sent requests, not their results.
    @SuppressWarnings("FutureReturnValueIgnored")
    void aBurstIsQueuedInsteadOfOpeningAConnectionForEachRequest() {
        List<CompletableFuture<Http.Reply>> inFlight = new ArrayList<>();
        Http.Client slow =
                (address, method, path, body, timeout) -> {
                    inFlight.add(new CompletableFuture<>());
                    return inFlight.get(inFlight.size() - 1);
                };
        KeyValueStoreClient queueing = clientOver(slow, new AdaptiveRateLimiter(100, 100));
        for (int at = 0; at < 60; at++) {
            queueing.get("user/" + at, RequestPriority.USER);
        }
        int maxInFlight = inFlight.size();
        assertTrue(maxInFlight < 24, "fewer than the connections that may be open to one address");
        queueing.renewLease(new LeaseId(1));
        assertEquals(
                maxInFlight + 1, inFlight.size(), "the leader's lease does not wait for users");
        for (int at = 0; at < inFlight.size(); at++) {
            inFlight.get(at).complete(Http.Reply.of(404, Map.of()));
        }
        assertEquals(61, inFlight.size());
        assertFalse(queueing.seemsUnavailable());
    }

    /** Guards against requests that use up the places in flight although they were never sent. */
    @Test
    void requestsThatCouldNotBeSentFailAndLeaveTheirPlacesToOthers() {
        for (int count = 0; count < 30; count++) {
            loop.stepFaults().failNextOf(Set.of(RepeatingStep.STORE_DISPATCH));
            CompletableFuture<?> notSent = client.get("key", RequestPriority.USER);
            assertTrue(notSent.isDone());
            assertEquals(Outcome.INDETERMINATE, outcomeOf(notSent));
            loop.run(Duration.ofSeconds(1));
        }

        assertTrue(client.get("key", RequestPriority.USER).isDone());
    }

    @Test
    void leaseFromHalfItsRangeOnIsRenewedUnderTheNumberThatTheStoreGave() {
        Http.Client granting =
                (address, method, path, body, timeout) -> {
                    sent.add(path);
                    return CompletableFuture.completedFuture(
                            Http.Reply.of(
                                    200, Map.of("tether", MessagePackCodec.ofUnsigned(1L << 63))));
                };
        KeyValueStoreClient grantingClient = clientOver(granting);
        LeaseId lease = grantingClient.grantLease(Duration.ofSeconds(5)).join();
        grantingClient.renewLease(lease).join();
        assertEquals(List.of("/grants", "/grants/9223372036854775808/renew"), sent);
    }

    @Test
    void statusCodesMapToOutcomes() {
        assertTrue(client.get("key", RequestPriority.USER).join().isEmpty());
        status = 503;
        assertEquals(Outcome.REJECTED, outcomeOf(client.get("key", RequestPriority.USER)));
        assertTrue(client.seemsUnavailable());
        loop.run(Duration.ofSeconds(2));
        status = 400;
        assertEquals(Outcome.LEASE_EXPIRED, outcomeOf(client.get("key", RequestPriority.USER)));
        status = 500;
        assertEquals(Outcome.INDETERMINATE, outcomeOf(client.get("key", RequestPriority.USER)));
    }

    /**
     * If user requests always went first, a leader that receives many of them could neither load
     * nor write its records.
     */
    @Test
    // The test checks the sent requests, not their results.
    @SuppressWarnings("FutureReturnValueIgnored")
    void userAndLeaderRequestsAlternate() {
        for (int at = 0; at < 40; at++) {
            client.get("user/" + at, RequestPriority.USER);
        }
        client.get("record/1", RequestPriority.PLACEMENT);
        client.get("record/2", RequestPriority.PLACEMENT);
        loop.run(Duration.ofMillis(601));
        assertTrue(sent.containsAll(List.of("/kv/record/1", "/kv/record/2")), "sent: " + sent);
        assertTrue(
                sent.stream().filter(path -> path.startsWith("/kv/user")).count() >= 4,
                "sent: " + sent);
    }

    /** A queue in which every request has waited too long does no useful work. */
    @Test
    void aUserRequestThatHasWaitedTooLongIsRejectedAndNotSent() {
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (int at = 0; at < 40; at++) {
            calls.add(client.get("user/" + at, RequestPriority.USER));
        }
        loop.run(Duration.ofSeconds(10));
        assertTrue(sent.size() < 25, "sent: " + sent.size());
        assertEquals(Outcome.REJECTED, outcomeOf(calls.get(39)));
        CompletableFuture<?> unused = client.get("late", RequestPriority.USER);
        assertEquals("/kv/late", sent.get(sent.size() - 1), "the next request is sent at once");
    }

    /** All nodes share the limits, so a node can be refused although it stays within them. */
    @Test
    // The test checks the sent requests, not their results.
    @SuppressWarnings("FutureReturnValueIgnored")
    void refusalsLowerTheRateUntilItRecovers() {
        KeyValueStoreClient fast =
                new KeyValueStoreClient(
                        http,
                        "state:1",
                        loop,
                        new AdaptiveRateLimiter(20, 20),
                        new AdaptiveRateLimiter(20, 20));
        status = 429;
        for (int second = 0; second < 5; second++) {
            for (int at = 0; at < 20; at++) {
                fast.get("key", RequestPriority.USER);
            }
            loop.run(Duration.ofSeconds(1));
        }
        sent.clear();
        for (int at = 0; at < 20; at++) {
            fast.get("key", RequestPriority.USER);
        }
        loop.run(Duration.ofSeconds(1));
        assertTrue(sent.size() < 12, "sent in a second after refusals: " + sent.size());
        status = 404;
        loop.run(Duration.ofSeconds(12));
        sent.clear();
        for (int at = 0; at < 20; at++) {
            fast.get("key", RequestPriority.USER);
        }
        assertEquals(20, sent.size());
    }

    /**
     * With a fixed timeout, a key-value store that takes somewhat longer than the timeout would be
     * unavailable for as long as it is slow.
     */
    @Test
    void theTimeoutIsLongerWhileTheStoreIsSlow() {
        List<Duration> timeouts = new ArrayList<>();
        Duration[] latency = {Duration.ofSeconds(2)};
        Http.Client slow =
                (address, method, path, body, timeout) -> {
                    timeouts.add(timeout);
                    CompletableFuture<Http.Reply> response = new CompletableFuture<>();
                    loop.schedule(
                            latency[0], () -> response.complete(Http.Reply.of(404, Map.of())));
                    loop.schedule(
                            timeout,
                            () ->
                                    response.completeExceptionally(
                                            new IllegalStateException("no answer in time")));
                    return response;
                };
        KeyValueStoreClient slowClient = clientOver(slow, new AdaptiveRateLimiter(100, 100));
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (int at = 0; at < 5; at++) {
            calls.add(slowClient.get("key/" + at, RequestPriority.USER));
            loop.run(Duration.ofSeconds(4));
        }
        assertEquals(Outcome.INDETERMINATE, outcomeOf(calls.get(2)));
        assertTrue(
                calls.get(3).join().equals(Optional.empty())
                        && calls.get(4).join().equals(Optional.empty()),
                "answered after 2 s");
        assertFalse(slowClient.seemsUnavailable());
        assertTrue(
                timeouts.get(4).compareTo(Duration.ofMillis(3500)) < 0,
                "shorter than users wait, and than a lease lasts");
        latency[0] = Duration.ofMillis(5);
        calls.add(slowClient.get("key/5", RequestPriority.USER));
        loop.run(Duration.ofMillis(10));
        calls.add(slowClient.get("key/6", RequestPriority.USER));
        assertEquals(
                timeouts.get(0),
                timeouts.get(6),
                "after a fast response the normal timeout applies again");
    }
}
