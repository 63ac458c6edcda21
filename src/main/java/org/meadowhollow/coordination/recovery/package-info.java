/**
 * State recovery of a new leader: it restores jobs, task shards and image caches from the key-value
 * store, or from the replicas that this node kept as a standby, then watches the job records for
 * new jobs and cancellations. It owns the knowledge of how far the records are known, which bounds
 * how long worker leases may be renewed. All responses of the store are applied under the leader's
 * lock. It may call {@code lifecycle} and {@code failover}, and notifies the leader's service
 * through {@code RecoveryListener}.
 */
package org.meadowhollow.coordination.recovery;
