package org.meadowhollow.story;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.meadowhollow.bookkeeping.Records;

/** A trouble that begins, and ends when it is told to, for days on which troubles meet. */
enum Trouble {
    REFUSED_ALONE, OUT_FOR_ALL, APART, LATE_WRITES, LATE_REPORTS, DEAF_MACHINES, HUNG_MACHINES, ENDED, ALL_ENDED, BACK_AT_ONCE,
    FROZEN, ANSWERS_LOST, REQUESTS_HELD, DEAF_TO_A_ZONE, WATCHES_FAIL, RECORDS_HIDDEN, SHORT_OF_TIME, PEERS_CUT, HAND_OVER,
    MACHINES_BEGIN_ANEW, SERVED_FOR_INSTANTS;

    /** Begins one of them, mostly at the leader; what is returned ends it. */
    static Runnable begin(World world, Random random) {
        return values()[random.nextInt(values().length)].at(world, random);
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
                double share = 0.2 + 0.6 * random.nextDouble();
                for (int each = 0; each < 3; each++) {
                    world.line(each).lateWrites(share, random.nextLong());
                }
                return () -> {
                    for (int each = 0; each < 3; each++) {
                        world.line(each).lateWrites(0, 0);
                    }
                };
            }
            case LATE_REPORTS -> {
                world.lateReports(0.2 + 0.6 * random.nextDouble(), random.nextLong());
                return () -> world.lateReports(0, 0);
            }
            case DEAF_MACHINES -> {
                List<FakeWorker> some = some(world, random);
                some.forEach(worker -> worker.deaf(true));
                return () -> some.forEach(worker -> worker.deaf(false));
            }
            case HUNG_MACHINES -> {
                List<FakeWorker> some = some(world, random);
                some.forEach(worker -> worker.hang(true));
                return () -> some.forEach(worker -> worker.hang(false));
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
                return () -> { };
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
                    world.line(each).hide(Records.TASKS);
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
                return () -> { };
            }
            case MACHINES_BEGIN_ANEW -> {
                some(world, random).forEach(FakeWorker::reboot);
                return () -> { };
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

    private static List<FakeWorker> some(World world, Random random) {
        List<FakeWorker> all = new ArrayList<>(world.workers());
        List<FakeWorker> some = new ArrayList<>();
        for (int at = 0; at < 3 && !all.isEmpty(); at++) {
            some.add(all.remove(random.nextInt(all.size())));
        }
        return some;
    }
}
