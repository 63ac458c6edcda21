/**
 * Reconciliation of heartbeats with the records: which tasks of a heartbeat are expected, which
 * have ended, and which commands bring the worker and the records together. Also answers the
 * heartbeats, immediately or deferred, and so decides which worker leases are renewed. Runs under
 * the leader's lock; responses are completed outside it. It may call {@code lifecycle}, {@code
 * leadership} and {@code fleet}, and is called by the leader's service alone.
 */
package org.meadowhollow.coordination.reconciliation;
