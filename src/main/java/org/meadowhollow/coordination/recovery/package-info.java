/**
 * State recovery of a new leader: it restores jobs, task shards and image caches from the key-value
 * store, or from what this node followed as a standby, then watches the job records for new jobs
 * and cancellations. It owns how far the records are known; that bounds how long worker leases may
 * be renewed. All answers of the store are taken in under the leader's lock. It may call {@code
 * lifecycle} and {@code failover}, and tells the leader's service through {@code RecoveryListener}.
 */
package org.meadowhollow.coordination.recovery;
