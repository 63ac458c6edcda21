package org.meadowhollow.coordination.leadership;

import java.util.Optional;
import org.meadowhollow.coordination.platform.Peers;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.LeaseId;

/** What can happen to a node's leadership. Answers name the epoch that they were asked for in. */
sealed interface LeadershipEvent {
    record Started() implements LeadershipEvent {}

    /**
     * The leader's key was read.
     *
     * @param page null if it could not be
     */
    record Looked(int epoch, KeyValueStore.Page page) implements LeadershipEvent {}

    /**
     * The watch of the leader's key has ended.
     *
     * @param changes null if it failed
     */
    record Watched(int epoch, KeyValueStore.ChangeBatch changes) implements LeadershipEvent {}

    /**
     * The record of terms was read.
     *
     * @param seen the version of the leader's key for which it was
     * @param counter null if it could not be
     * @param hears whether workers have come to this node lately
     */
    record CounterRead(
            int epoch, Revision seen, Optional<KeyValueStore.Entry> counter, boolean hears)
            implements LeadershipEvent {}

    /**
     * A lease was asked for.
     *
     * @param lease null if there is none
     */
    record Granted(
            int epoch,
            Revision seen,
            Optional<KeyValueStore.Entry> counter,
            LeaseId lease,
            MonotonicTime sentAt)
            implements LeadershipEvent {}

    /**
     * The key was claimed.
     *
     * @param commit null if that was not answered
     */
    record Claimed(
            int epoch,
            FencingToken term,
            LeaseId lease,
            MonotonicTime sentAt,
            KeyValueStore.CommitResult commit)
            implements LeadershipEvent {}

    /** A timer's turn, by which a renewal may be due. */
    record Tick(int epoch) implements LeadershipEvent {}

    /** Long work has come to a point at which a renewal may be sent. */
    record WorkGoesOn() implements LeadershipEvent {}

    enum Renewal {
        DONE,
        LEASE_ENDED,
        UNKNOWN
    }

    record Renewed(int epoch, MonotonicTime sentAt, Renewal renewal) implements LeadershipEvent {}

    /**
     * All changes of jobs up to a moment are known here.
     *
     * @param term of the leadership that knows them
     * @param upTo when the request was sent whose answer showed the last of them
     */
    record TookIn(FencingToken term, MonotonicTime upTo) implements LeadershipEvent {}

    /** A peer or a worker told of a term. */
    record Heard(FencingToken term, String leader) implements LeadershipEvent {}

    /** A write has shown that the key is not this node's any more. */
    record Lost() implements LeadershipEvent {}

    /**
     * The lease is to be given up.
     *
     * @param forWantOfHearing whether because hardly any worker is heard, or else because the
     *     process is to end
     * @param heir the node that is to take it, or null
     */
    record GivingUp(boolean forWantOfHearing, String heir) implements LeadershipEvent {}

    /**
     * @param commit null if that was not answered, or refused
     * @param refused whether it is certain that nothing was and will be executed
     */
    record GivenUp(
            int epoch,
            LeaseId lease,
            boolean forWantOfHearing,
            String heir,
            KeyValueStore.CommitResult commit,
            boolean refused)
            implements LeadershipEvent {}

    /** A worker has come that has left the leader. */
    record Arrived(MachineId worker, FencingToken shown) implements LeadershipEvent {}

    /** A leader that may have ended was asked, or could not be. */
    record Told(int epoch, String suspect, int asked, int refused, Peers.Sign sign)
            implements LeadershipEvent {}

    /** Another leader's lease could not be ended. */
    record NotRevoked(int epoch, String suspect, LeaseId lease) implements LeadershipEvent {}

    /** A worker was heard of again. */
    record HearsAgain() implements LeadershipEvent {}
}
