/**
 * Counts jobs by class and team, so that the log shows which of them starve. This package makes no
 * decisions, sends nothing and may call only {@code model}. Its state is guarded by the leader's
 * lock; the leader reports the events of jobs to it and logs the lines that it returns.
 */
package org.meadowhollow.coordination.metrics;
