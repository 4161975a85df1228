package org.hibiscususher.core.note;

import java.util.List;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;

/**
 * Computes a digest of the changes that a release note requests, regardless of its layout, author,
 * summary and base revision.
 *
 * <p>The digest identifies a note that is submitted again under the same id. It is kept in the
 * platform's store and covers the {@code toString()} text of the declarations. Renaming a component
 * of a declaration's record would therefore change the digest, and a note that was committed before
 * an upgrade and is submitted again after it would be rejected as a conflict.
 */
public final class NoteDigest {
    /** Hexadecimal digits of a digest; 96 of the 256 bits of SHA-256. */
    private static final int DIGEST_DIGITS = 24;

    private NoteDigest() {}

    /** Returns the digest in hexadecimal digits, in time linear in the size of the note. */
    public static String of(ReleaseNote note) {
        StringBuilder text = new StringBuilder();
        appendDeclarations(text, "added", note.added());
        appendDeclarations(text, "changed", note.changed());
        Withdrawals withdrawn = note.withdrawn();
        appendValues(text, "withdrawn pools", withdrawn.pools());
        appendValues(text, "withdrawn hosts", withdrawn.hosts());
        appendValues(text, "withdrawn teams", withdrawn.teams());
        appendValues(text, "withdrawn keys", withdrawn.keys());
        appendValues(text, "withdrawn queues", withdrawn.queues());
        return KeyDigest.ofSecret(text.toString()).toHex().substring(0, DIGEST_DIGITS);
    }

    private static void appendDeclarations(
            StringBuilder text, String section, Declarations declarations) {
        appendValues(text, section + " pools", declarations.pools());
        appendValues(text, section + " hosts", declarations.hosts());
        appendValues(text, section + " teams", declarations.teams());
        text.append(section).append(" keys\n");
        for (Located<KeySpec> key : declarations.keys()) {
            KeySpec spec = key.value();
            text.append(spec.id()).append(' ').append(spec.team()).append(' ');
            text.append(spec.digest().toHex()).append('\n');
        }
        appendValues(text, section + " queues", declarations.queues());
    }

    private static void appendValues(
            StringBuilder text, String section, List<? extends Located<?>> items) {
        text.append(section).append('\n');
        items.forEach(item -> text.append(item.value()).append('\n'));
    }
}
