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
    REFUSED_ALONE,
    OUT_FOR_ALL,
    APART,
    LATE_WRITES,
    LATE_REPORTS,
    DEAF_MACHINES,
    HUNG_MACHINES,
    ENDED,
    ALL_ENDED,
    BACK_AT_ONCE,
    FROZEN,
    ANSWERS_LOST,
    REQUESTS_HELD,
    DEAF_TO_A_ZONE,
    WATCHES_FAIL,
    RECORDS_HIDDEN,
    SHORT_OF_TIME,
    PEERS_CUT,
    HAND_OVER,
    MACHINES_BEGIN_ANEW,
    SERVED_FOR_INSTANTS,
    MUTE_MACHINES,
    MUTE_ZONE,
    ANSWERS_OF_WRITES_LOST,
    REPORTS_FOR_NEXT,
    CANCEL_NOW,
    CANCEL_AT_END,
    ODD_REQUESTS,
    CLOSE_LOOKS,
    QUICK_BOOTS,
    DEPOSED_BY_A_HINT,
    ALL_AWAY,
    ZONE_APART_WITH_A_NODE,
    LEADER_AFTER_LEADER,
    CLOUD_OUT,
    FEW_CHANGES,
    SLOW_FOR_ALL;

    private static final List<Fault> FIRST =
            List.copyOf(EnumSet.range(REFUSED_ALONE, SERVED_FOR_INSTANTS));
    private static final List<Fault> FURTHER =
            List.copyOf(EnumSet.range(MUTE_MACHINES, SLOW_FOR_ALL));

    /** Begins one of the first list, mostly at the leader; what is returned ends it. */
    static Runnable begin(SimulatedCluster cluster, Random random) {
        return FIRST.get(random.nextInt(FIRST.size())).at(cluster, random);
    }

    /** Begins one of the further ones. */
    static Runnable beginFurther(SimulatedCluster cluster, Random random) {
        return FURTHER.get(random.nextInt(FURTHER.size())).at(cluster, random);
    }

    private Runnable at(SimulatedCluster cluster, Random random) {
        int leader = cluster.leader();
        int node = leader >= 0 && random.nextInt(3) > 0 ? leader : random.nextInt(3);
        FakeKeyValueStore.Line line = cluster.line(node);
        switch (this) {
            case REFUSED_ALONE -> {
                line.cut(true);
                return () -> line.cut(false);
            }
            case OUT_FOR_ALL -> {
                cluster.store().out(true);
                return () -> cluster.store().out(false);
            }
            case APART -> {
                cluster.apart(node, true);
                return () -> cluster.apart(node, false);
            }
            case LATE_WRITES -> {
                return onLines(cluster, random, FakeKeyValueStore.Line::lateWrites);
            }
            case LATE_REPORTS -> {
                cluster.lateReports(0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> cluster.lateReports(0, 0);
            }
            case DEAF_MACHINES -> {
                return on(some(cluster, random), FakeWorker::deaf);
            }
            case HUNG_MACHINES -> {
                return on(some(cluster, random), FakeWorker::hang);
            }
            case ENDED -> {
                cluster.thaw(node);
                cluster.crash(node);
                return () -> cluster.restart(node);
            }
            case ALL_ENDED -> {
                for (int each = 0; each < 3; each++) {
                    cluster.thaw(each);
                }
                cluster.crashAll();
                cluster.restart(node);
                return cluster::restartAll;
            }
            case BACK_AT_ONCE -> {
                for (int time = 0; time < 3; time++) {
                    cluster.bounce(node, Duration.ofMillis(100 + random.nextInt(900)));
                    cluster.run(Duration.ofMillis(500));
                }
                return () -> {};
            }
            case FROZEN -> {
                cluster.freeze(node);
                return () -> cluster.thaw(node);
            }
            case ANSWERS_LOST -> {
                line.loseAnswers(true);
                return () -> line.loseAnswers(false);
            }
            case REQUESTS_HELD -> {
                line.hold(true);
                return () -> line.hold(false);
            }
            case DEAF_TO_A_ZONE -> {
                cluster.cutFromZone(node, random.nextBoolean() ? "a" : "b", true);
                return () -> cluster.cutFromWorkers(node, false);
            }
            case WATCHES_FAIL -> {
                line.failWatches(true);
                return () -> line.failWatches(false);
            }
            case RECORDS_HIDDEN -> {
                for (int each = 0; each < 3; each++) {
                    cluster.line(each).hide(RecordCodec.TASK_PREFIX);
                }
                return () -> {
                    for (int each = 0; each < 3; each++) {
                        cluster.line(each).hide("/");
                    }
                };
            }
            case SHORT_OF_TIME -> {
                cluster.busy(node, Duration.ofMillis(500 + random.nextInt(4000)));
                return () -> cluster.busy(node, false);
            }
            case PEERS_CUT -> {
                cluster.peersCut(true);
                return () -> cluster.peersCut(false);
            }
            case HAND_OVER -> {
                if (cluster.node(node) != null) {
                    cluster.node(node).handOver();
                }
                return () -> {};
            }
            case MACHINES_BEGIN_ANEW -> {
                some(cluster, random).forEach(FakeWorker::reboot);
                return () -> {};
            }
            case MUTE_MACHINES -> {
                return on(some(cluster, random), FakeWorker::mute);
            }
            case MUTE_ZONE -> {
                String zone = random.nextBoolean() ? "a" : "b";
                return on(
                        cluster.workers().stream()
                                .filter(worker -> worker.zone().equals(zone))
                                .toList(),
                        FakeWorker::mute);
            }
            case ANSWERS_OF_WRITES_LOST -> {
                return onLines(cluster, random, FakeKeyValueStore.Line::loseCommitAnswers);
            }
            case REPORTS_FOR_NEXT -> {
                cluster.keepReportsForNext(0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> cluster.keepReportsForNext(0, 0);
            }
            case CANCEL_NOW -> {
                List<JobSpec> running = new ArrayList<>(cluster.runningJobs());
                Collections.shuffle(running, random);
                cluster.cancelNow(
                        running.subList(0, Math.min(4, running.size())),
                        Duration.ofSeconds(random.nextBoolean() ? 0 : 5 + random.nextInt(40)));
                return () -> {};
            }
            case CANCEL_AT_END -> {
                cluster.cancelAtEnd(0.3 + 0.7 * random.nextDouble(), random.nextLong());
                return () -> cluster.cancelAtEnd(0, 0);
            }
            case ODD_REQUESTS -> {
                for (int time = 0; time < 8; time++) {
                    cluster.oddRequest(random);
                    cluster.run(Duration.ofMillis(250 * random.nextInt(4)));
                }
                return () -> {};
            }
            case CLOSE_LOOKS -> {
                cluster.closeLooks(true);
                return () -> cluster.closeLooks(false);
            }
            case QUICK_BOOTS -> {
                cluster.boots(Duration.ofMillis(50 + random.nextInt(1900)), Duration.ofSeconds(10));
                return () -> cluster.boots(Duration.ofSeconds(10), Duration.ZERO);
            }
            case DEPOSED_BY_A_HINT -> {
                if (cluster.leader() >= 0 && cluster.node(cluster.leader()) != null) {
                    cluster.node(cluster.leader())
                            .observeLeader(
                                    new FencingToken(cluster.term() + 1), "n" + random.nextInt(3));
                }
                return () -> {};
            }
            case ALL_AWAY -> {
                for (int each = 0; each < 3; each++) {
                    cluster.thaw(each);
                }
                cluster.crashAll();
                cluster.runS(19 + random.nextInt(20));
                cluster.restartAll();
                return () -> {};
            }
            case ZONE_APART_WITH_A_NODE -> {
                String zone = random.nextBoolean() ? "a" : "b";
                cluster.apart(node, true);
                for (int each = 0; each < 3; each++) {
                    cluster.cutFromZone(each, zone, each != node);
                    cluster.cutFromZone(each, zone.equals("a") ? "b" : "a", each == node);
                }
                return () -> {
                    cluster.apart(node, false);
                    for (int each = 0; each < 3; each++) {
                        cluster.cutFromWorkers(each, false);
                    }
                };
            }
            case LEADER_AFTER_LEADER -> {
                for (int time = 0; time < 5; time++) {
                    int now = cluster.leader();
                    if (now >= 0) {
                        cluster.bounce(now, Duration.ofMillis(100 + random.nextInt(6000)));
                    }
                    cluster.runS(3 + random.nextInt(9));
                }
                return () -> {};
            }
            case SLOW_FOR_ALL -> {
                cluster.store().slow(Duration.ofMillis(200 + random.nextInt(1100)));
                return () -> cluster.store().slow(null);
            }
            case FEW_CHANGES -> {
                cluster.store().limit(4 + random.nextInt(12));
                return () -> cluster.store().limit(0);
            }
            case CLOUD_OUT -> {
                cluster.cloudOut(true);
                return () -> cluster.cloudOut(false);
            }
            default -> {
                line.failWatches(true);
                for (int instant = 0; instant < 4; instant++) {
                    line.cut(true);
                    cluster.runS(1 + random.nextInt(3));
                    line.cut(false);
                    cluster.run(Duration.ofMillis(250 + random.nextInt(750)));
                }
                line.cut(true);
                return () -> {
                    line.cut(false);
                    line.failWatches(false);
                };
            }
        }
    }

    private interface LineTrouble {
        void set(FakeKeyValueStore.Line line, double share, long seed);
    }

    /** A trouble of a share of what goes to the state service from every node. */
    private static Runnable onLines(SimulatedCluster cluster, Random random, LineTrouble trouble) {
        double share = 0.2 + 0.6 * random.nextDouble();
        for (int each = 0; each < 3; each++) {
            trouble.set(cluster.line(each), share, random.nextLong());
        }
        return () -> {
            for (int each = 0; each < 3; each++) {
                trouble.set(cluster.line(each), 0, 0);
            }
        };
    }

    private static Runnable on(List<FakeWorker> workers, BiConsumer<FakeWorker, Boolean> trouble) {
        workers.forEach(worker -> trouble.accept(worker, true));
        return () -> workers.forEach(worker -> trouble.accept(worker, false));
    }

    private static List<FakeWorker> some(SimulatedCluster cluster, Random random) {
        List<FakeWorker> all = new ArrayList<>(cluster.workers());
        List<FakeWorker> some = new ArrayList<>();
        for (int at = 0; at < 3 && !all.isEmpty(); at++) {
            some.add(all.remove(random.nextInt(all.size())));
        }
        return some;
    }
}
