package org.hibiscususher.wire.format;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.GZIPInputStream;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.StoreRecord;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.wire.json.RecordCodec;
import org.hibiscususher.wire.peer.PeerCodec;
import org.hibiscususher.wire.scheduler.ForwardCodec;
import org.hibiscususher.wire.scheduler.ForwardMessage;
import org.hibiscususher.wire.scheduler.SchedulerRecordCodec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Compares the formats of stored records and of messages between entries with those of an earlier
 * build.
 *
 * <p>The resource {@code format/0.1.0.txt} holds the samples as the earlier build encoded them: on
 * each line a name and the bytes in hexadecimal. It must never be regenerated: a difference means
 * that an entry can no longer read what another build stored or sent.
 */
class FormatTest {
    private static final int GZIP_FIRST_BYTE = 0x1f;

    private static Map<String, byte[]> reference() throws IOException {
        Map<String, byte[]> reference = new LinkedHashMap<>();
        try (InputStream in = FormatTest.class.getResourceAsStream("/format/0.1.0.txt")) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> line.split(" "))
                    .forEach(line -> reference.put(line[0], HexFormat.of().parseHex(line[1])));
        }
        return reference;
    }

    /**
     * Returns the expanded form of gzip bytes, and other bytes unchanged. Versions of the JDK may
     * compress the same bytes differently, so that the compressed forms can't be compared.
     */
    private static byte[] expanded(byte[] bytes) throws IOException {
        if (bytes.length == 0 || bytes[0] != GZIP_FIRST_BYTE) {
            return bytes;
        }
        try (InputStream in = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            return in.readAllBytes();
        }
    }

    @Nested
    class Encode {
        @Test
        void matchesBytesOfEarlierBuild() throws IOException {
            Map<String, byte[]> reference = reference();
            Map<String, byte[]> encoded = FormatSamples.encoded();
            assertThat(encoded.keySet()).containsExactlyElementsOf(reference.keySet());
            for (var entry : encoded.entrySet()) {
                assertThat(expanded(entry.getValue()))
                        .as(entry.getKey())
                        .isEqualTo(expanded(reference.get(entry.getKey())));
            }
        }
    }

    @Nested
    class Decode {
        @Test
        void readsStoreRecords() throws IOException {
            Map<String, byte[]> reference = reference();
            for (var entry : FormatSamples.records().entrySet()) {
                RecordKey key = entry.getKey();
                byte[] bytes = reference.get(RecordCodec.storeKey(key));
                StoreRecord record = RecordCodec.decode(key, bytes);
                assertThat(record).isEqualTo(entry.getValue());
                assertThat(expanded(RecordCodec.encode(record))).isEqualTo(expanded(bytes));
            }
        }

        @Test
        void readsSchedulerRecords() throws IOException {
            Map<String, byte[]> reference = reference();
            for (StoredRecord record : FormatSamples.schedulerRecords()) {
                byte[] bytes = reference.get("scheduler/" + record.name().kind());
                StoredRecord decoded = SchedulerRecordCodec.decode(bytes);
                assertThat(decoded).isEqualTo(record);
                assertThat(SchedulerRecordCodec.encode(decoded)).isEqualTo(bytes);
            }
        }

        @Test
        void readsMessagesBetweenEntries() throws IOException {
            Map<String, byte[]> reference = reference();
            assertThat(PeerCodec.decode(reference.get("peer")))
                    .isEqualTo(FormatSamples.peerMessage());
            for (var message : FormatSamples.forwardMessages().entrySet()) {
                ForwardMessage decoded = ForwardCodec.decode(reference.get(message.getKey()));
                assertThat(decoded).isEqualTo(message.getValue());
            }
        }
    }
}
