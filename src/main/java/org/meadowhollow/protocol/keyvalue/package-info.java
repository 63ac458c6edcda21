/**
 * The client of the consensus-backed key-value store: compare-and-swap transactions, leases and
 * watches over HTTP and MessagePack.
 *
 * <p>{@link org.meadowhollow.protocol.keyvalue.KeyValueStoreClient} implements the port {@link
 * org.meadowhollow.storage.KeyValueStore}. Its state is the request queue and the observed health
 * of the store, each guarded by its own lock; neither lock is held while a request is sent or a
 * future is completed.
 */
package org.meadowhollow.protocol.keyvalue;
