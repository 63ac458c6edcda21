/**
 * What is kept in the consensus-backed key-value store, and how: the port to the store ({@code
 * KeyValueStore}, {@code Transaction}), the keys and one codec for each kind of record, the writer
 * of a leader's records ({@code RecordWriter}), and replicas with their digests.
 *
 * <p>This package decides which records go into a transaction, in which order and with which
 * priority, and when a failed one is repeated. It owns the writer's pending records; jobs and their
 * shards belong to the caller. It may call {@code model} and nothing above it; only the codecs know
 * field names.
 *
 * <p>Nothing here takes a lock. A {@code RecordWriter} is confined to the event loop's thread, on
 * which the store completes its futures; replicas and digests are guarded by their owners; all
 * other types are immutable or without state.
 */
package org.meadowhollow.storage;
