package org.hibiscususher.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * The SHA-256 digest of an access key's secret, by which the key is recognized without storing the
 * secret. Immutable; {@link #toString} does not show the digest, so that it stays out of logs.
 */
public final class KeyDigest {
    private static final String ALGORITHM = "SHA-256";
    private static final int LENGTH_BYTES = 32;

    private final byte[] mBytes;

    private KeyDigest(byte[] bytes) {
        mBytes = bytes;
    }

    /** Returns the digest of the given secret, encoded as UTF-8. */
    public static KeyDigest ofSecret(String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            return new KeyDigest(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java platform lacks " + ALGORITHM, e);
        }
    }

    /**
     * Parses a digest.
     *
     * @param hex the digest as 64 hexadecimal digits
     * @throws IllegalArgumentException if the text is anything else
     */
    public static KeyDigest ofHex(String hex) {
        byte[] bytes = HexFormat.of().parseHex(hex);
        if (bytes.length != LENGTH_BYTES) {
            throw new IllegalArgumentException("a digest must have 64 hexadecimal digits");
        }
        return new KeyDigest(bytes);
    }

    /** Returns the digest as 64 hexadecimal digits. */
    public String toHex() {
        return HexFormat.of().formatHex(mBytes);
    }

    /** Compares in constant time, so that response times reveal nothing about a digest. */
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest that && MessageDigest.isEqual(mBytes, that.mBytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mBytes);
    }

    @Override
    public String toString() {
        return "KeyDigest(withheld)";
    }
}
