package org.hibiscususher.core.job;

/**
 * An amount of processor, memory and accelerators.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes
 * @param gpus accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long gpus) {
    /** Nothing. */
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

    /** Returns this amount several times. */
    public Resources times(long n) {
        return new Resources(cpuMillis * n, memoryMb * n, gpus * n);
    }

    /** Returns this amount without its processor part. */
    public Resources withoutCpu() {
        return new Resources(0, memoryMb, gpus);
    }

    /** Returns whether no part of this amount exceeds that of the other one. */
    public boolean fitsIn(Resources room) {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && gpus <= room.gpus;
    }

    /** Returns whether this amount stays within a limit whose parts count only if above 0. */
    public boolean staysWithin(Resources limit) {
        return within(cpuMillis, limit.cpuMillis)
                && within(memoryMb, limit.memoryMb)
                && within(gpus, limit.gpus);
    }

    private static boolean within(long used, long limit) {
        return limit <= 0 || used <= limit;
    }
}
