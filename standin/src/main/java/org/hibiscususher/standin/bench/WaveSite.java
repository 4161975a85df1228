package org.hibiscususher.standin.bench;

import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.wire.yaml.NoteReader;

/** Opens sites for the measurements of maintenance. */
final class WaveSite {
    private static final int FIRST_PORT = 1_000;
    private static final int SETTLE_MS = 4_000;

    private WaveSite() {}

    /**
     * Starts entries and declares pools {@code p0}, {@code p1} and so on, each with hosts of eight
     * slots over the zones and a queue {@code q0}, {@code q1} and so on, and a spare pool.
     *
     * @param spareHosts hosts of the spare pool; 0 for no spare pool
     */
    static void open(
            VirtualSite site, int entries, int pools, int hosts, int zones, int spareHosts) {
        for (int i = 1; i <= entries; i++) {
            site.start("e" + i, "z" + (i % zones));
        }
        site.run(SETTLE_MS);
        StringBuilder poolLines = new StringBuilder();
        StringBuilder hostLines = new StringBuilder();
        StringBuilder queueLines = new StringBuilder();
        int port = FIRST_PORT;
        for (int p = 0; p <= pools; p++) {
            boolean spare = p == pools;
            int count = spare ? spareHosts : hosts;
            if (count > 0) {
                poolLines.append(
                        "    - {name: p%d, hosts out at most: 2, spare: %s}%n".formatted(p, spare));
            }
            if (!spare) {
                queueLines.append(
                        "    - {name: q%d, pool: p%d, run limit ms: 60000}%n".formatted(p, p));
            }
            for (int h = 0; h < count; h++) {
                String id = "p" + p + "-" + h;
                site.platform().addHost(id);
                hostLines.append(
                        "    - {name: %s, address: \"127.0.0.1:%d\", zone: z%d, pool: p%d}%n"
                                .formatted(id, port++, h % zones, p));
            }
        }
        String note =
                """
                note: opening
                author: anna
                added:
                  pools:
                %s  hosts:
                %s  queues:
                %s  teams: [{name: fitters, share: 1, upper limit: 2000}]
                  keys: [{name: k, team: fitters, digest: %s}]
                """
                        .formatted(
                                poolLines,
                                hostLines,
                                queueLines,
                                KeyDigest.ofSecret("fitters").toHex());
        long call = site.submitNote("e1", NoteReader.read("note", note).note());
        site.run(SETTLE_MS);
        if (site.noteReplies().get(call).result() != NoteResult.ACCEPTED) {
            throw new IllegalStateException("not accepted: " + site.noteReplies().get(call));
        }
    }
}
