package org.meadowhollow.model;

/**
 * What a task takes or a machine has. Whole millionths, so that adding and taking away in any order
 * comes out even.
 */
public record Resources(long cpu, long gpu, long memory) {
    public static final Resources NONE = new Resources(0, 0, 0);
    private static final double MILLIONTHS_PER_UNIT = 1e6;

    public static Resources of(double cpus, double gpus, double memoryGb) {
        return new Resources(
                Math.round(cpus * MILLIONTHS_PER_UNIT),
                Math.round(gpus * MILLIONTHS_PER_UNIT),
                Math.round(memoryGb * MILLIONTHS_PER_UNIT));
    }

    public Resources plus(Resources other) {
        return new Resources(cpu + other.cpu, gpu + other.gpu, memory + other.memory);
    }

    public Resources minus(Resources other) {
        return new Resources(cpu - other.cpu, gpu - other.gpu, memory - other.memory);
    }

    public Resources times(int count) {
        return new Resources(cpu * count, gpu * count, memory * count);
    }

    public boolean fitsIn(Resources room) {
        return cpu <= room.cpu && gpu <= room.gpu && memory <= room.memory;
    }

    /** The largest share of {@code whole} that any one amount of this takes. */
    public double dominantShareOf(Resources whole) {
        return Math.max(
                share(cpu, whole.cpu),
                Math.max(share(gpu, whole.gpu), share(memory, whole.memory)));
    }

    /** How often this fits into {@code room}, at most {@code most} times. */
    public int maxCopiesIn(Resources room, int most) {
        long count = most;
        if (cpu > 0) {
            count = Math.min(count, Math.max(0, room.cpu) / cpu);
        }
        if (gpu > 0) {
            count = Math.min(count, Math.max(0, room.gpu) / gpu);
        }
        if (memory > 0) {
            count = Math.min(count, Math.max(0, room.memory) / memory);
        }
        return (int) count;
    }

    private static double share(long part, long whole) {
        return whole <= 0 ? (part > 0 ? 1 : 0) : (double) part / whole;
    }
}
