package org.hibiscususher.standin.bench;

import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.config.KeyDigest;

/** The two sites, in the sizes of today. */
enum BenchSite {
    /** Four zones; five services of eight executors each. */
    OBROTOWA(4, List.of(8, 8, 8, 8, 8)),
    /** Three zones; five services with 35 executors in all. */
    OFFICE(3, List.of(6, 6, 8, 9, 6));

    static final int SLOTS_PER_HOST = 8;
    static final int ENTRIES = 9;
    static final int WAIT_LIMIT_MS = 2_500;
    static final int LONG_WAIT_LIMIT_MS = 60_000;
    static final int RUN_LIMIT_MS = 5_000;

    private final int mZones;
    private final List<Integer> mHosts;

    BenchSite(int zones, List<Integer> hosts) {
        mZones = zones;
        mHosts = hosts;
    }

    int pools() {
        return mHosts.size();
    }

    int slots(int pool) {
        return mHosts.get(pool) * SLOTS_PER_HOST;
    }

    int quickReserve(int pool) {
        return mHosts.get(pool);
    }

    String zone(int entry) {
        return "z" + entry % mZones;
    }

    /** Returns the release note that declares the site. */
    String note(List<Customer> customers) {
        List<String> lines = new ArrayList<>();
        lines.add("note: opening\nauthor: bench\nadded:\n  pools:");
        for (int p = 0; p < pools(); p++) {
            lines.add("    - {name: p%d, quick reserve: %d}".formatted(p, quickReserve(p)));
        }
        lines.add("  hosts:");
        int port = 0;
        for (int p = 0; p < pools(); p++) {
            for (int h = 0; h < mHosts.get(p); h++) {
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
            lines.add(queue("quick", p, WAIT_LIMIT_MS));
            lines.add(queue("long", p, LONG_WAIT_LIMIT_MS));
        }
        return String.join("\n", lines);
    }

    private static String queue(String kind, int pool, int waitLimitMs) {
        return ("    - {name: %s%d, pool: p%d, kind: %s, waiting at most: 5000,"
                        + " wait limit ms: %d, run limit ms: %d}")
                .formatted(kind, pool, pool, kind, waitLimitMs, RUN_LIMIT_MS);
    }
}
