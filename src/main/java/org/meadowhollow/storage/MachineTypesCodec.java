package org.meadowhollow.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.meadowhollow.model.MachineType;

/**
 * Encodes and decodes the record of the machine types that the cloud offers. A node that starts
 * while the cloud is unreachable takes the machine types from this record. Field names are part of
 * the persisted format.
 */
public final class MachineTypesCodec {
    private static final String TYPES = "types";
    private static final String NAME = "name";
    private static final String IMAGE_CACHE_GB = "cacheGb";
    private static final String IMAGE_PULL_GB_PER_SECOND = "fetchGbPerS";
    private static final String HOURLY_PRICE = "price";
    private static final String HOURLY_SPOT_PRICE = "spotPrice";
    private static final String BOOT_SECONDS = "bootS";
    private static final String ZONES = "zones";

    private MachineTypesCodec() {}

    /** Encodes all machine types into one record. */
    public static Map<String, Object> encode(List<MachineType> types) {
        List<Object> items = new ArrayList<>();
        types.forEach(type -> items.add(encodeType(type)));
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(TYPES, items);
        return fields;
    }

    private static Map<String, Object> encodeType(MachineType type) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(NAME, type.name());
        RecordFields.putResources(fields, type.capacity());
        fields.put(IMAGE_CACHE_GB, type.imageCacheGb());
        fields.put(IMAGE_PULL_GB_PER_SECOND, type.imagePullGbPerSecond());
        fields.put(HOURLY_PRICE, type.hourlyPrice());
        fields.put(HOURLY_SPOT_PRICE, type.hourlySpotPrice());
        fields.put(BOOT_SECONDS, type.bootSeconds());
        fields.put(ZONES, type.zones());
        return fields;
    }

    /** The machine types of a record, in its order. */
    @SuppressWarnings("unchecked") // The store's codec decodes maps with string keys.
    public static List<MachineType> decode(Map<String, Object> fields) {
        List<MachineType> types = new ArrayList<>();
        for (Object item : (List<?>) fields.get(TYPES)) {
            types.add(decodeType((Map<String, Object>) item));
        }
        return types;
    }

    private static MachineType decodeType(Map<String, Object> fields) {
        return new MachineType(
                RecordFields.getString(fields, NAME),
                RecordFields.getResources(fields),
                RecordFields.getDouble(fields, IMAGE_CACHE_GB),
                RecordFields.getDouble(fields, IMAGE_PULL_GB_PER_SECOND),
                RecordFields.getDouble(fields, HOURLY_PRICE),
                RecordFields.getDouble(fields, HOURLY_SPOT_PRICE),
                RecordFields.getDouble(fields, BOOT_SECONDS),
                RecordFields.getStringList(fields, ZONES));
    }
}
