package org.meadowhollow.cli.reservation;

import java.net.http.HttpRequest;
import java.util.Map;
import org.meadowhollow.protocol.JsonCodec;
import picocli.CommandLine.Option;

/** The flags that all commands share; sends requests to the node that they name. */
final class NodeOptions {
    static final String NODE_URL_VARIABLE = "MEADOWHOLLOW_CALENDAR_URL";
    static final String TOKEN_VARIABLE = "MEADOWHOLLOW_CALENDAR_TOKEN";

    @Option(
            names = "--node",
            paramLabel = "URL",
            description =
                    "a node's --calendar-listen address"
                            + " (default: the variable "
                            + NODE_URL_VARIABLE
                            + "); the token is in "
                            + TOKEN_VARIABLE)
    private String node;

    // Read only by picocli, through reflection, to detect a request for help.
    @SuppressWarnings("UnusedVariable")
    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Show this help message and exit.")
    private boolean help;

    /**
     * Sends a request to the node.
     *
     * @param path the path below that of the API
     * @param version the revision that a change expects, or null
     * @param body the fields to send as JSON, or null for none
     * @return the fields of the response
     */
    Map<String, Object> sendRequest(
            Map<String, String> environment,
            String method,
            String path,
            Long version,
            Map<String, Object> body)
            throws CommandFailedException {
        String base = node != null ? node : environment.get(NODE_URL_VARIABLE);
        String token = environment.get(TOKEN_VARIABLE);
        if (base == null || token == null) {
            throw new CommandFailedException(
                    "--node or " + NODE_URL_VARIABLE + ", and " + TOKEN_VARIABLE + ", are needed");
        }
        HttpRequest.Builder request = NodeClient.newRequest(base, path, token);
        if (version != null) {
            request.header("If-Match", String.valueOf(version));
        }
        request.method(
                method,
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(JsonCodec.encode(body)));
        return NodeClient.sendWithRetries(request.build());
    }
}
