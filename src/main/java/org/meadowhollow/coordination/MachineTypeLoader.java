package org.meadowhollow.coordination;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.meadowhollow.coordination.api.CloudProvider;
import org.meadowhollow.model.EventLoop;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.MachineTypeCatalog;
import org.meadowhollow.model.RepeatingStep;
import org.meadowhollow.model.RepeatingSteps;
import org.meadowhollow.model.Revision;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;
import org.meadowhollow.storage.MachineTypesCodec;
import org.meadowhollow.storage.RecordKeys;
import org.meadowhollow.storage.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads a node's catalog of machine types once: from the record that an earlier node wrote, so that
 * a node can start while the cloud is unavailable, or else from the cloud, whose response it
 * records. Has one request in flight at a time and needs no lock; the catalog has its own.
 */
final class MachineTypeLoader {
    private static final Logger LOG = LoggerFactory.getLogger(MachineTypeLoader.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final KeyValueStore store;
    private final CloudProvider cloudProvider;
    private final MachineTypeCatalog machineTypeCatalog;
    private final BooleanSupplier isClosed;
    private boolean cloudFailureLogged;

    MachineTypeLoader(ControllerServices services, BooleanSupplier isClosed) {
        this.loop = services.loop();
        this.store = services.store();
        this.cloudProvider = services.cloudProvider();
        this.machineTypeCatalog = services.machineTypeCatalog();
        this.isClosed = isClosed;
    }

    /** Loads the types; retries every second until it succeeds. */
    void load() {
        RepeatingSteps.handle(
                loop,
                RepeatingStep.MACHINE_TYPE_LOAD,
                store.get(RecordKeys.MACHINE_TYPES_KEY, RequestPriority.USER),
                this::onRecordRead,
                this::loadLater);
    }

    private void loadLater() {
        loop.schedule(RETRY_DELAY, this::load);
    }

    private void onRecordRead(Optional<KeyValueStore.Entry> entry, Throwable failure) {
        if (isClosed.getAsBoolean() || !machineTypeCatalog.isEmpty()) {
            return;
        }
        if (failure != null) {
            loadLater();
        } else if (entry.isPresent()) {
            List<MachineType> types = MachineTypesCodec.decode(entry.get().value());
            machineTypeCatalog.replaceAll(types);
            LOG.info("loaded {} machine types from the key-value store", types.size());
        } else {
            fetchFromCloud();
        }
    }

    private void fetchFromCloud() {
        RepeatingSteps.handle(
                loop,
                RepeatingStep.MACHINE_TYPE_LOAD,
                cloudProvider.listMachineTypes(),
                this::onCloudAnswer,
                this::loadLater);
    }

    private void onCloudAnswer(List<MachineType> types, Throwable failure) {
        if (isClosed.getAsBoolean()) {
            return;
        }
        if (failure != null || types.isEmpty()) {
            logCloudFailure(failure);
            loadLater();
            return;
        }
        machineTypeCatalog.replaceAll(types);
        LOG.info("the cloud offers {} machine types", types.size());
        recordTypes(types);
    }

    private void logCloudFailure(Throwable failure) {
        if (!cloudFailureLogged) {
            LOG.info(
                    "the cloud does not list its machine types: {}; retrying",
                    failure == null ? "it has none" : failure.getMessage());
        }
        cloudFailureLogged = true;
    }

    /**
     * Records the types unless another node has done so. A failed write is not repeated; the next
     * node that starts loads them from the cloud again.
     */
    private void recordTypes(List<MachineType> types) {
        var unusedCommit =
                store.commit(
                        new Transaction()
                                .requireRevision(RecordKeys.MACHINE_TYPES_KEY, Revision.ABSENT)
                                .put(RecordKeys.MACHINE_TYPES_KEY, MachineTypesCodec.encode(types)),
                        RequestPriority.BACKGROUND);
    }
}
