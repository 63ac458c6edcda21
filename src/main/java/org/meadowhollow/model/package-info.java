/**
 * The domain types of the scheduler: identifiers, times, resources, jobs with their tasks and
 * placements, machines, heartbeats and commands, and the listeners for job events.
 *
 * <p>This package makes no scheduling decisions and calls no other package of this program. Its
 * mutable types ({@code Job}, {@code TaskShard}, {@code Placement}, {@code Machine}, {@code
 * SecondaryRecord}) hold the state of one leadership and are not thread-safe: the leader that owns
 * them guards them with its lock. All other types are immutable unless their documentation says
 * otherwise.
 */
package org.meadowhollow.model;
