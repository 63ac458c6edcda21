package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import org.meadowhollow.model.FencingToken;
import org.meadowhollow.model.JobSpec;
import org.meadowhollow.storage.RecordCodec;

/** A trouble that begins, and ends when it is told to, for days on which troubles meet. */
enum Fault {
    STORE_REFUSES_NODE,
    STORE_OUTAGE,
    NODE_PARTITIONED,
    DELAYED_COMMITS,
    LATE_DUPLICATE_HEARTBEATS,
    MACHINES_LOSE_INCOMING,
    MACHINES_HUNG,
    NODE_CRASHED,
    ALL_CRASHED_ONE_RESTARTED,
    NODE_RESTARTED_QUICKLY,
    NODE_PAUSED,
    STORE_RESPONSES_LOST,
    STORE_REQUESTS_HELD,
    NODE_CUT_FROM_ZONE,
    WATCHES_FAIL,
    TASK_RECORDS_HIDDEN,
    TIMERS_DELAYED,
    PEERS_CUT,
    HANDOVER,
    MACHINES_REBOOT,
    STORE_SERVES_BRIEFLY,
    MACHINES_CANNOT_CONNECT,
    ZONE_CANNOT_CONNECT,
    COMMIT_RESPONSES_LOST,
    HEARTBEATS_KEPT_FOR_NEXT_LEADER,
    JOBS_CANCELLED_DURING_HANG,
    JOBS_CANCELLED_AT_COMPLETION,
    UNUSUAL_REQUESTS,
    POLLS_AFTER_ANSWERS,
    QUICK_BOOTS,
    FALSE_LEADER_ANNOUNCEMENT,
    ALL_DOWN_LONGER_THAN_LEASE,
    ZONE_PARTITIONED_WITH_NODE,
    CONSECUTIVE_LEADER_RESTARTS,
    CLOUD_OUTAGE,
    STORE_RATE_LIMITED,
    STORE_SLOW;

    private static final List<Fault> FIRST =
            List.copyOf(EnumSet.range(STORE_REFUSES_NODE, STORE_SERVES_BRIEFLY));
    private static final List<Fault> FURTHER =
            List.copyOf(EnumSet.range(MACHINES_CANNOT_CONNECT, STORE_SLOW));

    /** Begins one of the first list, mostly at the leader; what is returned ends it. */
    static Runnable injectBasic(SimulatedCluster cluster, Random random) {
        return FIRST.get(random.nextInt(FIRST.size())).inject(cluster, random);
    }

    /** Begins one of the further ones. */
    static Runnable injectAdditional(SimulatedCluster cluster, Random random) {
        return FURTHER.get(random.nextInt(FURTHER.size())).inject(cluster, random);
    }

    private Runnable inject(SimulatedCluster cluster, Random random) {
        int leader = cluster.leader();
        int node = leader >= 0 && random.nextInt(3) > 0 ? leader : random.nextInt(3);
        FakeKeyValueStore.Connection connection = cluster.storeConnection(node);
        switch (this) {
            case STORE_REFUSES_NODE -> {
                connection.refuseRequests(true);
                return () -> connection.refuseRequests(false);
            }
            case STORE_OUTAGE -> {
                cluster.store().setOutage(true);
                return () -> cluster.store().setOutage(false);
            }
            case NODE_PARTITIONED -> {
                cluster.partition(node, true);
                return () -> cluster.partition(node, false);
            }
            case DELAYED_COMMITS -> {
                return onStoreConnections(
                        cluster, random, FakeKeyValueStore.Connection::delayCommits);
            }
            case LATE_DUPLICATE_HEARTBEATS -> {
                cluster.duplicateHeartbeatsLate(0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> cluster.duplicateHeartbeatsLate(0, 0);
            }
            case MACHINES_LOSE_INCOMING -> {
                return onWorkers(randomWorkers(cluster, random), FakeWorker::loseIncoming);
            }
            case MACHINES_HUNG -> {
                return onWorkers(randomWorkers(cluster, random), FakeWorker::setHung);
            }
            case NODE_CRASHED -> {
                cluster.resume(node);
                cluster.crash(node);
                return () -> cluster.restart(node);
            }
            case ALL_CRASHED_ONE_RESTARTED -> {
                for (int each = 0; each < 3; each++) {
                    cluster.resume(each);
                }
                cluster.crashAll();
                cluster.restart(node);
                return cluster::restartAll;
            }
            case NODE_RESTARTED_QUICKLY -> {
                for (int time = 0; time < 3; time++) {
                    cluster.restartAfter(node, Duration.ofMillis(100 + random.nextInt(900)));
                    cluster.run(Duration.ofMillis(500));
                }
                return () -> {};
            }
            case NODE_PAUSED -> {
                cluster.pause(node);
                return () -> cluster.resume(node);
            }
            case STORE_RESPONSES_LOST -> {
                connection.loseResponses(true);
                return () -> connection.loseResponses(false);
            }
            case STORE_REQUESTS_HELD -> {
                connection.holdRequests(true);
                return () -> connection.holdRequests(false);
            }
            case NODE_CUT_FROM_ZONE -> {
                cluster.cutFromZone(node, random.nextBoolean() ? "a" : "b", true);
                return () -> cluster.cutFromWorkers(node, false);
            }
            case WATCHES_FAIL -> {
                connection.failWatches(true);
                return () -> connection.failWatches(false);
            }
            case TASK_RECORDS_HIDDEN -> {
                for (int each = 0; each < 3; each++) {
                    cluster.storeConnection(each).hidePrefix(RecordCodec.TASK_PREFIX);
                }
                return () -> {
                    for (int each = 0; each < 3; each++) {
                        cluster.storeConnection(each).hidePrefix("/");
                    }
                };
            }
            case TIMERS_DELAYED -> {
                cluster.delayTimers(node, Duration.ofMillis(500 + random.nextInt(4000)));
                return () -> cluster.delayTimers(node, false);
            }
            case PEERS_CUT -> {
                cluster.cutPeers(true);
                return () -> cluster.cutPeers(false);
            }
            case HANDOVER -> {
                if (cluster.node(node) != null) {
                    cluster.node(node).handOver();
                }
                return () -> {};
            }
            case MACHINES_REBOOT -> {
                randomWorkers(cluster, random).forEach(FakeWorker::reboot);
                return () -> {};
            }
            case MACHINES_CANNOT_CONNECT -> {
                return onWorkers(
                        randomWorkers(cluster, random), FakeWorker::blockOutgoingConnections);
            }
            case ZONE_CANNOT_CONNECT -> {
                String zone = random.nextBoolean() ? "a" : "b";
                return onWorkers(
                        cluster.workers().stream()
                                .filter(worker -> worker.zone().equals(zone))
                                .toList(),
                        FakeWorker::blockOutgoingConnections);
            }
            case COMMIT_RESPONSES_LOST -> {
                return onStoreConnections(
                        cluster, random, FakeKeyValueStore.Connection::loseCommitResponses);
            }
            case HEARTBEATS_KEPT_FOR_NEXT_LEADER -> {
                cluster.keepHeartbeatsForNextLeader(
                        0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> cluster.keepHeartbeatsForNextLeader(0, 0);
            }
            case JOBS_CANCELLED_DURING_HANG -> {
                List<JobSpec> running = new ArrayList<>(cluster.runningJobs());
                Collections.shuffle(running, random);
                cluster.cancelDuringHang(
                        running.subList(0, Math.min(4, running.size())),
                        Duration.ofSeconds(random.nextBoolean() ? 0 : 5 + random.nextInt(40)));
                return () -> {};
            }
            case JOBS_CANCELLED_AT_COMPLETION -> {
                cluster.cancelAtCompletion(0.3 + 0.7 * random.nextDouble(), random.nextLong());
                return () -> cluster.cancelAtCompletion(0, 0);
            }
            case UNUSUAL_REQUESTS -> {
                for (int time = 0; time < 8; time++) {
                    cluster.sendUnusualRequest(random);
                    cluster.run(Duration.ofMillis(250 * random.nextInt(4)));
                }
                return () -> {};
            }
            case POLLS_AFTER_ANSWERS -> {
                cluster.pollAllAfterAnswers(true);
                return () -> cluster.pollAllAfterAnswers(false);
            }
            case QUICK_BOOTS -> {
                cluster.setBootTimes(
                        Duration.ofMillis(50 + random.nextInt(1900)), Duration.ofSeconds(10));
                return () -> cluster.setBootTimes(Duration.ofSeconds(10), Duration.ZERO);
            }
            case FALSE_LEADER_ANNOUNCEMENT -> {
                if (cluster.leader() >= 0 && cluster.node(cluster.leader()) != null) {
                    cluster.node(cluster.leader())
                            .observeLeader(
                                    new FencingToken(cluster.fencingToken() + 1),
                                    "n" + random.nextInt(3));
                }
                return () -> {};
            }
            case ALL_DOWN_LONGER_THAN_LEASE -> {
                for (int each = 0; each < 3; each++) {
                    cluster.resume(each);
                }
                cluster.crashAll();
                cluster.runSeconds(19 + random.nextInt(20));
                cluster.restartAll();
                return () -> {};
            }
            case ZONE_PARTITIONED_WITH_NODE -> {
                String zone = random.nextBoolean() ? "a" : "b";
                cluster.partition(node, true);
                for (int each = 0; each < 3; each++) {
                    cluster.cutFromZone(each, zone, each != node);
                    cluster.cutFromZone(each, zone.equals("a") ? "b" : "a", each == node);
                }
                return () -> {
                    cluster.partition(node, false);
                    for (int each = 0; each < 3; each++) {
                        cluster.cutFromWorkers(each, false);
                    }
                };
            }
            case CONSECUTIVE_LEADER_RESTARTS -> {
                for (int time = 0; time < 5; time++) {
                    int now = cluster.leader();
                    if (now >= 0) {
                        cluster.restartAfter(now, Duration.ofMillis(100 + random.nextInt(6000)));
                    }
                    cluster.runSeconds(3 + random.nextInt(9));
                }
                return () -> {};
            }
            case STORE_SLOW -> {
                cluster.store().setLatency(Duration.ofMillis(200 + random.nextInt(1100)));
                return () -> cluster.store().setLatency(null);
            }
            case STORE_RATE_LIMITED -> {
                cluster.store().limitWriteRate(4 + random.nextInt(12));
                return () -> cluster.store().limitWriteRate(0);
            }
            case CLOUD_OUTAGE -> {
                cluster.failCloud(true);
                return () -> cluster.failCloud(false);
            }
            default -> {
                connection.failWatches(true);
                for (int instant = 0; instant < 4; instant++) {
                    connection.refuseRequests(true);
                    cluster.runSeconds(1 + random.nextInt(3));
                    connection.refuseRequests(false);
                    cluster.run(Duration.ofMillis(250 + random.nextInt(750)));
                }
                connection.refuseRequests(true);
                return () -> {
                    connection.refuseRequests(false);
                    connection.failWatches(false);
                };
            }
        }
    }

    private interface ConnectionFault {
        void apply(FakeKeyValueStore.Connection connection, double share, long seed);
    }

    /** A trouble of a share of what goes to the state service from every node. */
    private static Runnable onStoreConnections(
            SimulatedCluster cluster, Random random, ConnectionFault trouble) {
        double share = 0.2 + 0.6 * random.nextDouble();
        for (int each = 0; each < 3; each++) {
            trouble.apply(cluster.storeConnection(each), share, random.nextLong());
        }
        return () -> {
            for (int each = 0; each < 3; each++) {
                trouble.apply(cluster.storeConnection(each), 0, 0);
            }
        };
    }

    private static Runnable onWorkers(
            List<FakeWorker> workers, BiConsumer<FakeWorker, Boolean> trouble) {
        workers.forEach(worker -> trouble.accept(worker, true));
        return () -> workers.forEach(worker -> trouble.accept(worker, false));
    }

    private static List<FakeWorker> randomWorkers(SimulatedCluster cluster, Random random) {
        List<FakeWorker> all = new ArrayList<>(cluster.workers());
        List<FakeWorker> some = new ArrayList<>();
        for (int at = 0; at < 3 && !all.isEmpty(); at++) {
            some.add(all.remove(random.nextInt(all.size())));
        }
        return some;
    }
}
