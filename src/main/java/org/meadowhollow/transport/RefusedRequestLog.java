package org.meadowhollow.transport;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the requests that a server refuses as malformed, and counts them by cause. At most {@link
 * #MAX_LINES_PER_INTERVAL} requests an interval are logged one by one, and no text of a request in
 * full, so that a flood of them cannot fill the disk. Confined to the thread of the event loop.
 */
final class RefusedRequestLog {
    static final Duration REPORT_INTERVAL = Duration.ofMinutes(1);
    static final int MAX_LINES_PER_INTERVAL = 20;
    static final int MAX_TEXT_LENGTH = 200;

    private static final Logger LOG = LoggerFactory.getLogger(RefusedRequestLog.class);

    private final EventLoop loop;
    private final Map<Defect, Long> refusedByCause = new EnumMap<>(Defect.class);

    /** The number of requests refused in the current interval; 0 while no report is due. */
    private long refusedInInterval;

    RefusedRequestLog(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * A request that was refused.
     *
     * @param sender the address that it came from
     * @param bodyBytes the length of its body, or -1 if it was not received in full
     */
    record RefusedRequest(String method, String path, String sender, long bodyBytes) {}

    /** Records a refused request. */
    void record(RefusedRequest request, Http.Refusal refusal) {
        refusedByCause.merge(refusal.cause(), 1L, Long::sum);
        refusedInInterval++;
        if (refusedInInterval <= MAX_LINES_PER_INTERVAL) {
            LOG.info(
                    "request refused method={} path={} from={} body_bytes={} cause={} reason={}",
                    printable(request.method()),
                    printable(request.path()),
                    request.sender(),
                    request.bodyBytes(),
                    refusal.cause(),
                    printable(refusal.reason()));
        }
        if (refusedInInterval == 1) {
            loop.schedule(REPORT_INTERVAL, this::endInterval);
        }
    }

    /** Returns how many requests have been refused for each cause since the start. */
    Map<Defect, Long> refusedByCause() {
        return Map.copyOf(refusedByCause);
    }

    private void endInterval() {
        loop.runRepeating(RepeatingStep.REFUSAL_REPORT, this::report);
        refusedInInterval = 0;
    }

    private void report() {
        LOG.info(
                "requests refused count={} not_logged={} since_start={}",
                refusedInInterval,
                Math.max(0, refusedInInterval - MAX_LINES_PER_INTERVAL),
                refusedByCause);
    }

    /** Returns the beginning of a sender's text, without characters that could forge a line. */
    private static String printable(String text) {
        String beginning =
                text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) : text;
        return beginning.replaceAll("\\p{Cntrl}", "?");
    }
}
