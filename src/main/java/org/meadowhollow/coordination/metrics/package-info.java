/**
 * Counts jobs by class and team, so that the log shows which of them starve. It decides nothing,
 * sends nothing and may call {@code model} only; its state is guarded by the leader's lock, and the
 * leader reports the events of jobs and logs the lines.
 */
package org.meadowhollow.coordination.metrics;
