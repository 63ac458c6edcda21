package org.meadowhollow.protocol.cloud;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/** The cloud over HTTP, within a budget of requests. */
public final class CloudClient implements CloudProvider {
    /** The cloud's own machinery is slow; past this no answer will come. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private static final int PAGE_SIZE = 500;

    private final Http.Client http;
    private final String address;
    private final EventLoop loop;
    private final AdaptiveRateLimiter requestLimiter;

    public CloudClient(
            Http.Client http, String address, EventLoop loop, AdaptiveRateLimiter budget) {
        this.http = http;
        this.address = address;
        this.loop = loop;
        this.requestLimiter = budget;
    }

    @Override
    public CompletableFuture<List<MachineType>> listMachineTypes() {
        return sendWithinLimit("GET", "/machine_types", null)
                .thenApply(
                        reply ->
                                parseBody(
                                        reply,
                                        body -> {
                                            List<MachineType> types = new ArrayList<>();
                                            for (MessageReader item : body.nestedList("breeds")) {
                                                List<String> zones =
                                                        item.stringListOrNull("fields");
                                                types.add(
                                                        new MachineType(
                                                                item.string("label"),
                                                                Resources.of(
                                                                        item.nonNegativeDouble(
                                                                                "cores"),
                                                                        item.nonNegativeDouble(
                                                                                "gpus"),
                                                                        item.nonNegativeDouble(
                                                                                "memGb")),
                                                                item.nonNegativeDouble("cacheGb"),
                                                                item.nonNegativeDouble(
                                                                        "fetchGbPerS"),
                                                                item.nonNegativeDouble("hourly"),
                                                                item.nonNegativeDoubleOr(
                                                                        "spotPrice",
                                                                        item.nonNegativeDouble(
                                                                                "hourly")),
                                                                item.nonNegativeDouble("readyS"),
                                                                zones == null ? List.of() : zones));
                                            }
                                            return types;
                                        }));
    }

    @Override
    public CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String request, String type, String zone, boolean spot, int count) {
        byte[] bytes =
                MessagePackCodec.encode(
                        MessageReader.mapOf(
                                "hire",
                                request,
                                "breed",
                                type,
                                "field",
                                zone,
                                "loaners",
                                spot,
                                "count",
                                (long) count));
        return sendWithinLimit("POST", "/rentals", bytes)
                .thenApply(
                        reply -> {
                            if (reply.status() == 503 && isNoCapacity(reply)) {
                                return Optional.<List<MachineId>>empty();
                            }
                            return parseBody(
                                    reply,
                                    body -> {
                                        List<MachineId> ids = new ArrayList<>();
                                        for (String id : body.stringListOrNull("stalls")) {
                                            ids.add(new MachineId(id));
                                        }
                                        return Optional.of(ids);
                                    });
                        });
    }

    private static boolean isNoCapacity(Http.Reply reply) {
        try {
            return "no capacity".equals(MessageReader.decode(reply.body()).stringOrNull("error"));
        } catch (MalformedMessageException broken) {
            return false;
        }
    }

    @Override
    public CompletableFuture<Void> releaseMachines(List<MachineId> machines) {
        byte[] bytes =
                MessagePackCodec.encode(
                        Map.of("stalls", machines.stream().map(MachineId::value).toList()));
        return sendWithinLimit("POST", "/rentals/release", bytes)
                .thenAccept(
                        reply -> {
                            if (reply.status() == 429 || reply.status() == 503) {
                                throw new CloudProvider.RequestRefusedException(
                                        "the cloud answered " + reply.status());
                            }
                            parseBody(reply, body -> body);
                        });
    }

    @Override
    public CompletableFuture<List<ListedMachine>> listMachines() {
        return fetchRemainingPages("", new ArrayList<>());
    }

    private CompletableFuture<List<ListedMachine>> fetchRemainingPages(
            String after, List<ListedMachine> all) {
        return sendWithinLimit("GET", "/rentals?after=" + after + "&most=" + PAGE_SIZE, null)
                .thenCompose(
                        reply -> {
                            boolean more =
                                    parseBody(
                                            reply,
                                            body -> {
                                                for (MessageReader item :
                                                        body.nestedList("stalls")) {
                                                    all.add(
                                                            new ListedMachine(
                                                                    new MachineId(
                                                                            item.string("ref")),
                                                                    item.stringOrNull("endpoint"),
                                                                    item.string("breed"),
                                                                    item.string("field"),
                                                                    item.booleanOr(
                                                                            "loaners", false),
                                                                    decodePhase(
                                                                            item.string("phase")),
                                                                    item.nonNegativeDoubleOr(
                                                                            "heldS", 0)));
                                                }
                                                return body.booleanOr("truncated", false);
                                            });
                            return more && !all.isEmpty()
                                    ? fetchRemainingPages(all.get(all.size() - 1).id().value(), all)
                                    : CompletableFuture.completedFuture(all);
                        });
    }

    private static MachinePhase decodePhase(String text) throws MalformedMessageException {
        return switch (text) {
            case "booting" -> MachinePhase.BOOTING;
            case "running" -> MachinePhase.RUNNING;
            case "failed" -> MachinePhase.FAILED;
            default -> throw new MalformedMessageException("unknown phase " + text);
        };
    }

    private CompletableFuture<Http.Reply> sendWithinLimit(String method, String path, byte[] body) {
        Duration pause = requestLimiter.delayUntilAvailable(1, loop.now());
        requestLimiter.consume(1, loop.now());
        if (pause.isZero()) {
            return http.send(address, method, path, body, RESPONSE_TIMEOUT);
        }
        CompletableFuture<Http.Reply> answer = new CompletableFuture<>();
        loop.schedule(
                pause,
                () ->
                        http.send(address, method, path, body, RESPONSE_TIMEOUT)
                                .whenComplete(
                                        (reply, failure) -> {
                                            if (failure == null) {
                                                answer.complete(reply);
                                            } else {
                                                answer.completeExceptionally(failure);
                                            }
                                        }));
        return answer;
    }

    private interface BodyParser<T> {
        T parse(MessageReader body) throws MalformedMessageException;
    }

    private static <T> T parseBody(Http.Reply reply, BodyParser<T> bodyParser) {
        try {
            if (reply.status() != 200) {
                throw new MalformedMessageException("the cloud answered " + reply.status());
            }
            return bodyParser.parse(MessageReader.decode(reply.body()));
        } catch (MalformedMessageException broken) {
            throw new CompletionException(broken);
        }
    }
}
