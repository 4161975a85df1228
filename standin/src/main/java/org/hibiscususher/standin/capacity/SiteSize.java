package org.hibiscususher.standin.capacity;

import org.hibiscususher.core.config.KeyDigest;

/**
 * The dimensions of a simulated site and of its load.
 *
 * @param members number of entries, 1 or more
 * @param pools number of pools, 1 or more
 * @param teams number of teams, 1 or more
 * @param hosts number of target hosts, at least one per pool
 * @param notesPerDay release notes per day; 0 for none
 * @param requestsPerSecond requests per second in the whole site; 0 for none
 */
record SiteSize(
        int members, int pools, int teams, int hosts, int notesPerDay, int requestsPerSecond) {
    private static final int ZONES = 16;
    private static final int SLOTS_PER_HOST = 8;

    SiteSize {
        if (members < 1 || pools < 1 || teams < 1 || hosts < pools || notesPerDay < 0) {
            throw new IllegalArgumentException(
                    "members, pools and teams must be 1 or more, hosts at least as many as pools,"
                            + " and notesPerDay 0 or more: members="
                            + members
                            + ", pools="
                            + pools
                            + ", teams="
                            + teams
                            + ", hosts="
                            + hosts
                            + ", notesPerDay="
                            + notesPerDay);
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

    /** Returns the release note, as YAML, that declares the site. */
    String initialNote() {
        StringBuilder note = new StringBuilder("note: opening\nauthor: bench\nadded:\n  pools:\n");
        int hostsPerPool = hosts / pools;
        for (int i = 0; i < pools; i++) {
            note.append("    - {name: p").append(i);
            if (hostsPerPool > 2) {
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
                    .append(SLOTS_PER_HOST)
                    .append("}\n");
        }
        note.append("  teams:\n");
        for (int i = 0; i < teams; i++) {
            note.append("    - {name: t")
                    .append(i)
                    .append(", share: ")
                    .append(1 + i % 5)
                    .append(", upper limit: ")
                    .append(Math.max(8, hosts * SLOTS_PER_HOST / 4))
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

    /**
     * Returns a release note, as YAML, that changes the limits of one team.
     *
     * @param number number of the note, from 0; it decides the team and makes the note differ from
     *     those before
     */
    String changeNote(int number) {
        return "note: change-"
                + number
                + "\nauthor: bench\nchanged:\n  teams:\n    - {name: t"
                + number % teams
                + ", share: 3, upper limit: "
                + (Math.max(8, hosts * SLOTS_PER_HOST / 4) + number % 7)
                + "}\n";
    }
}
