package org.meadowhollow.coordination.rounds;

import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.coordination.scheduling.ClusterState;
import org.meadowhollow.coordination.scheduling.ServiceLevelObjectives;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.storage.RecordWriter;

/**
 * Dependencies that the classes of a scheduling round share: the leadership's state, settings and
 * writer.
 */
public record RoundContext(
        EventLoop loop,
        DeploymentSettings deploymentSettings,
        ClusterState clusterState,
        ServiceLevelObjectives objectives,
        RecordWriter recordWriter) {}
