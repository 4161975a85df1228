package org.hibiscususher.core.note;

import java.util.List;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;

/** Digests what a release note asks for, whatever its layout, author and summary. */
public final class NoteDigest {
    private static final int DIGITS = 24;

    private NoteDigest() {}

    /** Returns the digest as hexadecimal digits; takes time linear in the note's size. */
    public static String of(ReleaseNote note) {
        StringBuilder text = new StringBuilder();
        add(text, "added", note.added());
        add(text, "changed", note.changed());
        Withdrawals gone = note.withdrawn();
        ids(text, "withdrawn pools", gone.pools());
        ids(text, "withdrawn hosts", gone.hosts());
        ids(text, "withdrawn teams", gone.teams());
        ids(text, "withdrawn keys", gone.keys());
        ids(text, "withdrawn queues", gone.queues());
        return KeyDigest.ofSecret(text.toString()).toHex().substring(0, DIGITS);
    }

    private static void add(StringBuilder text, String section, Declarations declarations) {
        ids(text, section + " pools", declarations.pools());
        ids(text, section + " hosts", declarations.hosts());
        ids(text, section + " teams", declarations.teams());
        text.append(section).append(" keys\n");
        for (Located<KeySpec> key : declarations.keys()) {
            KeySpec spec = key.value();
            text.append(spec.id()).append(' ').append(spec.team()).append(' ');
            text.append(spec.digest().toHex()).append('\n');
        }
        ids(text, section + " queues", declarations.queues());
    }

    private static void ids(StringBuilder text, String section, List<? extends Located<?>> items) {
        text.append(section).append('\n');
        items.forEach(i -> text.append(i.value()).append('\n'));
    }
}
