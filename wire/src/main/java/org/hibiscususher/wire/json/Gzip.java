package org.hibiscususher.wire.json;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses records and expands them. */
final class Gzip {
    private static final int MAX_EXPANDED_BYTES = 64 * 1024 * 1024;

    private Gzip() {}

    static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory does not fail", e);
        }
        return compressed.toByteArray();
    }

    /**
     * Expands bytes.
     *
     * @throws IOException if they are not compressed, or expand beyond what a record may hold
     */
    static byte[] expand(byte[] bytes) throws IOException {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            byte[] expanded = in.readNBytes(MAX_EXPANDED_BYTES);
            if (in.read() >= 0) {
                throw new IOException("expands beyond " + MAX_EXPANDED_BYTES + " bytes");
            }
            return expanded;
        }
    }
}
