/**
 * Tracing of tasks: spans are exported by OTLP over HTTP. The package is loaded only by a
 * controller with tracing enabled. Spans are recorded under the tracer's lock; the SDK exports them
 * on a thread of its own.
 */
package org.meadowhollow.transport.tracing;
