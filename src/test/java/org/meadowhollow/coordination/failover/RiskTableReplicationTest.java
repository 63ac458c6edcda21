package org.meadowhollow.coordination.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.meadowhollow.coordination.api.ControllerStatus;
import org.meadowhollow.coordination.api.RiskTableDelta;
import org.meadowhollow.coordination.failover.RiskTableReplica.ApplyResult;
import org.meadowhollow.coordination.scheduling.RiskTable;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.Heartbeat;
import org.meadowhollow.model.Machine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MonotonicTime;
import org.meadowhollow.model.Resources;
import org.meadowhollow.model.Revision;
import org.meadowhollow.model.WorkerIncarnation;

/** Tests that a standby's replica of the risk tables matches the leader's tables. */
class RiskTableReplicationTest {
    private static final FencingToken TOKEN = new FencingToken(2);
    private static final MachineType TYPE =
            new MachineType("large", Resources.of(32, 8, 128), 50, 1, 8, 4, 10, List.of("a"));
    private static final ControllerStatus STANDBY =
            new ControllerStatus("n1", 1, "a", "test", 1, new Revision(5));

    private final TreeMap<MachineId, Machine> machines = new TreeMap<>();
    private final Map<MachineId, RiskTable> tables = new HashMap<>();
    private final RiskTablePublisher publisher = new RiskTablePublisher(TOKEN, true);
    private final RiskTableReplica replica = new RiskTableReplica();
    private final Random random = new Random(11);
    private long second;
    private long lastSequenceNumber;

    private MonotonicTime now() {
        return new MonotonicTime(second * 1_000_000_000L);
    }

    private void createMachines(int count) {
        for (int at = 0; at < count; at++) {
            MachineId id = new MachineId("vm-%06d".formatted(at));
            machines.put(id, new Machine(id, TYPE, "a", false));
            tables.put(id, new RiskTable());
        }
    }

    /** Sends rounds of heartbeats: one of every machine each three seconds; some lose tasks. */
    private void sendHeartbeats(int rounds) {
        for (int round = 0; round < rounds; round++) {
            second += 3;
            machines.values()
                    .forEach(
                            machine -> {
                                sendHeartbeat(
                                        machine, new WorkerIncarnation(1), ++lastSequenceNumber);
                                int lost = random.nextInt(5) == 0 ? 1 : 0;
                                publisher.recordSample(
                                        machine,
                                        tables.get(machine.id())
                                                .recordSample(
                                                        random.nextInt(9),
                                                        random.nextDouble(),
                                                        lost,
                                                        now()),
                                        now());
                            });
        }
    }

    private static void sendHeartbeat(
            Machine machine, WorkerIncarnation workerIncarnation, long sequenceNumber) {
        machine.recordHeartbeat(
                new Heartbeat(
                        Heartbeat.Origin.REQUEST,
                        machine.id(),
                        null,
                        "large",
                        "a",
                        false,
                        workerIncarnation,
                        sequenceNumber,
                        TOKEN,
                        Double.NaN,
                        List.of()));
    }

    private RiskTableDelta nextResponse() {
        return publisher.answerRequest(replica.nextRequest(STANDBY), machines, tables, now());
    }

    /**
     * Sends requests until the replica is up to date, while the leader continues to receive
     * heartbeats; returns the number of responses.
     */
    private int pullUntilUpToDate() {
        for (int responses = 1; ; responses++) {
            ApplyResult applyResult = replica.apply(nextResponse(), TOKEN, now());
            if (applyResult == ApplyResult.UP_TO_DATE) {
                return responses;
            }
            assertEquals(ApplyResult.MORE_AVAILABLE, applyResult);
            sendHeartbeats(1);
        }
    }

    private Optional<RiskTable> takeTable(
            int machine, WorkerIncarnation workerIncarnation, long sequenceNumber) {
        MachineId id = new MachineId("vm-%06d".formatted(machine));
        return replica.takeTable(
                id,
                RiskTablePublisher.identityHash(machines.get(id)),
                workerIncarnation,
                sequenceNumber,
                now());
    }

    @Test
    void replicaConvergesWhilePagesAndSamplesOverlap() {
        createMachines(300);
        sendHeartbeats(30);
        assertTrue(pullUntilUpToDate() > 1, "full tables arrive in several pages");
        for (int round = 0; round < 20; round++) {
            sendHeartbeats(4);
            pullUntilUpToDate();
        }
        for (int at = 0; at < 300; at++) {
            assertEquals(
                    tables.get(new MachineId("vm-%06d".formatted(at))),
                    takeTable(at, new WorkerIncarnation(1), lastSequenceNumber + 1).orElseThrow());
        }
    }

    @Test
    void standbyTooFarBehindGetsFullTables() {
        createMachines(100);
        sendHeartbeats(3);
        pullUntilUpToDate();
        sendHeartbeats(RiskTablePublisher.MAX_SAMPLES / 100 + 2);
        assertTrue(nextResponse().fullTables());
        pullUntilUpToDate();
        assertEquals(
                tables.get(new MachineId("vm-000007")),
                takeTable(7, new WorkerIncarnation(1), lastSequenceNumber + 1).orElseThrow());
    }

    @Test
    void lateResponseOfFormerLeaderIsDropped() {
        createMachines(3);
        sendHeartbeats(3);
        pullUntilUpToDate();
        RiskTableDelta lateResponse = nextResponse();
        RiskTablePublisher successorPublisher = new RiskTablePublisher(TOKEN.next(), true);
        FencingToken higherToken = TOKEN.next();
        assertEquals(
                ApplyResult.UP_TO_DATE,
                replica.apply(
                        successorPublisher.answerRequest(
                                replica.nextRequest(STANDBY), machines, tables, now()),
                        higherToken,
                        now()));
        assertEquals(ApplyResult.STALE_LEADER, replica.apply(lateResponse, higherToken, now()));
        // Also if the standby knows the higher token only from the tables themselves.
        assertEquals(ApplyResult.INCONSISTENT, replica.apply(lateResponse, TOKEN, now()));
    }

    /** Guards against a malformed table after which a leader restores none of the others. */
    @Test
    void malformedTableOfASnapshotIsLeftOut() {
        createMachines(2);
        sendHeartbeats(25);
        List<RiskTableDelta.MachineEntry> snapshot = new ArrayList<>(nextResponse().entries());
        RiskTableDelta.MachineEntry first = snapshot.get(0);
        snapshot.set(
                0,
                new RiskTableDelta.MachineEntry(
                        first.machine(),
                        first.machineIdentityHash(),
                        first.workerIncarnation(),
                        first.sequenceNumber(),
                        new int[] {-1},
                        new long[0]));
        HandoverState handover = new HandoverState(Map.of(), replica);
        handover.addSnapshotTables(
                new RiskTableSnapshotStore.StoredTables(snapshot, Duration.ZERO), now());

        assertFalse(handover.restoreSnapshotTables(Map.of(), new HashMap<>(), now()));

        assertTrue(takeTable(0, new WorkerIncarnation(1), lastSequenceNumber + 1).isEmpty());
        assertEquals(
                tables.get(new MachineId("vm-000001")),
                takeTable(1, new WorkerIncarnation(1), lastSequenceNumber + 1).orElseThrow());
    }

    @Test
    void damagedTablesAreRejectedAndRequestedInFull() {
        createMachines(2);
        sendHeartbeats(25);
        pullUntilUpToDate();
        sendHeartbeats(1);
        RiskTableDelta.MachineEntry damaged =
                new RiskTableDelta.MachineEntry(
                        new MachineId("vm-000001"),
                        1,
                        new WorkerIncarnation(1),
                        lastSequenceNumber,
                        new int[0],
                        new long[] {1, lastSequenceNumber, 0, -1});
        assertEquals(
                ApplyResult.INCONSISTENT,
                replica.apply(
                        new RiskTableDelta(
                                TOKEN, nextResponse().lastSample(), false, false, List.of(damaged)),
                        TOKEN,
                        now()));
        assertTrue(replica.nextRequest(STANDBY).isForFullTables());
        pullUntilUpToDate();
        assertEquals(
                tables.get(new MachineId("vm-000001")),
                takeTable(1, new WorkerIncarnation(1), lastSequenceNumber + 1).orElseThrow());
        int[] table = tables.get(new MachineId("vm-000000")).exportState(now());
        table[0]++;
        assertThrows(
                IllegalArgumentException.class, () -> RiskTable.fromExportedState(table, now()));
        assertThrows(
                IllegalArgumentException.class,
                () -> RiskTable.fromExportedState(new int[] {0, 0}, now()));
    }

    @Test
    void tableIsTakenOnlyByTheMachineItBelongsTo() {
        createMachines(5);
        sendHeartbeats(25);
        pullUntilUpToDate();
        assertTrue(
                takeTable(0, new WorkerIncarnation(2), 1).isPresent(),
                "a later worker incarnation of the same machine");
        assertTrue(
                takeTable(1, new WorkerIncarnation(1), 1).isEmpty(),
                "a machine whose sequence numbers restart");
        MachineId movedMachine = new MachineId("vm-000002");
        assertTrue(
                replica.takeTable(
                                movedMachine,
                                RiskTablePublisher.identityHash("large", "b", false, null),
                                new WorkerIncarnation(1),
                                lastSequenceNumber + 1,
                                now())
                        .isEmpty(),
                "a machine of this name in another zone");
        MachineId reusedName = new MachineId("vm-000004");
        machines.put(reusedName, new Machine(reusedName, TYPE, "b", false));
        tables.put(reusedName, new RiskTable());
        sendHeartbeats(1);
        pullUntilUpToDate();
        assertEquals(
                tables.get(reusedName),
                takeTable(4, new WorkerIncarnation(1), lastSequenceNumber + 1).orElseThrow(),
                "the new machine of this name has its own table");
        second += RiskTableReplica.MAX_AGE.toSeconds() + 1;
        assertTrue(
                takeTable(3, new WorkerIncarnation(1), lastSequenceNumber + 1).isEmpty(),
                "a table older than MAX_AGE");
    }

    @Test
    void replicaSizeIsBounded() {
        createMachines(2100);
        sendHeartbeats(1);
        for (int responses = 0;
                responses < 20
                        && replica.apply(nextResponse(), TOKEN, now())
                                == ApplyResult.MORE_AVAILABLE;
                responses++) {
            assertTrue(replica.size() > 0);
        }
        assertEquals(2000, replica.size());
    }

    @Test
    void preferredSuccessorIsTheMostUpToDateRecentStandby() {
        Membership members = new Membership();
        members.recordStatus(
                new ControllerStatus("n3", 1, "a", "test", 1, new Revision(90)), now());
        second += Membership.MAX_STATUS_AGE.toSeconds() + 1;
        assertTrue(
                members.preferredSuccessor(1, now()).isEmpty(),
                "a status older than MAX_STATUS_AGE is ignored");
        members.recordStatus(
                new ControllerStatus("n4", 1, "a", "test", 2, new Revision(80)), now());
        members.recordStatus(new ControllerStatus("n2", 1, "a", "test", 1, new Revision(7)), now());
        members.recordStatus(new ControllerStatus("n1", 1, "a", "test", 1, new Revision(7)), now());
        members.recordStatus(new ControllerStatus("n0", 1, "a", "test", 1, new Revision(6)), now());
        assertEquals(
                Optional.of("n1"),
                members.preferredSuccessor(1, now()),
                "of equal standbys the first by name is preferred");
    }

    @Test
    void restoredTableStaysEqualToTheOriginal() {
        RiskTable table = new RiskTable();
        for (int at = 0; at < 150; at++) {
            table.recordSample(
                    at / 40,
                    0.3,
                    at % 50 == 0 ? 1 : 0,
                    new MonotonicTime((second += 3) * 1_000_000_000L));
        }
        RiskTable copy = RiskTable.fromExportedState(table.exportState(now()), now());
        for (int at = 0; at < 300; at++) {
            int sample =
                    table.recordSample(
                            3,
                            0.3,
                            at > 100 ? 2 : 0,
                            new MonotonicTime((second += 3) * 1_000_000_000L));
            copy.replaySample(sample, now());
            assertEquals(table, copy, "after " + at);
        }
    }
}
