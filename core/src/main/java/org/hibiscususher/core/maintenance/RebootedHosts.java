package org.hibiscususher.core.maintenance;

import org.hibiscususher.core.message.StoreRecord.OutageRecord;
import org.hibiscususher.core.world.RebootedHostRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * The hosts that were rebooted in the newest wave and are in service again, in the order in which
 * this entry learned of them.
 */
final class RebootedHosts {
    private RebootedHosts() {}

    /** Adds the hosts that a pool's record lists as rebooted and that aren't known as such yet. */
    static void record(Tick tick, OutageRecord record) {
        World world = tick.world();
        if (record.wave().isEmpty()) {
            return;
        }
        for (String host : record.rebooted()) {
            String key = key(record.wave(), host);
            if (!world.rebootedHosts().contains(key)) {
                world.rebootedHosts()
                        .put(key, new RebootedHostRow(host, record.wave(), tick.nowMs()));
            }
        }
    }

    /** Removes the hosts of all waves but the given one. */
    static void retainOnly(World world, String wave) {
        world.rebootedHosts().removeIf(r -> !r.wave().equals(wave));
    }

    /** Returns whether a host was rebooted in a wave and is in service again. */
    static boolean contains(World world, String wave, String host) {
        return world.rebootedHosts().contains(key(wave, host));
    }

    /** Returns how many hosts were rebooted in a wave and are in service again. */
    static int count(World world, String wave) {
        return (int)
                world.rebootedHosts().rows().stream().filter(r -> r.wave().equals(wave)).count();
    }

    private static String key(String wave, String host) {
        return wave + "/" + host;
    }
}
