package org.hibiscususher.wire.json;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Compresses records that may be large and expands them. The expanded size is bounded, so that a
 * corrupt record can't exhaust the memory.
 */
final class Gzip {
    private static final int MAX_EXPANDED_BYTES = 64 * 1024 * 1024;

    private Gzip() {}

    static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory can't fail", e);
        }
        return compressed.toByteArray();
    }

    /**
     * Returns the expanded form of gzip bytes.
     *
     * @throws IOException if the bytes aren't in the gzip format, or expand to more than {@value
     *     #MAX_EXPANDED_BYTES} bytes
     */
    static byte[] expand(byte[] bytes) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            byte[] expanded = in.readNBytes(MAX_EXPANDED_BYTES);
            if (in.read() >= 0) {
                throw new IOException(
                        "record expands to more than " + MAX_EXPANDED_BYTES + " bytes");
            }
            return expanded;
        }
    }
}
