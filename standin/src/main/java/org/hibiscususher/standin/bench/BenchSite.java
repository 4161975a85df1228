package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.KeyDigest;

/** The sites of the benchmark, with their present numbers of zones and hosts. */
enum BenchSite {
    /** Four zones; five pools of eight hosts each. */
    OBROTOWA(4, List.of(8, 8, 8, 8, 8)),
    /** Three zones; five pools with 35 hosts in all. */
    OFFICE(3, List.of(6, 6, 8, 9, 6));

    /** The default of release notes, as {@link #note} sets no number of slots. */
    static final int SLOTS_PER_HOST = 8;

    static final int ENTRIES = 9;
    static final int QUICK_WAIT_LIMIT_MS = 2_500;
    static final int LONG_WAIT_LIMIT_MS = 60_000;
    static final int RUN_LIMIT_MS = 5_000;

    private final int mZones;
    private final List<Integer> mHostsPerPool;

    BenchSite(int zones, List<Integer> hostsPerPool) {
        mZones = zones;
        mHostsPerPool = hostsPerPool;
    }

    int pools() {
        return mHostsPerPool.size();
    }

    /** Returns the slots of all hosts of a pool. */
    int slots(int pool) {
        return mHostsPerPool.get(pool) * SLOTS_PER_HOST;
    }

    /** Returns how many slots of a pool long requests must leave free: one per host. */
    int quickReserve(int pool) {
        return mHostsPerPool.get(pool);
    }

    /** Returns the zone of an entry; entries are spread over the zones in turn. */
    String zone(int entry) {
        return "z" + entry % mZones;
    }

    /** Returns the release note, as YAML, that declares the site and its customers. */
    String note(List<Customer> customers) {
        List<String> lines = new ArrayList<>();
        lines.add("note: opening\nauthor: bench\nadded:\n  pools:");
        for (int p = 0; p < pools(); p++) {
            lines.add("    - {name: p%d, quick reserve: %d}".formatted(p, quickReserve(p)));
        }
        lines.add("  hosts:");
        int port = 0;
        for (int p = 0; p < pools(); p++) {
            for (int h = 0; h < mHostsPerPool.get(p); h++) {
                port++;
                lines.add(
                        "    - {name: p%dh%d, address: \"127.0.0.1:%d\", zone: z%d, pool: p%d}"
                                .formatted(p, h, port, h % mZones, p));
            }
        }
        lines.add("  teams:");
        for (Customer c : customers) {
            lines.add(
                    "    - {name: %s, share: %d, upper limit: %d}"
                            .formatted(c.team(), c.share(), c.upperLimit()));
        }
        lines.add("  keys:");
        for (Customer c : customers) {
            lines.add(
                    "    - {name: k%s, team: %s, digest: %s}"
                            .formatted(c.team(), c.team(), KeyDigest.ofSecret(c.team()).toHex()));
        }
        lines.add("  queues:");
        for (int p = 0; p < pools(); p++) {
            lines.add(queueLine("quick", p, QUICK_WAIT_LIMIT_MS));
            lines.add(queueLine("long", p, LONG_WAIT_LIMIT_MS));
        }
        return String.join("\n", lines);
    }

    private static String queueLine(String kind, int pool, int waitLimitMs) {
        return ("    - {name: %s%d, pool: p%d, kind: %s, waiting at most: 5000,"
                        + " wait limit ms: %d, run limit ms: %d}")
                .formatted(kind, pool, pool, kind, waitLimitMs, RUN_LIMIT_MS);
    }
}
