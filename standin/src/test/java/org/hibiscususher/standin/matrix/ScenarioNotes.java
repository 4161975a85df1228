package org.hibiscususher.standin.matrix;

import java.util.Map;
import org.hibiscususher.core.config.KeyDigest;

/** The release notes of the fault scenarios, in the YAML that operators write. */
final class ScenarioNotes {
    private ScenarioNotes() {}

    /**
     * Returns the initial note, which adds the pools, hosts, teams, keys and queues.
     *
     * @param hosts pool of each host
     */
    static String initial(Map<String, String> hosts) {
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
                                        .append(FaultScenario.zoneOf(h))
                                        .append(", pool: ")
                                        .append(hosts.get(h))
                                        .append(", slots: ")
                                        .append(FaultScenario.SLOTS_PER_HOST)
                                        .append("}\n"));
        note.append("  teams:\n");
        FaultScenario.TEAMS.forEach(
                t ->
                        note.append("    - {name: ")
                                .append(t)
                                .append(", share: 1, upper limit: 6}\n"));
        note.append("  keys:\n");
        FaultScenario.TEAMS.forEach(
                t ->
                        note.append("    - {name: ")
                                .append(t)
                                .append("-key, team: ")
                                .append(t)
                                .append(", digest: ")
                                .append(KeyDigest.ofSecret(t).toHex())
                                .append("}\n"));
        return note.append("  queues:\n    - {name: lookups, pool: quick, run limit ms: ")
                .append(FaultScenario.RUN_LIMIT_MS)
                .append("}\n    - {name: reports, pool: long, kind: long, run limit ms: ")
                .append(FaultScenario.RUN_LIMIT_MS)
                .append("}\n")
                .toString();
    }

    /** Returns a note without a base revision that changes the upper limit of {@code alpha}. */
    static String changeLimit(String id, int limit) {
        return changeLimit(id, limit, -1);
    }

    /**
     * Returns a note that changes the upper limit of the team {@code alpha}.
     *
     * @param base revision on which the note is based, negative for none
     */
    static String changeLimit(String id, int limit, long base) {
        return "note: "
                + id
                + "\nauthor: carl\n"
                + (base < 0 ? "" : "base: " + base + "\n")
                + "changed:\n  teams:\n    - {name: alpha, share: 1, upper limit: "
                + limit
                + "}\n";
    }

    /** Returns a note that withdraws the key of the team {@code beta}. */
    static String withdrawKey() {
        return "note: withdrawal\nauthor: dora\nwithdrawn:\n  keys: [beta-key]\n";
    }

    /** Returns a note that moves a host to another pool. */
    static String moveHost(String host, String pool) {
        return "note: move\nauthor: dora\nchanged:\n  hosts:\n    - {name: "
                + host
                + ", address: \"127.0.0.1:"
                + host.substring(1)
                + "\", zone: "
                + FaultScenario.zoneOf(host)
                + ", pool: "
                + pool
                + ", slots: "
                + FaultScenario.SLOTS_PER_HOST
                + "}\n";
    }
}
