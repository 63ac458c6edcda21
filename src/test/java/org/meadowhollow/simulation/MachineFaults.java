package org.meadowhollow.simulation;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;

/** Faults of machines, of their connections and of the cloud. */
final class MachineFaults {
    private static final Duration NORMAL_BOOT_TIME = Duration.ofSeconds(10);

    private MachineFaults() {}

    static Runnable duplicateHeartbeatsLate(FaultTarget target) {
        SimulatedNetwork network = target.cluster().network();
        network.duplicateHeartbeatsLate(target.randomShare(), target.random().nextLong());
        return () -> network.duplicateHeartbeatsLate(0, 0);
    }

    static Runnable keepHeartbeatsForNextLeader(FaultTarget target) {
        SimulatedNetwork network = target.cluster().network();
        network.keepHeartbeatsForNextLeader(target.randomShare(), target.random().nextLong());
        return () -> network.keepHeartbeatsForNextLeader(0, 0);
    }

    static Runnable loseIncoming(FaultTarget target) {
        return injectIntoWorkers(target.randomWorkers(), FakeWorker::loseIncoming);
    }

    static Runnable hang(FaultTarget target) {
        return injectIntoWorkers(target.randomWorkers(), FakeWorker::setHung);
    }

    static Runnable reboot(FaultTarget target) {
        target.randomWorkers().forEach(FakeWorker::reboot);
        return FaultTarget.noEndAction();
    }

    static Runnable blockOutgoingConnections(FaultTarget target) {
        return injectIntoWorkers(target.randomWorkers(), FakeWorker::blockOutgoingConnections);
    }

    static Runnable blockOutgoingConnectionsOfZone(FaultTarget target) {
        String zone = target.randomZone();
        List<FakeWorker> workers =
                target.cluster().workers().stream()
                        .filter(worker -> worker.zone().equals(zone))
                        .toList();
        return injectIntoWorkers(workers, FakeWorker::blockOutgoingConnections);
    }

    /** Makes rented machines boot sooner than the cloud lists them. */
    static Runnable bootQuickly(FaultTarget target) {
        SimulatedCloud cloud = target.cluster().cloud();
        cloud.setBootTimes(
                Duration.ofMillis(50 + target.random().nextInt(1900)), Duration.ofSeconds(10));
        return () -> cloud.setBootTimes(NORMAL_BOOT_TIME, Duration.ZERO);
    }

    static Runnable failCloud(FaultTarget target) {
        target.cluster().cloud().setOutage(true);
        return () -> target.cluster().cloud().setOutage(false);
    }

    private static Runnable injectIntoWorkers(
            List<FakeWorker> workers, BiConsumer<FakeWorker, Boolean> fault) {
        workers.forEach(worker -> fault.accept(worker, true));
        return () -> workers.forEach(worker -> fault.accept(worker, false));
    }
}
