package org.hibiscususher.standin.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.UUID;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.wire.yaml.NoteReader;

/** A virtual site with three entries, one pool of four hosts in two zones, and two teams. */
final class RequestSite {
    static final List<String> ENTRIES = List.of("e1", "e2", "e3");
    static final List<String> HOSTS = List.of("h1", "h2", "h3", "h4");

    /** Time for the first configuration to reach all entries, in milliseconds. */
    private static final int ROLL_OUT_MS = 8_000;

    private RequestSite() {}

    /** Creates the site and waits until its configuration is in force. */
    static VirtualSite open(long seed) {
        VirtualSite site = VirtualSite.create(seed, ControlSettings.DEFAULT);
        for (int i = 0; i < ENTRIES.size(); i++) {
            site.start(ENTRIES.get(i), "z" + i);
        }
        site.run(1_000);
        String note =
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts}]
                  hosts:
                    - {name: h1, address: "127.0.0.1:1", zone: z1, pool: parts}
                    - {name: h2, address: "127.0.0.1:2", zone: z1, pool: parts}
                    - {name: h3, address: "127.0.0.1:3", zone: z2, pool: parts}
                    - {name: h4, address: "127.0.0.1:4", zone: z2, pool: parts}
                  teams:
                    - {name: fitters, share: 1, upper limit: 30}
                    - {name: hotels, share: 1, upper limit: 30}
                  keys:
                    - {name: k1, team: fitters, digest: %s}
                    - {name: k2, team: hotels, digest: %s}
                  queues:
                    - {name: lookups, pool: parts, waiting at most: 90, wait limit ms: 1000,
                       run limit ms: 3000}
                """
                        .formatted(
                                KeyDigest.ofSecret("fitters").toHex(),
                                KeyDigest.ofSecret("hotels").toHex());
        long callId = site.submitNote("e1", NoteReader.read("note", note).note());
        site.run(ROLL_OUT_MS);
        assertThat(site.noteReplies().get(callId).result()).isEqualTo(NoteResult.ACCEPTED);
        return site;
    }

    /** Returns a new idempotency key, a version 7 UUID with the current virtual time. */
    static String key(VirtualSite site) {
        long timestampMs = site.nowMs();
        long high = timestampMs << 16 | 0x7000 | site.random().nextInt(0x1000);
        long low = 0x8000_0000_0000_0000L | site.random().nextLong() >>> 2;
        return new UUID(high, low).toString();
    }

    /** Asserts that running entries have no pending requests or claims and use no permits. */
    static void assertIdle(VirtualSite site) {
        for (VirtualEntry entry : site.entries().values()) {
            if (entry.processState() == ProcessState.RUNNING) {
                assertThat(entry.world().requests().rows()).as(entry.id()).isEmpty();
                assertThat(entry.world().abandonedRequests().rows()).as(entry.id()).isEmpty();
                assertThat(entry.world().idempotencyClaims().rows()).as(entry.id()).isEmpty();
                assertThat(entry.world().holdings().rows())
                        .as(entry.id())
                        .allMatch(h -> h.inUse() == 0);
            }
        }
    }
}
