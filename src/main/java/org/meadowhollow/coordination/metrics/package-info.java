/**
 * Who is served: counts of jobs by class and team, for the log. It decides nothing and sends
 * nothing; it sees jobs as the leader tells of them.
 */
package org.meadowhollow.coordination.metrics;
