package org.meadowhollow.protocol.cloud;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.meadowhollow.coordination.api.CloudProvider.ListedMachine;
import org.meadowhollow.coordination.api.CloudProvider.MachinePhase;
import org.meadowhollow.coordination.api.CloudProvider.RequestRefusedException;
import org.meadowhollow.model.MachineId;
import org.meadowhollow.model.MachineType;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/**
 * Encodes requests to the cloud and decodes its responses. The cloud's names for fields and states
 * are confined to this class. Stateless. The decoding methods throw a {@link CompletionException}
 * caused by a {@link MalformedMessageException} if the status or the body violates the protocol.
 */
final class CloudCodec {
    static final String MACHINE_TYPES_PATH = "/machine_types";
    static final String MACHINES_PATH = "/rentals";
    static final String RELEASE_PATH = "/rentals/release";

    private static final String REQUEST_ID = "hire";
    private static final String MACHINES = "stalls";
    private static final String MACHINE_ID = "ref";
    private static final String MACHINE_TYPES = "breeds";
    private static final String MACHINE_TYPE = "breed";
    private static final String TYPE_NAME = "label";
    private static final String ZONES = "fields";
    private static final String ZONE = "field";
    private static final String IS_SPOT = "loaners";
    private static final String COUNT = "count";
    private static final String ADDRESS = "endpoint";
    private static final String PHASE = "phase";
    private static final String AGE_SECONDS = "heldS";
    private static final String HAS_MORE = "truncated";
    private static final String CPUS = "cores";
    private static final String GPUS = "gpus";
    private static final String MEMORY_GB = "memGb";
    private static final String IMAGE_CACHE_GB = "cacheGb";
    private static final String IMAGE_PULL_GB_PER_SECOND = "fetchGbPerS";
    private static final String PRICE_PER_HOUR = "hourly";
    private static final String SPOT_PRICE_PER_HOUR = "spotPrice";
    private static final String BOOT_SECONDS = "readyS";
    private static final String ERROR = "error";
    private static final String ERROR_NO_CAPACITY = "no capacity";

    private static final String PHASE_BOOTING = "booting";
    private static final String PHASE_RUNNING = "running";
    private static final String PHASE_FAILED = "failed";

    /** One page of the cloud's list of machines. */
    record MachinePage(List<ListedMachine> machines, boolean hasMore) {}

    private CloudCodec() {}

    /**
     * @param after the id of the last machine of the previous page, or empty for the first page
     */
    static String machinesPath(String after, int pageSize) {
        return MACHINES_PATH + "?after=" + after + "&most=" + pageSize;
    }

    static byte[] encodeRentRequest(
            String requestId, String type, String zone, boolean spot, int count) {
        return MessagePackCodec.encode(
                MessageReader.mapOf(
                        REQUEST_ID,
                        requestId,
                        MACHINE_TYPE,
                        type,
                        ZONE,
                        zone,
                        IS_SPOT,
                        spot,
                        COUNT,
                        (long) count));
    }

    static byte[] encodeReleaseRequest(List<MachineId> machines) {
        return MessagePackCodec.encode(
                Map.of(MACHINES, machines.stream().map(MachineId::value).toList()));
    }

    static List<MachineType> decodeMachineTypes(Http.Reply reply) {
        return decode(
                reply,
                body -> {
                    List<MachineType> types = new ArrayList<>();
                    for (MessageReader item : body.nestedList(MACHINE_TYPES)) {
                        types.add(readMachineType(item));
                    }
                    return types;
                });
    }

    private static MachineType readMachineType(MessageReader item)
            throws MalformedMessageException {
        List<String> zones = item.stringListOrNull(ZONES);
        return new MachineType(
                item.string(TYPE_NAME),
                Resources.of(
                        item.nonNegativeDouble(CPUS),
                        item.nonNegativeDouble(GPUS),
                        item.nonNegativeDouble(MEMORY_GB)),
                item.nonNegativeDouble(IMAGE_CACHE_GB),
                item.nonNegativeDouble(IMAGE_PULL_GB_PER_SECOND),
                item.nonNegativeDouble(PRICE_PER_HOUR),
                item.nonNegativeDoubleOr(
                        SPOT_PRICE_PER_HOUR, item.nonNegativeDouble(PRICE_PER_HOUR)),
                item.nonNegativeDouble(BOOT_SECONDS),
                zones == null ? List.of() : zones);
    }

    /** Decodes the rented machines; empty if the cloud has no capacity of this kind at present. */
    static Optional<List<MachineId>> decodeRentedMachines(Http.Reply reply) {
        if (reply.status() == 503 && isNoCapacityError(reply)) {
            return Optional.empty();
        }
        return decode(
                reply,
                body -> {
                    List<MachineId> ids = new ArrayList<>();
                    for (String id : body.stringList(MACHINES)) {
                        ids.add(new MachineId(id));
                    }
                    return Optional.of(ids);
                });
    }

    private static boolean isNoCapacityError(Http.Reply reply) {
        try {
            return ERROR_NO_CAPACITY.equals(MessageReader.decode(reply.body()).stringOrNull(ERROR));
        } catch (MalformedMessageException malformed) {
            return false;
        }
    }

    /**
     * @throws RequestRefusedException if the request was certainly not executed
     */
    static void requireReleased(Http.Reply reply) {
        if (reply.status() == 429 || reply.status() == 503) {
            throw new RequestRefusedException("the cloud answered " + reply.status());
        }
        decode(reply, body -> body);
    }

    static MachinePage decodeMachinePage(Http.Reply reply) {
        return decode(
                reply,
                body -> {
                    List<ListedMachine> machines = new ArrayList<>();
                    for (MessageReader item : body.nestedList(MACHINES)) {
                        machines.add(readListedMachine(item));
                    }
                    return new MachinePage(machines, body.booleanOr(HAS_MORE, false));
                });
    }

    private static ListedMachine readListedMachine(MessageReader item)
            throws MalformedMessageException {
        return new ListedMachine(
                new MachineId(item.string(MACHINE_ID)),
                item.stringOrNull(ADDRESS),
                item.string(MACHINE_TYPE),
                item.string(ZONE),
                item.booleanOr(IS_SPOT, false),
                decodePhase(item.string(PHASE)),
                item.nonNegativeDoubleOr(AGE_SECONDS, 0));
    }

    private static MachinePhase decodePhase(String word) throws MalformedMessageException {
        return switch (word) {
            case PHASE_BOOTING -> MachinePhase.BOOTING;
            case PHASE_RUNNING -> MachinePhase.RUNNING;
            case PHASE_FAILED -> MachinePhase.FAILED;
            default -> throw new MalformedMessageException("unknown phase " + word);
        };
    }

    private interface BodyDecoder<T> {
        T decode(MessageReader body) throws MalformedMessageException;
    }

    private static <T> T decode(Http.Reply reply, BodyDecoder<T> decoder) {
        try {
            if (reply.status() != 200) {
                throw new MalformedMessageException("the cloud answered " + reply.status());
            }
            return decoder.decode(MessageReader.decode(reply.body()));
        } catch (MalformedMessageException malformed) {
            throw new CompletionException(malformed);
        }
    }
}
