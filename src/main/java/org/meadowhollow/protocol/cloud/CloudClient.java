package org.meadowhollow.protocol.cloud;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.protocol.AdaptiveRateLimiter;
import org.meadowhollow.protocol.Http;

/**
 * The HTTP client of the cloud, with a limit of requests per second. Requests above the limit are
 * delayed and sent in the order of the calls. Thread-safe: its only state is that of the limiter.
 */
public final class CloudClient implements CloudProvider {
    /**
     * The response timeout. The cloud's control plane is slow, but after this time no response is
     * expected.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

    private static final int PAGE_SIZE = 500;

    private final Http.Client http;
    private final String address;
    private final EventLoop loop;
    private final AdaptiveRateLimiter requestLimiter;

    /**
     * Creates a client of the cloud at an address.
     *
     * @param loop the event loop that sends the delayed requests
     * @param requestLimiter the rate limit for all requests of this client
     */
    public CloudClient(
            Http.Client http, String address, EventLoop loop, AdaptiveRateLimiter requestLimiter) {
        this.http = http;
        this.address = address;
        this.loop = loop;
        this.requestLimiter = requestLimiter;
    }

    @Override
    public CompletableFuture<List<MachineType>> listMachineTypes() {
        return sendWithinLimit("GET", CloudCodec.MACHINE_TYPES_PATH, null)
                .thenApply(CloudCodec::decodeMachineTypes);
    }

    @Override
    public CompletableFuture<Optional<List<MachineId>>> rentMachines(
            String request, String type, String zone, boolean spot, int count) {
        byte[] body = CloudCodec.encodeRentRequest(request, type, zone, spot, count);
        return sendWithinLimit("POST", CloudCodec.MACHINES_PATH, body)
                .thenApply(CloudCodec::decodeRentedMachines);
    }

    @Override
    public CompletableFuture<Void> releaseMachines(List<MachineId> machines) {
        byte[] body = CloudCodec.encodeReleaseRequest(machines);
        return sendWithinLimit("POST", CloudCodec.RELEASE_PATH, body)
                .thenAccept(CloudCodec::requireReleased);
    }

    @Override
    public CompletableFuture<List<ListedMachine>> listMachines() {
        return fetchRemainingPages("", new ArrayList<>());
    }

    /**
     * @param after the id of the last machine fetched, or empty for the first page
     * @param fetched collects the machines of all pages
     */
    private CompletableFuture<List<ListedMachine>> fetchRemainingPages(
            String after, List<ListedMachine> fetched) {
        return sendWithinLimit("GET", CloudCodec.machinesPath(after, PAGE_SIZE), null)
                .thenCompose(
                        reply -> {
                            CloudCodec.MachinePage page = CloudCodec.decodeMachinePage(reply);
                            fetched.addAll(page.machines());
                            if (!page.hasMore() || fetched.isEmpty()) {
                                return CompletableFuture.completedFuture(fetched);
                            }
                            MachineId last = fetched.get(fetched.size() - 1).id();
                            return fetchRemainingPages(last.value(), fetched);
                        });
    }

    private CompletableFuture<Http.Reply> sendWithinLimit(String method, String path, byte[] body) {
        Duration delay = requestLimiter.delayUntilAvailable(1, loop.now());
        requestLimiter.consume(1, loop.now());
        if (delay.isZero()) {
            return http.send(address, method, path, body, RESPONSE_TIMEOUT);
        }
        CompletableFuture<Http.Reply> response = new CompletableFuture<>();
        loop.schedule(delay, () -> sendAndComplete(response, method, path, body));
        return response;
    }

    private void sendAndComplete(
            CompletableFuture<Http.Reply> response, String method, String path, byte[] body) {
        CompletableFuture<Http.Reply> unusedReply =
                http.send(address, method, path, body, RESPONSE_TIMEOUT)
                        .whenComplete(
                                (reply, failure) -> {
                                    if (failure == null) {
                                        response.complete(reply);
                                    } else {
                                        response.completeExceptionally(failure);
                                    }
                                });
    }
}
