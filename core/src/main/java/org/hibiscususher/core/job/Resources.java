package org.hibiscususher.core.job;

/**
 * An amount of processor time, memory and accelerators.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes of memory
 * @param gpus number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
    /** The empty amount. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns an amount. */
    public static Resources of(long cpuMillis, long memoryMb, long gpus) {
        return new Resources(cpuMillis, memoryMb, gpus);
    }

    /** Returns the sum of this amount and another one. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /** Returns the difference of this amount and another one; its parts may be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, gpus - other.gpus);
    }

    /** Returns this amount multiplied by a number. */
    public Resources times(long n) {
        return new Resources(cpuMillis * n, memoryMb * n, gpus * n);
    }

    /** Returns this amount without its processor part. */
    public Resources withoutCpu() {
        return new Resources(0, memoryMb, gpus);
    }

    /** Returns whether no part of this amount exceeds that of the given capacity. */
    public boolean fitsIn(Resources capacity) {
        return cpuMillis <= capacity.cpuMillis
                && memoryMb <= capacity.memoryMb
                && gpus <= capacity.gpus;
    }

    /**
     * Returns whether no part of this amount exceeds that of a limit, whose parts of 0 or less mean
     * no limit.
     */
    public boolean staysWithin(Resources limit) {
        return within(cpuMillis, limit.cpuMillis)
                && within(memoryMb, limit.memoryMb)
                && within(gpus, limit.gpus);
    }

    private static boolean within(long used, long limit) {
        return limit <= 0 || used <= limit;
    }
}
