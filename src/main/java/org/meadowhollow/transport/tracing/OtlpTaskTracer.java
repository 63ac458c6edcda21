package org.meadowhollow.transport.tracing;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanBuilder;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.IdGenerator;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanLimits;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.meadowhollow.model.AttemptRecord;
import org.meadowhollow.model.ExitReason;
import org.meadowhollow.model.JobPhase;
import org.meadowhollow.model.TaskTracer;

/**
 * Exports spans by OTLP over HTTP with the OpenTelemetry SDK. A span's id is a hash of the task's
 * trace context, its job and the span's name, so that a span that is exported again after a
 * failover has the same id, and a child can refer to a parent that another node will export.
 *
 * <p>Spans that cannot be sent in time are dropped: a collector that hangs costs a bounded queue
 * and one thread. Thread-safe: the tracer's lock guards the SDK's provider and the id generator.
 */
public final class OtlpTaskTracer implements TaskTracer {
    private static final String TRACES_PATH = "/v1/traces";

    /** The span of a task from its admission to its end: the parent of its other spans. */
    private static final String TASK_SPAN_NAME = "task";

    /**
     * The limit of spans that wait for export. At about a kilobyte each they take one megabyte,
     * which a small node can spare.
     */
    private static final int MAX_QUEUED_SPANS = 1024;

    private static final int MAX_SPANS_PER_EXPORT = 256;

    /** The time between two exports: an export every few seconds is no burden on a small node. */
    private static final Duration EXPORT_INTERVAL = Duration.ofSeconds(5);

    private static final Duration EXPORT_TIMEOUT = Duration.ofSeconds(5);

    /** The limit of the wait for the last export at shutdown: the collector may be down. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private static final int MAX_ATTRIBUTES = 16;

    /** The header that carries the W3C trace context. */
    private static final String TRACEPARENT_HEADER = "traceparent";

    /** The length of a {@code traceparent} header of version 00. */
    private static final int TRACEPARENT_LENGTH = 55;

    private static final AttributeKey<String> TASK_ATTRIBUTE =
            AttributeKey.stringKey("meadowhollow.task");
    private static final AttributeKey<String> TEAM_ATTRIBUTE =
            AttributeKey.stringKey("meadowhollow.team");
    private static final AttributeKey<String> STATE_ATTRIBUTE =
            AttributeKey.stringKey("meadowhollow.state");
    private static final AttributeKey<String> MACHINE_ATTRIBUTE =
            AttributeKey.stringKey("meadowhollow.machine");
    private static final AttributeKey<String> CAUSE_ATTRIBUTE =
            AttributeKey.stringKey("meadowhollow.cause");
    private static final AttributeKey<Long> ATTEMPT_ATTRIBUTE =
            AttributeKey.longKey("meadowhollow.attempt");

    // The deprecated method "keys" is overridden because its default lists no headers.
    @SuppressWarnings("deprecation")
    private static final TextMapGetter<Map<String, String>> MAP_GETTER =
            new TextMapGetter<>() {
                @Override
                public Iterable<String> keys(Map<String, String> carrier) {
                    return carrier.keySet();
                }

                @Override
                public String get(Map<String, String> carrier, String key) {
                    return carrier == null ? null : carrier.get(key);
                }
            };

    private final String endpoint;
    private final String member;
    private final PresetSpanIdGenerator spanIds = new PresetSpanIdGenerator();

    /** Created for the first span, because creating it takes longer than the rest of a start. */
    @GuardedBy("this")
    private SdkTracerProvider tracerProvider;

    /** Returns the id that was set for the next span. Guarded by the tracer's lock. */
    private static final class PresetSpanIdGenerator implements IdGenerator {
        private String nextSpanId;

        @Override
        public String generateSpanId() {
            return nextSpanId;
        }

        @Override
        public String generateTraceId() {
            throw new IllegalStateException(
                    "a span has no parent: every span must belong to a client's trace");
        }
    }

    private OtlpTaskTracer(String endpoint, String member) {
        this.endpoint = endpoint;
        this.member = member;
    }

    @GuardedBy("this")
    private Tracer tracer() {
        if (tracerProvider == null) {
            tracerProvider = newTracerProvider();
        }
        return tracerProvider.get("org.meadowhollow");
    }

    private SdkTracerProvider newTracerProvider() {
        OtlpHttpSpanExporter exporter =
                OtlpHttpSpanExporter.builder()
                        .setEndpoint(endpoint)
                        .setTimeout(EXPORT_TIMEOUT)
                        .setConnectTimeout(EXPORT_TIMEOUT)
                        .build();
        return SdkTracerProvider.builder()
                .setIdGenerator(spanIds)
                .setResource(
                        Resource.create(
                                Attributes.of(
                                        AttributeKey.stringKey("service.name"),
                                        "meadowhollow",
                                        AttributeKey.stringKey("service.instance.id"),
                                        member)))
                .setSpanLimits(
                        SpanLimits.builder().setMaxNumberOfAttributes(MAX_ATTRIBUTES).build())
                .addSpanProcessor(
                        BatchSpanProcessor.builder(exporter)
                                .setMaxQueueSize(MAX_QUEUED_SPANS)
                                .setMaxExportBatchSize(MAX_SPANS_PER_EXPORT)
                                .setScheduleDelay(EXPORT_INTERVAL)
                                .setExporterTimeout(EXPORT_TIMEOUT)
                                .build())
                .build();
    }

    /**
     * Creates a tracer that exports to a collector. It makes no connection before the first span.
     *
     * @param collector the collector's URL for OTLP over HTTP; {@code /v1/traces} is appended if it
     *     has no path
     * @param member the node's name, exported as an attribute of the resource of every span
     */
    public static OtlpTaskTracer exportingTo(URI collector, String member) {
        boolean hasPath = collector.getPath() != null && collector.getPath().length() > 1;
        String base = collector.toString();
        return new OtlpTaskTracer(
                hasPath
                        ? base
                        : (base.endsWith("/") ? base.substring(0, base.length() - 1) : base)
                                + TRACES_PATH,
                member);
    }

    @Override
    public String traceContextOf(String traceparent) {
        if (traceparent == null || traceparent.length() < TRACEPARENT_LENGTH) {
            return null;
        }
        // Later versions of the header may be longer; only the part that version 00 defines is
        // kept.
        String firstVersion = traceparent.substring(0, TRACEPARENT_LENGTH);
        SpanContext context = parseContext(firstVersion);
        return context.isValid() && context.isSampled() ? firstVersion : null;
    }

    private static SpanContext parseContext(String traceparent) {
        return Span.fromContext(
                        W3CTraceContextPropagator.getInstance()
                                .extract(
                                        Context.root(),
                                        Map.of(TRACEPARENT_HEADER, traceparent),
                                        MAP_GETTER))
                .getSpanContext();
    }

    @Override
    public void onTaskAccepted(TracedTask task, long fromMillis, long untilMillis) {
        recordSpan(
                task,
                taskSpanContext(task),
                "create task",
                SpanKind.SERVER,
                fromMillis,
                untilMillis,
                Attributes.empty(),
                null);
    }

    @Override
    public void onAttemptEnded(TracedTask task, long waitedFromMillis, AttemptRecord attempt) {
        SpanContext parent = taskSpanContext(task);
        String suffix = " " + attempt.attemptNumber();
        Attributes attributes = attributesOf(attempt);
        String failure =
                ExitReason.DONE.storedName().equals(attempt.endReason())
                        ? null
                        : attempt.endReason();
        boolean ran = attempt.startedAtMillis() > 0;
        recordSpan(
                task,
                parent,
                "wait" + suffix,
                SpanKind.INTERNAL,
                waitedFromMillis,
                attempt.placedAtMillis(),
                Attributes.of(ATTEMPT_ATTRIBUTE, (long) attempt.attemptNumber()),
                null);
        recordSpan(
                task,
                parent,
                "prepare" + suffix,
                SpanKind.INTERNAL,
                attempt.placedAtMillis(),
                ran ? attempt.startedAtMillis() : attempt.endedAtMillis(),
                attributes,
                ran ? null : failure);
        if (ran) {
            recordSpan(
                    task,
                    parent,
                    "run" + suffix,
                    SpanKind.INTERNAL,
                    attempt.startedAtMillis(),
                    attempt.endedAtMillis(),
                    attributes,
                    failure);
        }
    }

    private static Attributes attributesOf(AttemptRecord attempt) {
        return Attributes.of(
                ATTEMPT_ATTRIBUTE,
                (long) attempt.attemptNumber(),
                MACHINE_ATTRIBUTE,
                attempt.machineName(),
                CAUSE_ATTRIBUTE,
                attempt.endReason());
    }

    @Override
    public void onTaskEnded(
            TracedTask task, JobPhase finalPhase, long fromMillis, long untilMillis) {
        boolean succeeded = finalPhase == JobPhase.DONE || finalPhase == JobPhase.CANCELLED;
        recordSpan(
                task,
                parseContext(task.traceContext()),
                TASK_SPAN_NAME,
                SpanKind.INTERNAL,
                fromMillis,
                untilMillis,
                Attributes.of(STATE_ATTRIBUTE, finalPhase.name()),
                succeeded ? null : finalPhase.name());
    }

    /** Returns the context of the task's span, which is the same on every node. */
    private static SpanContext taskSpanContext(TracedTask task) {
        SpanContext clientContext = parseContext(task.traceContext());
        return SpanContext.createFromRemoteParent(
                clientContext.getTraceId(),
                spanId(task, TASK_SPAN_NAME),
                TraceFlags.getSampled(),
                TraceState.getDefault());
    }

    private static String spanId(TracedTask task, String name) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(
                                    (task.traceContext() + '/' + task.jobId() + '/' + name)
                                            .getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, Long.BYTES);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(
                    "this Java runtime does not support SHA-256", impossible);
        }
    }

    /**
     * Records one span under its preset id and ends it.
     *
     * @param name the name that the id is derived from; the span is exported without the number of
     *     the attempt
     * @param failure why the operation of the span failed, or null
     */
    // No span name starts with a space and a digit, so that the split always has a first part.
    @SuppressWarnings("StringSplitter")
    private synchronized void recordSpan(
            TracedTask task,
            SpanContext parent,
            String name,
            SpanKind kind,
            long fromMillis,
            long untilMillis,
            Attributes attributes,
            String failure) {
        spanIds.nextSpanId = spanId(task, name);
        SpanBuilder builder =
                tracer().spanBuilder(name.split(" \\d")[0])
                        .setSpanKind(kind)
                        .setParent(Context.root().with(Span.wrap(parent)))
                        .setStartTimestamp(fromMillis, TimeUnit.MILLISECONDS)
                        .setAttribute(TASK_ATTRIBUTE, task.jobId().value())
                        .setAttribute(TEAM_ATTRIBUTE, task.team());
        builder.setAllAttributes(attributes);
        Span span = builder.startSpan();
        if (failure != null) {
            span.setStatus(StatusCode.ERROR, failure);
        }
        // The times may come from two nodes whose clocks differ by more than the operation took.
        span.end(Math.max(fromMillis, untilMillis), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        SdkTracerProvider provider;
        synchronized (this) {
            provider = tracerProvider;
        }
        if (provider != null) {
            provider.shutdown().join(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
