package org.meadowhollow.model;

/**
 * A resource vector: the amounts that a task takes or a machine has. Amounts are integers, so that
 * sums and differences are exact, whatever the order of operations.
 *
 * @param cpu cores, in millionths
 * @param gpu GPUs, in millionths
 * @param memory gigabytes, in millionths
 */
public record Resources(long cpu, long gpu, long memory) {
    /** The zero vector. */
    public static final Resources NONE = new Resources(0, 0, 0);

    private static final double MILLIONTHS_PER_UNIT = 1e6;

    /** The largest amount, in millionths: that of 100,000 tasks does not overflow. */
    private static final long MAX_AMOUNT = Long.MAX_VALUE / 1_000_000;

    /**
     * Creates a vector from numbers of cores, GPUs and gigabytes of memory, rounded to millionths.
     * An amount of over nine million counts as that many.
     */
    public static Resources of(double cpus, double gpus, double memoryGb) {
        return new Resources(toMillionths(cpus), toMillionths(gpus), toMillionths(memoryGb));
    }

    private static long toMillionths(double amount) {
        return Math.min(MAX_AMOUNT, Math.round(amount * MILLIONTHS_PER_UNIT));
    }

    /** The sum, resource by resource. */
    public Resources plus(Resources other) {
        return new Resources(cpu + other.cpu, gpu + other.gpu, memory + other.memory);
    }

    /** The difference, resource by resource; amounts can become negative. */
    public Resources minus(Resources other) {
        return new Resources(cpu - other.cpu, gpu - other.gpu, memory - other.memory);
    }

    /** This vector multiplied by a number of tasks. */
    public Resources times(int count) {
        return new Resources(cpu * count, gpu * count, memory * count);
    }

    /** Whether each amount is at most that of the capacity. */
    public boolean fitsIn(Resources capacity) {
        return cpu <= capacity.cpu && gpu <= capacity.gpu && memory <= capacity.memory;
    }

    /**
     * The dominant share: the largest share of {@code whole} that this vector takes of any
     * resource.
     */
    public double dominantShareOf(Resources whole) {
        return Math.max(
                share(cpu, whole.cpu),
                Math.max(share(gpu, whole.gpu), share(memory, whole.memory)));
    }

    /** The number of copies of this vector that fit into a capacity, at most {@code maxCopies}. */
    public int maxCopiesIn(Resources capacity, int maxCopies) {
        long count = maxCopies;
        if (cpu > 0) {
            count = Math.min(count, Math.max(0, capacity.cpu) / cpu);
        }
        if (gpu > 0) {
            count = Math.min(count, Math.max(0, capacity.gpu) / gpu);
        }
        if (memory > 0) {
            count = Math.min(count, Math.max(0, capacity.memory) / memory);
        }
        return (int) count;
    }

    private static double share(long part, long whole) {
        return whole <= 0 ? (part > 0 ? 1 : 0) : (double) part / whole;
    }
}
