package org.meadowhollow.protocol.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PeerReachabilityReport;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.api.RiskTableRequest;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.peers.PeerMessages.StatusMessage;
import org.meadowhollow.storage.RecordDigests;

/**
 * The HTTP client of the other controllers. Their responses are hints that save time; decisions
 * rest on the key-value store. Stateless; futures complete on the thread of the HTTP client.
 */
public final class PeerClient implements PeerGateway {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    /**
     * The timeout of a probe: long enough that a node that is up but slow does not count as
     * unresponsive.
     */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    private final Http.Client http;
    private final Map<String, String> addresses;
    private final PeerMessageCodec codec;

    /**
     * @param addresses the addresses of the other controllers by member name
     */
    public PeerClient(Http.Client http, Map<String, String> addresses, PeerMessageCodec codec) {
        this.http = http;
        this.addresses = Map.copyOf(addresses);
        this.codec = codec;
    }

    @Override
    public void announceLeader(String leader, FencingToken fencingToken) {
        byte[] announcement = codec.encodeLeader(leader, fencingToken);
        for (String address : addresses.values()) {
            // A node that misses the announcement finds the leader in the key-value store.
            CompletableFuture<Http.Reply> unusedReply =
                    http.send(address, "POST", PeerPaths.LEADER, announcement, RESPONSE_TIMEOUT);
        }
    }

    @Override
    public CompletableFuture<Optional<RiskTableDelta>> fetchRiskTables(
            String leader, RiskTableRequest request) {
        String address = addresses.get(leader);
        if (address == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        byte[] body = codec.encodeRiskTableRequest(request);
        return http.send(address, "POST", PeerPaths.RISK_TABLES, body, RESPONSE_TIMEOUT)
                .handle((reply, failure) -> decode(reply, failure, codec::decodeRiskTables));
    }

    @Override
    public CompletableFuture<Optional<RecordDigests>> fetchDigests(String leader) {
        String address = addresses.get(leader);
        if (address == null) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return http.send(address, "GET", PeerPaths.DIGESTS, null, RESPONSE_TIMEOUT)
                .handle((reply, failure) -> decode(reply, failure, codec::decodeDigests));
    }

    /**
     * Decodes a successful response. Empty if the request failed, the node does not lead, or its
     * version does not support the request.
     */
    private static <T> Optional<T> decode(
            Http.Reply reply, Throwable failure, Function<byte[], T> decoder) {
        return failure != null || reply.status() != 200
                ? Optional.empty()
                : Optional.of(decoder.apply(reply.body()));
    }

    @Override
    public CompletableFuture<List<PeerReachabilityReport>> queryRecentHeartbeats(
            List<MachineId> machines, Duration within) {
        byte[] body = codec.encodeRecentHeartbeatsRequest(machines, within);
        List<CompletableFuture<PeerReachabilityReport>> reports = new ArrayList<>();
        addresses.forEach(
                (member, address) ->
                        reports.add(
                                http.send(
                                                address,
                                                "POST",
                                                PeerPaths.RECENT_HEARTBEATS,
                                                body,
                                                PROBE_TIMEOUT)
                                        .handle(
                                                (reply, failure) ->
                                                        failure == null
                                                                ? decodeReachability(
                                                                        member, machines, reply)
                                                                : PeerReachabilityReport.unanswered(
                                                                        member))));
        return CompletableFuture.allOf(reports.toArray(CompletableFuture[]::new))
                .thenApply(unused -> reports.stream().map(CompletableFuture::join).toList());
    }

    /**
     * Decodes a response. One that cannot be decoded, such as that of another version, counts as
     * missing.
     */
    private PeerReachabilityReport decodeReachability(
            String member, List<MachineId> machines, Http.Reply reply) {
        if (reply.status() != 200) {
            return PeerReachabilityReport.unanswered(member);
        }
        return codec.decodeRecentHeartbeats(reply.body(), machines)
                .map(
                        recent ->
                                new PeerReachabilityReport(
                                        member, true, recent.storeReachable(), recent.machines()))
                .orElseGet(() -> PeerReachabilityReport.unanswered(member));
    }

    @Override
    public CompletableFuture<Boolean> anyPeerReachesStore() {
        return anyTrue(addresses.values().stream().map(this::peerReachesStore).toList());
    }

    private CompletableFuture<Boolean> peerReachesStore(String address) {
        return http.send(address, "GET", PeerPaths.STATUS, null, RESPONSE_TIMEOUT)
                .handle(
                        (reply, failure) ->
                                failure == null && statusMatches(reply, StatusMessage::served));
    }

    @Override
    public CompletableFuture<ProbeResult> probe(String member) {
        return probeDirectly(member)
                .thenCompose(
                        result ->
                                result == ProbeResult.CONNECTION_REFUSED
                                        ? confirmRefusal(member)
                                        : CompletableFuture.completedFuture(result));
    }

    /**
     * Confirms that a refused connection concerns one controller alone: it counts only while
     * another controller responds, since a packet filter between the controllers refuses
     * connections to all of them.
     */
    private CompletableFuture<ProbeResult> confirmRefusal(String member) {
        List<CompletableFuture<Boolean>> othersRespond =
                addresses.keySet().stream()
                        .filter(other -> !other.equals(member))
                        .map(other -> probeDirectly(other).thenApply(PeerClient::hasResponded))
                        .toList();
        return anyTrue(othersRespond)
                .thenApply(
                        anyResponds ->
                                anyResponds
                                        ? ProbeResult.CONNECTION_REFUSED
                                        : ProbeResult.UNRESPONSIVE);
    }

    private static boolean hasResponded(ProbeResult result) {
        return result == ProbeResult.HEALTHY || result == ProbeResult.ISOLATED;
    }

    /** Completes with true as soon as any future does, and with false once all are false. */
    private static CompletableFuture<Boolean> anyTrue(List<CompletableFuture<Boolean>> answers) {
        CompletableFuture<Boolean> any = new CompletableFuture<>();
        for (CompletableFuture<Boolean> answer : answers) {
            CompletableFuture<Void> unusedCompletion =
                    answer.thenAccept(
                            isTrue -> {
                                if (isTrue) {
                                    any.complete(true);
                                }
                            });
        }
        CompletableFuture<Void> unusedCompletion =
                CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                        .thenRun(() -> any.complete(false));
        return any;
    }

    private CompletableFuture<ProbeResult> probeDirectly(String member) {
        String address = addresses.get(member);
        if (address == null) {
            return CompletableFuture.completedFuture(ProbeResult.UNRESPONSIVE);
        }
        return http.send(address, "GET", PeerPaths.STATUS, null, PROBE_TIMEOUT)
                .handle((reply, failure) -> failure == null ? classify(reply) : classify(failure));
    }

    /** Classifies a response; one of any version and status shows that the process is running. */
    private ProbeResult classify(Http.Reply reply) {
        return statusMatches(reply, StatusMessage::deaf)
                ? ProbeResult.ISOLATED
                : ProbeResult.HEALTHY;
    }

    private static ProbeResult classify(Throwable failure) {
        return failure instanceof Http.ConnectionRefusedException
                ? ProbeResult.CONNECTION_REFUSED
                : ProbeResult.UNRESPONSIVE;
    }

    private boolean statusMatches(Http.Reply reply, Predicate<StatusMessage> condition) {
        return reply.status() == 200
                && codec.decodeStatus(reply.body()).filter(condition).isPresent();
    }
}
