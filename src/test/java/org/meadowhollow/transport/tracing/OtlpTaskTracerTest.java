package org.meadowhollow.transport.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest;
import io.opentelemetry.proto.trace.v1.ResourceSpans;
import io.opentelemetry.proto.trace.v1.ScopeSpans;
import io.opentelemetry.proto.trace.v1.Span;
import io.opentelemetry.proto.trace.v1.Status;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.meadowhollow.model.AttemptRecord;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.JobPhase;
import org.meadowhollow.model.TaskTracer.TracedTask;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/** Tests the spans that a stub of a collector receives, decoded with the published protocol. */
class OtlpTaskTracerTest {
    private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
    private static final String CLIENT_SPAN_ID = "b7ad6b7169203331";
    private static final String TRACEPARENT = "00-" + TRACE_ID + '-' + CLIENT_SPAN_ID + "-01";

    private final List<ResourceSpans> receivedSpans = new ArrayList<>();
    private XnioEventLoop loop;
    private HttpServer collector;

    @BeforeEach
    void listen() throws IOException {
        loop = new XnioEventLoop();
        collector =
                new HttpServer(
                        loop,
                        new DefaultByteBufferPool(false, 8192),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(1),
                        (Http.SimpleRequestHandler) this::receiveExport);
    }

    @AfterEach
    void close() {
        collector.close();
        loop.close();
    }

    private CompletableFuture<Http.Reply> receiveExport(String method, String path, byte[] body) {
        try {
            if (path.equals("/v1/traces")) {
                synchronized (receivedSpans) {
                    receivedSpans.addAll(
                            ExportTraceServiceRequest.parseFrom(body).getResourceSpansList());
                }
            }
        } catch (InvalidProtocolBufferException broken) {
            return CompletableFuture.completedFuture(
                    Http.Reply.error(400, "not an export request"));
        }
        return CompletableFuture.completedFuture(
                new Http.Reply(200, new byte[0], 0, "application/x-protobuf"));
    }

    private OtlpTaskTracer newTracer(String member) {
        return OtlpTaskTracer.exportingTo(
                URI.create("http://127.0.0.1:" + collector.port()), member);
    }

    private List<Span> spans() {
        synchronized (receivedSpans) {
            return receivedSpans.stream()
                    .map(ResourceSpans::getScopeSpansList)
                    .flatMap(List::stream)
                    .map(ScopeSpans::getSpansList)
                    .flatMap(List::stream)
                    .toList();
        }
    }

    private static String hex(ByteString id) {
        return HexFormat.of().formatHex(id.toByteArray());
    }

    @Test
    void spansOfATaskExportedByTwoNodesFormOneTree() {
        TracedTask task = new TracedTask(TRACEPARENT, new JobId("tes-1"), "team");
        try (OtlpTaskTracer first = newTracer("n0");
                OtlpTaskTracer second = newTracer("n1")) {
            first.onTaskAccepted(task, 1000, 1010);
            second.onAttemptEnded(
                    task, 1005, new AttemptRecord(1, "m1", 2000, 3000, 4000, "ERROR"));
            second.onAttemptEnded(task, 4000, new AttemptRecord(2, "m2", 5000, 0, 6000, "LOST"));
            second.onAttemptEnded(task, 6000, new AttemptRecord(3, "m3", 7000, 7500, 7400, "DONE"));
            second.onTaskEnded(task, JobPhase.DONE, 1005, 9000);
            // A new leader exports the span again, with the same id.
            first.onTaskEnded(task, JobPhase.DONE, 1005, 9000);
        }
        Map<String, Span> byId =
                spans().stream()
                        .collect(
                                Collectors.toMap(
                                        span -> hex(span.getSpanId()),
                                        Function.identity(),
                                        (one, same) -> same));
        assertEquals(11, spans().size());
        assertEquals(10, byId.size());
        Span taskSpan =
                byId.values().stream()
                        .filter(span -> span.getName().equals("task"))
                        .findFirst()
                        .orElseThrow();
        assertEquals(CLIENT_SPAN_ID, hex(taskSpan.getParentSpanId()));
        assertEquals(9000 * 1_000_000L, taskSpan.getEndTimeUnixNano());
        for (Span span : byId.values()) {
            assertEquals(TRACE_ID, hex(span.getTraceId()));
            assertTrue(
                    span.equals(taskSpan) || span.getParentSpanId().equals(taskSpan.getSpanId()),
                    span.getName());
            assertTrue(span.getStartTimeUnixNano() <= span.getEndTimeUnixNano(), span.getName());
        }
        List<Span> failed =
                byId.values().stream()
                        .filter(
                                span ->
                                        span.getStatus().getCode()
                                                == Status.StatusCode.STATUS_CODE_ERROR)
                        .toList();
        assertEquals(
                List.of("prepare LOST", "run ERROR"),
                failed.stream()
                        .map(span -> span.getName() + ' ' + span.getStatus().getMessage())
                        .sorted()
                        .toList());
        assertEquals(
                2,
                receivedSpans.stream().map(ResourceSpans::getResource).distinct().count(),
                "each node exports its own name");
    }

    @Test
    void onlyAValidSampledContextIsKept() {
        try (OtlpTaskTracer tracer = newTracer("n0")) {
            assertEquals(TRACEPARENT, tracer.traceContextOf(TRACEPARENT));
            assertEquals(
                    TRACEPARENT.replaceFirst("00", "cc"),
                    tracer.traceContextOf(TRACEPARENT.replaceFirst("00", "cc") + "-more"),
                    "a later version of the header may be longer");
            for (String invalid :
                    new String[] {
                        null,
                        "",
                        "00-" + TRACE_ID + '-' + CLIENT_SPAN_ID + "-00",
                        TRACEPARENT.replace(TRACE_ID, "0".repeat(32)),
                        TRACEPARENT.replace('-', '_'),
                        "ff" + TRACEPARENT.substring(2),
                        "\u0000".repeat(55),
                        "00-"
                                + TRACE_ID.toUpperCase(java.util.Locale.ROOT)
                                + '-'
                                + CLIENT_SPAN_ID
                                + "-01"
                    }) {
                assertNull(tracer.traceContextOf(invalid), invalid);
            }
        }
    }

    @Test
    void recordingDoesNotBlockWhenTheCollectorIsUnavailable() {
        TracedTask task = new TracedTask(TRACEPARENT, new JobId("tes-1"), "team");
        int port = collector.port();
        collector.close();
        long startNanos = System.nanoTime();
        try (OtlpTaskTracer tracer =
                OtlpTaskTracer.exportingTo(URI.create("http://127.0.0.1:" + port), "n0")) {
            for (int count = 0; count < 5000; count++) {
                tracer.onTaskEnded(task, JobPhase.DONE, 1, 2);
            }
            assertTrue(
                    System.nanoTime() - startNanos < Duration.ofSeconds(5).toNanos(),
                    "spans that do not fit into the queue are dropped");
        }
    }
}
