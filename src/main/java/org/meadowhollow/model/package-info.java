/**
 * The domain types of the scheduler: identifiers, times, resources, jobs with their tasks and
 * placements, machines, heartbeats and commands, and the listeners of what happens to jobs.
 *
 * <p>This package decides nothing about scheduling and calls no other package of this program. Its
 * mutable types ({@code Job}, {@code TaskShard}, {@code Placement}, {@code Machine}, {@code
 * SecondaryRecord}) hold the state of one leadership and are not thread-safe: the leader that owns
 * them guards them with its lock. All other types are immutable or say otherwise.
 */
package org.meadowhollow.model;
