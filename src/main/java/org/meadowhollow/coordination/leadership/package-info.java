/**
 * Leader election and the leader's lease.
 *
 * <p><b>Decides</b> which controller leads, with which fencing token, which controllers may stand
 * for election and when ({@link org.meadowhollow.coordination.leadership.CandidacyPolicy}), and
 * what a leader may do at a given moment: decide, start tasks, renew the leases of workers. The
 * rules and the argument why they are safe are in {@link
 * org.meadowhollow.coordination.leadership.LeadershipSafety}.
 *
 * <p><b>Owns</b> two records of the key-value store: the leader record (written under a lease, so
 * that it disappears with its holder) and the token counter (the highest fencing token given out,
 * and after a release, the member that should be elected next). It writes no other records.
 *
 * <p><b>May call</b> the key-value store, the event loop, the peers (probes and announcements,
 * which shorten failovers; no safety rule relies on them) and the heartbeat tracker.
 *
 * <p><b>Structure.</b> {@link org.meadowhollow.coordination.leadership.LeadershipStateMachine} is a
 * pure function from a state, an event and the clock to the next state and a list of effects.
 * {@link org.meadowhollow.coordination.leadership.Leadership} holds the state under its own lock,
 * and performs the effects after it has released that lock: no I/O and no callback happens under
 * it. Model-checking tests explore the same state machine.
 */
package org.meadowhollow.coordination.leadership;
