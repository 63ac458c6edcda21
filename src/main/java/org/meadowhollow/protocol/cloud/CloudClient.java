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
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.protocol.RateBudget;
import org.meadowhollow.protocol.Wire;

/** The cloud over HTTP, within a budget of requests. */
public final class CloudClient implements CloudProvider {
    /** The cloud's own machinery is slow; past this no answer will come. */
    private static final Duration ANSWER = Duration.ofSeconds(5);

    private static final int PAGE = 500;

    private final Http.Client http;
    private final String address;
    private final EventLoop loop;
    private final RateBudget budget;

    public CloudClient(Http.Client http, String address, EventLoop loop, RateBudget budget) {
        this.http = http;
        this.address = address;
        this.loop = loop;
        this.budget = budget;
    }

    @Override
    public CompletableFuture<List<MachineType>> listMachineTypes() {
        return call("GET", "/machine_types", null)
                .thenApply(
                        reply ->
                                read(
                                        reply,
                                        body -> {
                                            List<MachineType> types = new ArrayList<>();
                                            for (Fields item : body.list("breeds")) {
                                                List<String> zones = item.textsOrNull("fields");
                                                types.add(
                                                        new MachineType(
                                                                item.text("label"),
                                                                Resources.of(
                                                                        item.amount("cores"),
                                                                        item.amount("gpus"),
                                                                        item.amount("memGb")),
                                                                item.amount("cacheGb"),
                                                                item.amount("fetchGbPerS"),
                                                                item.amount("hourly"),
                                                                item.amountOr(
                                                                        "spotPrice",
                                                                        item.amount("hourly")),
                                                                item.amount("readyS"),
                                                                zones == null ? List.of() : zones));
                                            }
                                            return types;
                                        }));
    }

    @Override
    public CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String request, String type, String zone, boolean spot, int count) {
        byte[] bytes =
                Wire.encode(
                        Fields.of(
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
        return call("POST", "/rentals", bytes)
                .thenApply(
                        reply -> {
                            if (reply.status() == 503 && noCapacity(reply)) {
                                return Optional.<List<MachineId>>empty();
                            }
                            return read(
                                    reply,
                                    body -> {
                                        List<MachineId> ids = new ArrayList<>();
                                        for (String id : body.textsOrNull("stalls")) {
                                            ids.add(new MachineId(id));
                                        }
                                        return Optional.of(ids);
                                    });
                        });
    }

    private static boolean noCapacity(Http.Reply reply) {
        try {
            return "no capacity".equals(Fields.decode(reply.body()).textOrNull("error"));
        } catch (Malformed broken) {
            return false;
        }
    }

    @Override
    public CompletableFuture<Void> releaseMachines(List<MachineId> machines) {
        byte[] bytes =
                Wire.encode(Map.of("stalls", machines.stream().map(MachineId::value).toList()));
        return call("POST", "/rentals/release", bytes)
                .thenAccept(
                        reply -> {
                            if (reply.status() == 429 || reply.status() == 503) {
                                throw new CloudProvider.RequestRefusedException(
                                        "the cloud answered " + reply.status());
                            }
                            read(reply, body -> body);
                        });
    }

    @Override
    public CompletableFuture<List<ListedMachine>> listMachines() {
        return page("", new ArrayList<>());
    }

    private CompletableFuture<List<ListedMachine>> page(String after, List<ListedMachine> all) {
        return call("GET", "/rentals?after=" + after + "&most=" + PAGE, null)
                .thenCompose(
                        reply -> {
                            boolean more =
                                    read(
                                            reply,
                                            body -> {
                                                for (Fields item : body.list("stalls")) {
                                                    all.add(
                                                            new ListedMachine(
                                                                    new MachineId(item.text("ref")),
                                                                    item.textOrNull("endpoint"),
                                                                    item.text("breed"),
                                                                    item.text("field"),
                                                                    item.flagOr("loaners", false),
                                                                    phase(item.text("phase")),
                                                                    item.amountOr("heldS", 0)));
                                                }
                                                return body.flagOr("truncated", false);
                                            });
                            return more && !all.isEmpty()
                                    ? page(all.get(all.size() - 1).id().value(), all)
                                    : CompletableFuture.completedFuture(all);
                        });
    }

    private static MachinePhase phase(String text) throws Malformed {
        return switch (text) {
            case "booting" -> MachinePhase.BOOTING;
            case "running" -> MachinePhase.RUNNING;
            case "failed" -> MachinePhase.FAILED;
            default -> throw new Malformed("unknown phase " + text);
        };
    }

    private CompletableFuture<Http.Reply> call(String method, String path, byte[] body) {
        Duration pause = budget.untilFree(1, loop.now());
        budget.take(1, loop.now());
        if (pause.isZero()) {
            return http.send(address, method, path, body, ANSWER);
        }
        CompletableFuture<Http.Reply> answer = new CompletableFuture<>();
        loop.schedule(
                pause,
                () ->
                        http.send(address, method, path, body, ANSWER)
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

    private interface Reading<T> {
        T of(Fields body) throws Malformed;
    }

    private static <T> T read(Http.Reply reply, Reading<T> reading) {
        try {
            if (reply.status() != 200) {
                throw new Malformed("the cloud answered " + reply.status());
            }
            return reading.of(Fields.decode(reply.body()));
        } catch (Malformed broken) {
            throw new CompletionException(broken);
        }
    }
}
