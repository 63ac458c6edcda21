package org.meadowhollow.cli.reservation;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;

/** Sends requests to a node and retries those that it cannot serve at the moment. */
final class NodeClient {
    private static final String PATH_PREFIX = "/calendar/v1/";
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_ATTEMPTS = 5;
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);
    private static final int SERVICE_UNAVAILABLE = 503;

    private NodeClient() {}

    /**
     * Returns a request that still needs a method.
     *
     * @param base the node's address, with or without a scheme
     * @param path the path below that of the API
     * @param token the operator's bearer token
     */
    static HttpRequest.Builder newRequest(String base, String path, String token)
            throws CommandFailedException {
        String url = (base.contains("://") ? base : "http://" + base) + PATH_PREFIX + path;
        try {
            return HttpRequest.newBuilder(URI.create(url))
                    .timeout(RESPONSE_TIMEOUT)
                    .header("Authorization", "Bearer " + token);
        } catch (IllegalArgumentException invalid) {
            throw new CommandFailedException(base + " is not a node's address");
        }
    }

    /**
     * Sends a request and returns the fields of the response. Every request is idempotent, so one
     * that gets no response or status 503 is sent again.
     */
    static Map<String, Object> sendWithRetries(HttpRequest request) throws CommandFailedException {
        String failure = "no answer";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                HttpResponse<byte[]> reply =
                        HttpClient.newHttpClient()
                                .send(request, HttpResponse.BodyHandlers.ofByteArray());
                Map<String, Object> fields = JsonCodec.decode(reply.body());
                if (reply.statusCode() / 100 == 2) {
                    return fields;
                }
                failure = reply.statusCode() + ", " + fields.get("error");
                if (reply.statusCode() != SERVICE_UNAVAILABLE) {
                    throw new CommandFailedException(failure);
                }
                Thread.sleep(retryDelay(reply).toMillis());
            } catch (IOException | MalformedMessageException lost) {
                failure =
                        "no answer from " + request.uri().getAuthority() + ": " + lost.getMessage();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        throw new CommandFailedException(failure);
    }

    private static Duration retryDelay(HttpResponse<?> reply) {
        long seconds = reply.headers().firstValueAsLong("Retry-After").orElse(1);
        Duration requested = Duration.ofSeconds(seconds);
        return requested.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : requested;
    }
}
