/**
 * The machines, tasks and jobs of one leadership as they change: machines that register or fail,
 * task attempts that start, exit, are lost or are stopped, and jobs that are admitted or end. It
 * owns no lock and starts no timers; everything here runs under the leader's lock. It writes
 * through the {@code RecordWriter} and reaches workers through {@code CommandSender}; it decides no
 * placements.
 */
package org.meadowhollow.coordination.lifecycle;
