package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Additional delays of the messages on one connection to the key-value store, which make requests
 * and responses overtake one another.
 */
final class MessageDelays {
    /** The protocol expects responses to take a few hundred milliseconds occasionally. */
    private static final Duration MAX_RANDOM_DELAY = Duration.ofMillis(400);

    private final Map<String, Duration> requestDelays = new HashMap<>();
    private final Map<String, Duration> responseDelays = new HashMap<>();

    private final RandomDelays randomDelays = new RandomDelays(MAX_RANDOM_DELAY);

    /** Delays all requests for a key or prefix. */
    void delayRequests(String key, Duration delay) {
        requestDelays.put(key, delay);
    }

    /** Delays all responses about a key or prefix. */
    void delayResponses(String key, Duration delay) {
        responseDelays.put(key, delay);
    }

    /** Delays a share of all messages by up to 400 ms; share 0 ends it. */
    void delayRandomly(double share, long seed) {
        randomDelays.start(share, seed);
    }

    /** Ends all delays. */
    void clear() {
        requestDelays.clear();
        responseDelays.clear();
        randomDelays.stop();
    }

    /** Returns the additional delay of the next request for a key or prefix. */
    Duration nextRequestDelay(String key) {
        return requestDelays.getOrDefault(key, randomDelays.next());
    }

    /** Returns the additional delay of the response to a request for a key or prefix. */
    Duration nextResponseDelay(String key) {
        return responseDelays.getOrDefault(key, randomDelays.next());
    }
}
