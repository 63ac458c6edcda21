/**
 * Serves the requests of users about jobs: submitting them, showing their state and cancelling
 * them. Any node answers directly from the key-value store.
 *
 * <p>This package decides whether a job can ever be scheduled, and which state of a job may be
 * shown: never one older than any node has shown before. It owns a cache of the states of finished
 * jobs, which never change, and one of live jobs, which is read only after a read barrier ({@link
 * org.meadowhollow.coordination.admission.JobStatusCache}). Both caches are bounded and lost at a
 * restart.
 *
 * <p>It calls the key-value store at user priority, and the event loop for time and timers. It
 * obtains the task counts of live jobs from the source that it is given and does not depend on the
 * leader. All types are thread-safe, each with a lock of its own, and no I/O is done while one is
 * held.
 */
package org.meadowhollow.coordination.admission;
