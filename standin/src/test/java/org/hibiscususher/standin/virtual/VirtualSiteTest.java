package org.hibiscususher.standin.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.wire.yaml.NoteReader;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Smoke tests of {@link VirtualSite}: one configuration, one request. */
class VirtualSiteTest {
    private final VirtualSite mSite = VirtualSite.create(7, ControlSettings.DEFAULT);

    @BeforeEach
    void openSite() {
        for (int i = 1; i <= 3; i++) {
            mSite.start("e" + i, "z" + i);
        }
        mSite.run(500);
        String note =
                """
                note: opening
                author: anna
                added:
                  pools: [{name: parts}]
                  hosts:
                    - {name: h1, address: "127.0.0.1:1", zone: z1, pool: parts}
                    - {name: h2, address: "127.0.0.1:2", zone: z2, pool: parts}
                  teams: [{name: fitters, share: 1, upper limit: 9}]
                  keys: [{name: k, team: fitters, digest: %s}]
                  queues: [{name: lookups, pool: parts}]
                """
                        .formatted(KeyDigest.ofSecret("fitters").toHex());
        long callId = mSite.submitNote("e1", NoteReader.read("note", note).note());
        mSite.run(500);
        assertThat(mSite.noteReplies().get(callId).result()).isEqualTo(NoteResult.ACCEPTED);
    }

    @Nested
    class Requests {
        @Test
        void runOnceAndGetTheirResponse() {
            VirtualRequest request = mSite.sendRequest("e2", "lookups", "fitters", 50);
            mSite.run(200);
            assertThat(request.isAnswered()).isTrue();
            assertThat(request.runCount()).isEqualTo(1);
        }

        @Test
        void areRefusedWithUnknownKey() {
            VirtualRequest request = mSite.sendRequest("e2", "lookups", "strangers", 50);
            mSite.run(200);
            assertThat(request.refusal()).contains(Refusal.KEY_UNKNOWN);
        }
    }
}
