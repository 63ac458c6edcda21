/**
 * Persistence in the consensus-backed key-value store: the interface of the store ({@code
 * KeyValueStore}, {@code Transaction}), the keys and one codec for each kind of record, the writer
 * of a leader's records ({@code RecordWriter}), and replicas with their digests.
 *
 * <p>This package decides which records go into a transaction, in which order and with which
 * priority, and when a failed transaction is retried. It owns the writer's pending records; jobs
 * and their shards belong to the caller. It may depend on {@code model} and on nothing above it;
 * only the codecs know field names.
 *
 * <p>No type of this package takes a lock. A {@code RecordWriter} is confined to the event loop's
 * thread, on which the store completes its futures; access to replicas and digests is synchronized
 * by their owners; all other types are immutable or stateless.
 */
package org.meadowhollow.storage;
