package org.meadowhollow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException.Defect;
import org.meadowhollow.simulation.VirtualEventLoop;

class RefusedRequestLogTest {
    private static final Http.Refusal MISSING_TEAM =
            new Http.Refusal(Defect.FIELD_MISSING, "crew is missing");

    private final VirtualEventLoop loop = new VirtualEventLoop();
    private final RefusedRequestLog refusedRequestLog = new RefusedRequestLog(loop);

    private static RefusedRequestLog.RefusedRequest request(String path) {
        return new RefusedRequestLog.RefusedRequest("POST", path, "/10.0.0.7:4711", 1563);
    }

    private static List<String> linesLoggedBy(Runnable action) {
        PrintStream original = System.err;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            action.run();
        } finally {
            System.setErr(original);
        }
        return captured.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("refused"))
                .toList();
    }

    @Test
    void lineTellsWhichRequestWasRefusedWhyFromWhomAndHowLargeItWas() {
        List<String> lines =
                linesLoggedBy(
                        () -> refusedRequestLog.record(request("/submissions"), MISSING_TEAM));
        assertEquals(1, lines.size());
        assertTrue(
                lines.get(0)
                        .endsWith(
                                "request refused method=POST path=/submissions from=/10.0.0.7:4711"
                                        + " body_bytes=1563 cause=FIELD_MISSING"
                                        + " reason=crew is missing"),
                lines.get(0));
    }

    @Test
    void floodOfRefusedRequestsIsCountedButNotLoggedOneByOne() {
        String longPath = "/submissions/" + "x\n".repeat(5000);
        List<String> lines =
                linesLoggedBy(
                        () -> {
                            for (int count = 0; count < 10_000; count++) {
                                refusedRequestLog.record(request(longPath), MISSING_TEAM);
                            }
                            loop.run(RefusedRequestLog.REPORT_INTERVAL.plusSeconds(1));
                        });
        assertEquals(RefusedRequestLog.MAX_LINES_PER_INTERVAL + 1, lines.size());
        assertFalse(lines.stream().anyMatch(line -> line.length() > 500));
        assertTrue(
                lines.get(lines.size() - 1)
                        .endsWith(
                                "requests refused count=10000 not_logged=9980"
                                        + " since_start={FIELD_MISSING=10000}"));
        assertEquals(Map.of(Defect.FIELD_MISSING, 10_000L), refusedRequestLog.refusedByCause());
    }

    @Test
    void refusedRequestAfterAQuietIntervalIsLoggedAgain() {
        refusedRequestLog.record(request("/hello"), MISSING_TEAM);
        loop.run(RefusedRequestLog.REPORT_INTERVAL.plusSeconds(1));
        List<String> lines =
                linesLoggedBy(
                        () -> {
                            refusedRequestLog.record(request("/hello"), MISSING_TEAM);
                            loop.run(RefusedRequestLog.REPORT_INTERVAL.multipliedBy(3));
                        });
        assertEquals(2, lines.size(), "one line for the request and one for its interval");
    }
}
