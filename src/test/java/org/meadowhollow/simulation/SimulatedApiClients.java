package org.meadowhollow.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.meadowhollow.protocol.Http;

/**
 * The clients of the HTTP APIs for task execution and for reservations. The methods that wait for
 * an answer advance virtual time.
 */
final class SimulatedApiClients {
    private static final String TES_PATH = "/ga4gh/tes/v1";
    private static final String RESERVATION_PATH = "/calendar/v1/";
    private static final String AUTHORIZATION = "Authorization";

    private final SimulatedCluster cluster;

    SimulatedApiClients(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Sends a request of the task execution API, and waits five seconds for the answer.
     *
     * @param token the bearer token; null if any authorization is in the headers
     * @return the answer, or null if none comes
     */
    Http.Reply sendTesRequest(
            int node,
            String token,
            String method,
            String path,
            Map<String, List<String>> query,
            Map<String, String> headers,
            String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return sendTesRequest(node, token, method, path, query, headers, bytes);
    }

    /**
     * Sends a request of the task execution API, and waits five seconds for the answer.
     *
     * @param token the bearer token; null if any authorization is in the headers
     * @return the answer, or null if none comes
     */
    Http.Reply sendTesRequest(
            int node,
            String token,
            String method,
            String path,
            Map<String, List<String>> query,
            Map<String, String> headers,
            byte[] body) {
        if (!cluster.nodes().get(node).isRunning()) {
            return null;
        }
        return await(sendTesRequestAsync(node, token, method, path, query, headers, body));
    }

    /** Sends a request of the task execution API to a running node without waiting. */
    CompletableFuture<Http.Reply> sendTesRequestAsync(
            int node,
            String token,
            String method,
            String path,
            Map<String, List<String>> query,
            Map<String, String> headers,
            byte[] body) {
        Map<String, String> allHeaders = new HashMap<>(headers);
        if (token != null) {
            allHeaders.put(AUTHORIZATION, bearer(token));
        }
        return cluster.nodes()
                .get(node)
                .tesApi()
                .answer(new Http.Request(method, TES_PATH + path, query, allHeaders::get, body));
    }

    /**
     * Sends a request of the reservation API, and waits five seconds for the answer.
     *
     * @param version the version on which the request is conditional; null if it is unconditional
     * @return the answer, or null if none comes
     */
    Http.Reply sendReservationRequest(
            int node, String token, String method, String path, String version, String body) {
        return await(sendReservationRequestAsync(node, token, method, path, version, body));
    }

    /** Sends a request of the reservation API without waiting. */
    CompletableFuture<Http.Reply> sendReservationRequestAsync(
            int node, String token, String method, String path, String version, String body) {
        Map<String, String> headers = new HashMap<>(Map.of(AUTHORIZATION, bearer(token)));
        if (version != null) {
            headers.put("If-Match", version);
        }
        return cluster.nodes()
                .get(node)
                .reservationApi()
                .answer(
                        new Http.Request(
                                method,
                                RESERVATION_PATH + path,
                                Map.of(),
                                headers::get,
                                body.getBytes(StandardCharsets.UTF_8)));
    }

    private static String bearer(String token) {
        return "Bearer " + token;
    }

    private Http.Reply await(CompletableFuture<Http.Reply> answer) {
        cluster.runUntilAnswered(answer);
        return answer.isDone() ? answer.join() : null;
    }
}
