package org.hibiscususher.standin.matrix;

import java.util.Map;
import org.hibiscususher.core.config.KeyDigest;

/** The release notes of a scene. */
final class SceneNotes {
    private SceneNotes() {}

    /** Returns the first note: all hosts in their pools, teams, keys and queues. */
    static String opening(Map<String, String> hosts) {
        StringBuilder note = new StringBuilder("note: opening\nauthor: anna\nadded:\n");
        note.append("  pools:\n    - {name: quick, hosts out at most: 2, ")
                .append("hosts out at most per zone: 1}\n")
                .append("    - {name: long, quick reserve: 2}\n  hosts:\n");
        hosts.keySet().stream()
                .sorted()
                .forEach(
                        h ->
                                note.append("    - {name: ")
                                        .append(h)
                                        .append(", address: \"127.0.0.1:")
                                        .append(h.substring(1))
                                        .append("\", zone: ")
                                        .append(Scene.zoneOf(h))
                                        .append(", pool: ")
                                        .append(hosts.get(h))
                                        .append(", slots: ")
                                        .append(Scene.SLOTS)
                                        .append("}\n"));
        note.append("  teams:\n");
        Scene.TEAMS.forEach(
                t ->
                        note.append("    - {name: ")
                                .append(t)
                                .append(", share: 1, upper limit: 6}\n"));
        note.append("  keys:\n");
        Scene.TEAMS.forEach(
                t ->
                        note.append("    - {name: ")
                                .append(t)
                                .append("-key, team: ")
                                .append(t)
                                .append(", digest: ")
                                .append(KeyDigest.ofSecret(t).toHex())
                                .append("}\n"));
        return note.append("  queues:\n    - {name: lookups, pool: quick, run limit ms: ")
                .append(Scene.RUN_LIMIT_MS)
                .append("}\n    - {name: reports, pool: long, kind: long, run limit ms: ")
                .append(Scene.RUN_LIMIT_MS)
                .append("}\n")
                .toString();
    }

    /** Returns a note that changes a team's upper limit. */
    static String limit(String id, int limit) {
        return limit(id, limit, -1);
    }

    /** Returns the same note, made for a revision. */
    static String limit(String id, int limit, long base) {
        return "note: "
                + id
                + "\nauthor: carl\n"
                + (base < 0 ? "" : "base: " + base + "\n")
                + "changed:\n  teams:\n    - {name: alpha, share: 1, upper limit: "
                + limit
                + "}\n";
    }

    /** Returns a note that withdraws a key. */
    static String withdrawal() {
        return "note: withdrawal\nauthor: dora\nwithdrawn:\n  keys: [beta-key]\n";
    }

    /** Returns a note that moves a host to a pool. */
    static String move(String host, String pool) {
        return "note: move\nauthor: dora\nchanged:\n  hosts:\n    - {name: "
                + host
                + ", address: \"127.0.0.1:"
                + host.substring(1)
                + "\", zone: "
                + Scene.zoneOf(host)
                + ", pool: "
                + pool
                + ", slots: "
                + Scene.SLOTS
                + "}\n";
    }
}
