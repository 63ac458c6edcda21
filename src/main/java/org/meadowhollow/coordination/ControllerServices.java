package org.meadowhollow.coordination;

import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.api.PeerGateway;
import org.meadowhollow.coordination.api.PortGuard;
import org.meadowhollow.coordination.api.WorkerGateway;
import org.meadowhollow.coordination.reservation.ReservationSettings;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.JobEventListeners;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.storage.KeyValueStore;

/**
 * The services and settings that a controller node shares with each of its leaderships. The ports
 * to other systems are guarded, so that no call of them throws.
 */
record ControllerServices(
        EventLoop loop,
        KeyValueStore store,
        WorkerGateway workerGateway,
        CloudProvider cloudProvider,
        PeerGateway peerGateway,
        DeploymentSettings deploymentSettings,
        MachineTypeCatalog machineTypeCatalog,
        JobEventListeners jobEventListeners,
        ReservationSettings reservationSettings) {
    ControllerServices {
        store = PortGuard.guard(store);
        workerGateway = PortGuard.guard(workerGateway);
        cloudProvider = PortGuard.guard(cloudProvider);
        peerGateway = PortGuard.guard(peerGateway);
    }
}
