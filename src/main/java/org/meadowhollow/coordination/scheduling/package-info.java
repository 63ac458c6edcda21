/**
 * Which task goes where: the learned risk, the round, and room made by stopping others. Decides
 * from what a leader knows of jobs and machines ({@code Cluster}), with the clock passed in; sends
 * and writes nothing.
 */
package org.meadowhollow.coordination.scheduling;
