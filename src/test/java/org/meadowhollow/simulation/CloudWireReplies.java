package org.meadowhollow.simulation;

import java.util.List;
import java.util.Map;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MessageReader;

/** HTTP replies of a stand-in for the cloud provider, with the field names of the wire. */
final class CloudWireReplies {
    private CloudWireReplies() {}

    /** One machine type, "t", in zone "z". */
    static Http.Reply machineTypes() {
        Map<String, Object> type =
                MessageReader.mapOf(
                        "label",
                        "t",
                        "cores",
                        8.0,
                        "gpus",
                        2.0,
                        "memGb",
                        32.0,
                        "cacheGb",
                        50.0,
                        "fetchGbPerS",
                        1.0,
                        "hourly",
                        1.0,
                        "readyS",
                        30.0,
                        "fields",
                        List.of("z"));
        return Http.Reply.of(200, MessageReader.mapOf("breeds", List.of(type)));
    }

    static Http.Reply noCapacity() {
        return Http.Reply.retryLater(503, 1, "no capacity");
    }

    /** The list of rented machines, on one page. */
    static Http.Reply machines(List<?> listings) {
        return Http.Reply.of(200, MessageReader.mapOf("stalls", listings, "truncated", false));
    }
}
