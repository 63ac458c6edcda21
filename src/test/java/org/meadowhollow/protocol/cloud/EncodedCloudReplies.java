package org.meadowhollow.protocol.cloud;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.meadowhollow.coordination.api.CloudProvider.ListedMachine;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.protocol.RandomEncoding;

/** Encodes the responses of the cloud as the cloud does. */
public final class EncodedCloudReplies {
    private static final double MILLIONTHS_PER_UNIT = 1e6;
    private static final String MACHINES = "stalls";

    private EncodedCloudReplies() {}

    /** Returns what a controller reads of a list of machine types that the cloud encoded. */
    public static List<MachineType> transmitTypes(
            List<MachineType> types, RandomEncoding encoding) {
        List<Map<String, Object>> listed =
                types.stream().map(EncodedCloudReplies::fieldsOf).toList();
        return CloudCodec.decodeMachineTypes(ok(Map.of("breeds", listed), encoding));
    }

    private static Map<String, Object> fieldsOf(MachineType type) {
        return MessageReader.mapOf(
                "label",
                type.name(),
                "cores",
                type.capacity().cpu() / MILLIONTHS_PER_UNIT,
                "gpus",
                type.capacity().gpu() / MILLIONTHS_PER_UNIT,
                "memGb",
                type.capacity().memory() / MILLIONTHS_PER_UNIT,
                "cacheGb",
                type.imageCacheGb(),
                "fetchGbPerS",
                type.imagePullGbPerSecond(),
                "hourly",
                type.hourlyPrice(),
                "spotPrice",
                type.hourlySpotPrice(),
                "readyS",
                type.bootSeconds(),
                "fields",
                type.zones());
    }

    /** Returns what a controller reads of a list of machines that the cloud encoded. */
    public static List<ListedMachine> transmitMachines(
            List<ListedMachine> machines, RandomEncoding encoding) {
        List<Map<String, Object>> listed =
                machines.stream().map(EncodedCloudReplies::fieldsOf).toList();
        return CloudCodec.decodeMachinePage(ok(Map.of(MACHINES, listed), encoding)).machines();
    }

    private static Map<String, Object> fieldsOf(ListedMachine machine) {
        return MessageReader.mapOf(
                "ref",
                machine.id().value(),
                "endpoint",
                machine.address(),
                "breed",
                machine.type(),
                "field",
                machine.zone(),
                "loaners",
                machine.spot(),
                "phase",
                machine.phase().name().toLowerCase(Locale.ROOT),
                "heldS",
                machine.ageSeconds());
    }

    /** Returns what a controller reads of the response to a rental that the cloud encoded. */
    public static Optional<List<MachineId>> transmitRental(
            List<MachineId> machines, RandomEncoding encoding) {
        if (machines.isEmpty()) {
            byte[] body = encoding.encode(Map.of("error", "no capacity"));
            return CloudCodec.decodeRentedMachines(new Http.Reply(503, body, 0));
        }
        List<String> names = machines.stream().map(MachineId::value).toList();
        return CloudCodec.decodeRentedMachines(ok(Map.of(MACHINES, names), encoding));
    }

    private static Http.Reply ok(Map<String, Object> fields, RandomEncoding encoding) {
        return new Http.Reply(200, encoding.encode(fields), 0);
    }
}
