package org.meadowhollow.story;

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
enum Trouble {
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

    private static final List<Trouble> FIRST =
            List.copyOf(EnumSet.range(REFUSED_ALONE, SERVED_FOR_INSTANTS));
    private static final List<Trouble> FURTHER =
            List.copyOf(EnumSet.range(MUTE_MACHINES, SLOW_FOR_ALL));

    /** Begins one of the first list, mostly at the leader; what is returned ends it. */
    static Runnable begin(World world, Random random) {
        return FIRST.get(random.nextInt(FIRST.size())).at(world, random);
    }

    /** Begins one of the further ones. */
    static Runnable beginFurther(World world, Random random) {
        return FURTHER.get(random.nextInt(FURTHER.size())).at(world, random);
    }

    private Runnable at(World world, Random random) {
        int leader = world.leader();
        int node = leader >= 0 && random.nextInt(3) > 0 ? leader : random.nextInt(3);
        FakeStore.Line line = world.line(node);
        switch (this) {
            case REFUSED_ALONE -> {
                line.cut(true);
                return () -> line.cut(false);
            }
            case OUT_FOR_ALL -> {
                world.store().out(true);
                return () -> world.store().out(false);
            }
            case APART -> {
                world.apart(node, true);
                return () -> world.apart(node, false);
            }
            case LATE_WRITES -> {
                return onLines(world, random, FakeStore.Line::lateWrites);
            }
            case LATE_REPORTS -> {
                world.lateReports(0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> world.lateReports(0, 0);
            }
            case DEAF_MACHINES -> {
                return on(some(world, random), FakeWorker::deaf);
            }
            case HUNG_MACHINES -> {
                return on(some(world, random), FakeWorker::hang);
            }
            case ENDED -> {
                world.thaw(node);
                world.crash(node);
                return () -> world.restart(node);
            }
            case ALL_ENDED -> {
                for (int each = 0; each < 3; each++) {
                    world.thaw(each);
                }
                world.crashAll();
                world.restart(node);
                return world::restartAll;
            }
            case BACK_AT_ONCE -> {
                for (int time = 0; time < 3; time++) {
                    world.bounce(node, Duration.ofMillis(100 + random.nextInt(900)));
                    world.run(Duration.ofMillis(500));
                }
                return () -> {};
            }
            case FROZEN -> {
                world.freeze(node);
                return () -> world.thaw(node);
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
                world.cutFromZone(node, random.nextBoolean() ? "a" : "b", true);
                return () -> world.cutFromWorkers(node, false);
            }
            case WATCHES_FAIL -> {
                line.failWatches(true);
                return () -> line.failWatches(false);
            }
            case RECORDS_HIDDEN -> {
                for (int each = 0; each < 3; each++) {
                    world.line(each).hide(RecordCodec.TASK_PREFIX);
                }
                return () -> {
                    for (int each = 0; each < 3; each++) {
                        world.line(each).hide("/");
                    }
                };
            }
            case SHORT_OF_TIME -> {
                world.busy(node, Duration.ofMillis(500 + random.nextInt(4000)));
                return () -> world.busy(node, false);
            }
            case PEERS_CUT -> {
                world.peersCut(true);
                return () -> world.peersCut(false);
            }
            case HAND_OVER -> {
                if (world.node(node) != null) {
                    world.node(node).handOver();
                }
                return () -> {};
            }
            case MACHINES_BEGIN_ANEW -> {
                some(world, random).forEach(FakeWorker::reboot);
                return () -> {};
            }
            case MUTE_MACHINES -> {
                return on(some(world, random), FakeWorker::mute);
            }
            case MUTE_ZONE -> {
                String zone = random.nextBoolean() ? "a" : "b";
                return on(
                        world.workers().stream()
                                .filter(worker -> worker.zone().equals(zone))
                                .toList(),
                        FakeWorker::mute);
            }
            case ANSWERS_OF_WRITES_LOST -> {
                return onLines(world, random, FakeStore.Line::loseCommitAnswers);
            }
            case REPORTS_FOR_NEXT -> {
                world.keepReportsForNext(0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> world.keepReportsForNext(0, 0);
            }
            case CANCEL_NOW -> {
                List<JobSpec> running = new ArrayList<>(world.runningJobs());
                Collections.shuffle(running, random);
                world.cancelNow(
                        running.subList(0, Math.min(4, running.size())),
                        Duration.ofSeconds(random.nextBoolean() ? 0 : 5 + random.nextInt(40)));
                return () -> {};
            }
            case CANCEL_AT_END -> {
                world.cancelAtEnd(0.3 + 0.7 * random.nextDouble(), random.nextLong());
                return () -> world.cancelAtEnd(0, 0);
            }
            case ODD_REQUESTS -> {
                for (int time = 0; time < 8; time++) {
                    world.oddRequest(random);
                    world.run(Duration.ofMillis(250 * random.nextInt(4)));
                }
                return () -> {};
            }
            case CLOSE_LOOKS -> {
                world.closeLooks(true);
                return () -> world.closeLooks(false);
            }
            case QUICK_BOOTS -> {
                world.boots(Duration.ofMillis(50 + random.nextInt(1900)), Duration.ofSeconds(10));
                return () -> world.boots(Duration.ofSeconds(10), Duration.ZERO);
            }
            case DEPOSED_BY_A_HINT -> {
                if (world.leader() >= 0 && world.node(world.leader()) != null) {
                    world.node(world.leader())
                            .observeLeader(
                                    new FencingToken(world.term() + 1), "n" + random.nextInt(3));
                }
                return () -> {};
            }
            case ALL_AWAY -> {
                for (int each = 0; each < 3; each++) {
                    world.thaw(each);
                }
                world.crashAll();
                world.runS(19 + random.nextInt(20));
                world.restartAll();
                return () -> {};
            }
            case ZONE_APART_WITH_A_NODE -> {
                String zone = random.nextBoolean() ? "a" : "b";
                world.apart(node, true);
                for (int each = 0; each < 3; each++) {
                    world.cutFromZone(each, zone, each != node);
                    world.cutFromZone(each, zone.equals("a") ? "b" : "a", each == node);
                }
                return () -> {
                    world.apart(node, false);
                    for (int each = 0; each < 3; each++) {
                        world.cutFromWorkers(each, false);
                    }
                };
            }
            case LEADER_AFTER_LEADER -> {
                for (int time = 0; time < 5; time++) {
                    int now = world.leader();
                    if (now >= 0) {
                        world.bounce(now, Duration.ofMillis(100 + random.nextInt(6000)));
                    }
                    world.runS(3 + random.nextInt(9));
                }
                return () -> {};
            }
            case SLOW_FOR_ALL -> {
                world.store().slow(Duration.ofMillis(200 + random.nextInt(1100)));
                return () -> world.store().slow(null);
            }
            case FEW_CHANGES -> {
                world.store().limit(4 + random.nextInt(12));
                return () -> world.store().limit(0);
            }
            case CLOUD_OUT -> {
                world.cloudOut(true);
                return () -> world.cloudOut(false);
            }
            default -> {
                line.failWatches(true);
                for (int instant = 0; instant < 4; instant++) {
                    line.cut(true);
                    world.runS(1 + random.nextInt(3));
                    line.cut(false);
                    world.run(Duration.ofMillis(250 + random.nextInt(750)));
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
        void set(FakeStore.Line line, double share, long seed);
    }

    /** A trouble of a share of what goes to the state service from every node. */
    private static Runnable onLines(World world, Random random, LineTrouble trouble) {
        double share = 0.2 + 0.6 * random.nextDouble();
        for (int each = 0; each < 3; each++) {
            trouble.set(world.line(each), share, random.nextLong());
        }
        return () -> {
            for (int each = 0; each < 3; each++) {
                trouble.set(world.line(each), 0, 0);
            }
        };
    }

    private static Runnable on(List<FakeWorker> workers, BiConsumer<FakeWorker, Boolean> trouble) {
        workers.forEach(worker -> trouble.accept(worker, true));
        return () -> workers.forEach(worker -> trouble.accept(worker, false));
    }

    private static List<FakeWorker> some(World world, Random random) {
        List<FakeWorker> all = new ArrayList<>(world.workers());
        List<FakeWorker> some = new ArrayList<>();
        for (int at = 0; at < 3 && !all.isEmpty(); at++) {
            some.add(all.remove(random.nextInt(all.size())));
        }
        return some;
    }
}
