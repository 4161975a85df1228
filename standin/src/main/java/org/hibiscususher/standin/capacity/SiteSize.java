package org.hibiscususher.standin.capacity;

import org.hibiscususher.core.config.KeyDigest;

/**
 * The size of a site.
 *
 * @param members entries, 1 or more
 * @param pools pools, 1 or more
 * @param teams teams, 1 or more
 * @param hosts target hosts, at least one a pool
 * @param notesPerDay release notes a day
 * @param requestsPerSecond requests a second in the whole site
 */
record SiteSize(
        int members, int pools, int teams, int hosts, int notesPerDay, int requestsPerSecond) {
    private static final int ZONES = 16;
    private static final int SLOTS = 8;

    SiteSize {
        if (members < 1 || pools < 1 || teams < 1 || hosts < pools || notesPerDay < 0) {
            throw new IllegalArgumentException("a site has members, pools, teams and hosts");
        }
    }

    SiteSize withMembers(int value) {
        return new SiteSize(value, pools, teams, hosts, notesPerDay, requestsPerSecond);
    }

    SiteSize withPools(int value) {
        return new SiteSize(members, value, teams, hosts, notesPerDay, requestsPerSecond);
    }

    SiteSize withTeams(int value) {
        return new SiteSize(members, pools, value, hosts, notesPerDay, requestsPerSecond);
    }

    SiteSize withHosts(int value) {
        return new SiteSize(members, pools, teams, value, notesPerDay, requestsPerSecond);
    }

    SiteSize withNotes(int value) {
        return new SiteSize(members, pools, teams, hosts, value, requestsPerSecond);
    }

    SiteSize withRequests(int value) {
        return new SiteSize(members, pools, teams, hosts, notesPerDay, value);
    }

    /** Returns the release note that declares the site. */
    String note() {
        StringBuilder note = new StringBuilder("note: opening\nauthor: bench\nadded:\n  pools:\n");
        int perPool = hosts / pools;
        for (int i = 0; i < pools; i++) {
            note.append("    - {name: p").append(i);
            if (perPool > 2) {
                note.append(", quick reserve: 2");
            }
            note.append("}\n");
        }
        note.append("  hosts:\n");
        for (int i = 0; i < hosts; i++) {
            note.append("    - {name: h")
                    .append(i)
                    .append(", address: \"10.")
                    .append(i / 62_500)
                    .append('.')
                    .append(i / 250 % 250)
                    .append('.')
                    .append(i % 250)
                    .append(":80\", zone: z")
                    .append(i / pools % ZONES)
                    .append(", pool: p")
                    .append(i % pools)
                    .append(", slots: ")
                    .append(SLOTS)
                    .append("}\n");
        }
        note.append("  teams:\n");
        for (int i = 0; i < teams; i++) {
            note.append("    - {name: t")
                    .append(i)
                    .append(", share: ")
                    .append(1 + i % 5)
                    .append(", upper limit: ")
                    .append(Math.max(8, hosts * SLOTS / 4))
                    .append("}\n");
        }
        note.append("  keys:\n");
        for (int i = 0; i < teams; i++) {
            note.append("    - {name: k")
                    .append(i)
                    .append(", team: t")
                    .append(i)
                    .append(", digest: ")
                    .append(KeyDigest.ofSecret("t" + i).toHex())
                    .append("}\n");
        }
        note.append("  queues:\n");
        for (int i = 0; i < pools; i++) {
            note.append("    - {name: q").append(i).append(", pool: p").append(i).append("}\n");
        }
        return note.toString();
    }

    /** Returns a release note that changes a team. */
    String change(int number) {
        return "note: change-"
                + number
                + "\nauthor: bench\nchanged:\n  teams:\n    - {name: t"
                + number % teams
                + ", share: 3, upper limit: "
                + (Math.max(8, hosts * SLOTS / 4) + number % 7)
                + "}\n";
    }
}
