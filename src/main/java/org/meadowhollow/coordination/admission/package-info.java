/**
 * What users ask about jobs: submitting them, showing their state and cancelling them, answered by
 * any node directly from the key-value store.
 *
 * <p>Decides whether a job can ever be scheduled, and which state of a job may be shown: never one
 * older than any node has shown before. Owns a cache of the states of finished jobs, which never
 * change, and one of live jobs, which is read behind a read barrier ({@link
 * org.meadowhollow.coordination.admission.JobStatusCache}). Both are bounded and lost at a restart.
 *
 * <p>Calls the key-value store at user priority, and the event loop for time and timers; takes the
 * counts of live jobs from whatever node state it is given, and does not know the leader. All types
 * are thread-safe, each with a lock of its own, and no I/O is done while one is held.
 */
package org.meadowhollow.coordination.admission;
