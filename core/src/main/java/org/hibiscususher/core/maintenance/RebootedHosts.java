package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.WaveDoneRow;
import org.hibiscususher.core.world.World;

/** Keeps the hosts that are rebooted in the newest wave, in the order in which they came back. */
final class RebootedHosts {
    private RebootedHosts() {}

    /** Adds what a pool's record shows for the first time. */
    static void record(Tick tick, OutageRecord record) {
        World world = tick.world();
        if (record.wave().isEmpty()) {
            return;
        }
        for (String host : record.done()) {
            String key = key(record.wave(), host);
            if (!world.waveDone().contains(key)) {
                world.waveDone().put(key, new WaveDoneRow(host, record.wave(), tick.nowMs()));
            }
        }
    }

    /** Forgets all waves but one. */
    static void retainOnly(World world, String wave) {
        world.waveDone().removeIf(r -> !r.wave().equals(wave));
    }

    /** Returns whether a host is rebooted in a wave. */
    static boolean contains(World world, String wave, String host) {
        return world.waveDone().contains(key(wave, host));
    }

    /** Returns how many hosts are rebooted in a wave. */
    static int count(World world, String wave) {
        return (int) world.waveDone().rows().stream().filter(r -> r.wave().equals(wave)).count();
    }

    private static String key(String wave, String host) {
        return wave + "/" + host;
    }
}
