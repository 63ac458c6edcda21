package org.meadowhollow.coordination.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
    private static final FencingToken TERM = new FencingToken(2);
    private static final MachineType TYPE =
            new MachineType("large", Resources.of(32, 8, 128), 50, 1, 8, 4, 10, List.of("a"));
    private static final ControllerStatus STANDBY =
            new ControllerStatus("n1", 1, "a", "test", 1, new Revision(5));

    private final TreeMap<MachineId, Machine> machines = new TreeMap<>();
    private final Map<MachineId, RiskTable> tables = new HashMap<>();
    private final RiskTablePublisher feed = new RiskTablePublisher(TERM, true);
    private final RiskTableReplica copies = new RiskTableReplica();
    private final Random random = new Random(11);
    private long second;
    private long seq;

    private MonotonicTime now() {
        return new MonotonicTime(second * 1_000_000_000L);
    }

    private void machines(int count) {
        for (int at = 0; at < count; at++) {
            MachineId id = new MachineId("vm-%06d".formatted(at));
            machines.put(id, new Machine(id, TYPE, "a", false));
            tables.put(id, new RiskTable());
        }
    }

    /** Sends rounds of heartbeats: one of every machine each three seconds; some lose tasks. */
    private void reports(int rounds) {
        for (int round = 0; round < rounds; round++) {
            second += 3;
            machines.values()
                    .forEach(
                            machine -> {
                                report(machine, new WorkerIncarnation(1), ++seq);
                                int lost = random.nextInt(5) == 0 ? 1 : 0;
                                feed.recordSample(
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

    private static void report(Machine machine, WorkerIncarnation workerIncarnation, long number) {
        machine.recordHeartbeat(
                new Heartbeat(
                        machine.id(),
                        null,
                        "large",
                        "a",
                        false,
                        workerIncarnation,
                        number,
                        TERM,
                        Double.NaN,
                        List.of()));
    }

    private RiskTableDelta answer() {
        return feed.answerRequest(copies.nextRequest(STANDBY), machines, tables, now());
    }

    /**
     * Sends requests until the replica is up to date, while the leader continues to receive
     * heartbeats; returns the number of responses.
     */
    private int pull() {
        for (int answers = 1; ; answers++) {
            ApplyResult applyResult = copies.apply(answer(), TERM, now());
            if (applyResult == ApplyResult.UP_TO_DATE) {
                return answers;
            }
            assertEquals(ApplyResult.MORE_AVAILABLE, applyResult);
            reports(1);
        }
    }

    private Optional<RiskTable> inherit(
            int machine, WorkerIncarnation workerIncarnation, long number) {
        MachineId id = new MachineId("vm-%06d".formatted(machine));
        return copies.takeTable(
                id,
                RiskTablePublisher.identityHash(machines.get(id)),
                workerIncarnation,
                number,
                now());
    }

    @Test
    void copiesComeToSayTheSameThoughPagesAndSamplesOverlap() {
        machines(300);
        reports(30);
        assertTrue(pull() > 1, "full tables arrive in several pages");
        for (int round = 0; round < 20; round++) {
            reports(4);
            pull();
        }
        for (int at = 0; at < 300; at++) {
            assertEquals(
                    tables.get(new MachineId("vm-%06d".formatted(at))),
                    inherit(at, new WorkerIncarnation(1), seq + 1).orElseThrow());
        }
    }

    @Test
    void whoIsTooFarBehindGetsWholeTables() {
        machines(100);
        reports(3);
        pull();
        reports(RiskTablePublisher.MAX_SAMPLES / 100 + 2);
        assertTrue(answer().fullTables());
        pull();
        assertEquals(
                tables.get(new MachineId("vm-000007")),
                inherit(7, new WorkerIncarnation(1), seq + 1).orElseThrow());
    }

    @Test
    void whatADeposedLeaderSaysLateIsDropped() {
        machines(3);
        reports(3);
        pull();
        RiskTableDelta late = answer();
        RiskTablePublisher next = new RiskTablePublisher(TERM.next(), true);
        FencingToken higher = TERM.next();
        assertEquals(
                ApplyResult.UP_TO_DATE,
                copies.apply(
                        next.answerRequest(copies.nextRequest(STANDBY), machines, tables, now()),
                        higher,
                        now()));
        assertEquals(ApplyResult.STALE_LEADER, copies.apply(late, higher, now()));
        // Also if the standby knows the higher token only from the tables themselves.
        assertEquals(ApplyResult.INCONSISTENT, copies.apply(late, TERM, now()));
    }

    @Test
    void damagedTablesAreAskedForAnewAsAWhole() {
        machines(2);
        reports(25);
        pull();
        reports(1);
        RiskTableDelta.MachineEntry damaged =
                new RiskTableDelta.MachineEntry(
                        new MachineId("vm-000001"),
                        1,
                        new WorkerIncarnation(1),
                        seq,
                        new int[0],
                        new long[] {1, seq, 0, -1});
        assertEquals(
                ApplyResult.INCONSISTENT,
                copies.apply(
                        new RiskTableDelta(
                                TERM, answer().lastSample(), false, false, List.of(damaged)),
                        TERM,
                        now()));
        assertTrue(copies.nextRequest(STANDBY).isForFullTables());
        pull();
        assertEquals(
                tables.get(new MachineId("vm-000001")),
                inherit(1, new WorkerIncarnation(1), seq + 1).orElseThrow());
        int[] table = tables.get(new MachineId("vm-000000")).exportState(now());
        table[0]++;
        assertThrows(
                IllegalArgumentException.class, () -> RiskTable.fromExportedState(table, now()));
        assertThrows(
                IllegalArgumentException.class,
                () -> RiskTable.fromExportedState(new int[] {0, 0}, now()));
    }

    @Test
    void aTableIsOfTheMachineThatItsNameMeansNow() {
        machines(5);
        reports(25);
        pull();
        assertTrue(
                inherit(0, new WorkerIncarnation(2), 1).isPresent(),
                "a later worker incarnation of the same machine");
        assertTrue(
                inherit(1, new WorkerIncarnation(1), 1).isEmpty(),
                "a machine whose sequence numbers restart");
        MachineId moved = new MachineId("vm-000002");
        assertTrue(
                copies.takeTable(
                                moved,
                                RiskTablePublisher.identityHash("large", "b", false, null),
                                new WorkerIncarnation(1),
                                seq + 1,
                                now())
                        .isEmpty(),
                "a machine of this name in another zone");
        MachineId again = new MachineId("vm-000004");
        machines.put(again, new Machine(again, TYPE, "b", false));
        tables.put(again, new RiskTable());
        reports(1);
        pull();
        assertEquals(
                tables.get(again),
                inherit(4, new WorkerIncarnation(1), seq + 1).orElseThrow(),
                "the new machine of this name has its own table");
        second += RiskTableReplica.MAX_AGE.toSeconds() + 1;
        assertTrue(
                inherit(3, new WorkerIncarnation(1), seq + 1).isEmpty(),
                "a table older than MAX_AGE");
    }

    @Test
    void copiesAreBounded() {
        machines(2100);
        reports(1);
        for (int answers = 0;
                answers < 20 && copies.apply(answer(), TERM, now()) == ApplyResult.MORE_AVAILABLE;
                answers++) {
            assertTrue(copies.size() > 0);
        }
        assertEquals(2000, copies.size());
    }

    @Test
    void theHeirIsTheStandbyThatIsFurthestOfThoseHeardOfLately() {
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
    void aRestoredTableGoesOnAsTheOneThatItWasMadeOf() {
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
