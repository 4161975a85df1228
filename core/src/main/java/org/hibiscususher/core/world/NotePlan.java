package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.note.Finding;

/**
 * The change of the head that is planned for a release note.
 *
 * @param version version in the store of the head on which the note builds, 0 if there is none
 * @param base the head on which the note builds
 * @param next the head to write; the same as {@code base} until the note was checked
 * @param warnings the warnings of the check
 */
public record NotePlan(long version, HeadRecord base, HeadRecord next, List<Finding> warnings) {
    /** The plan before the head was read. */
    public static final NotePlan UNKNOWN = of(0, HeadRecord.EMPTY);

    /** Makes a defensive copy of the list. */
    public NotePlan {
        requireNonNull(base);
        requireNonNull(next);
        warnings = List.copyOf(warnings);
    }

    /** Returns the plan of a note that is yet to be checked against a head. */
    public static NotePlan of(long version, HeadRecord base) {
        return new NotePlan(version, base, base, List.of());
    }

    /** Returns a copy after the check, with the head to write. */
    public NotePlan checked(HeadRecord value, List<Finding> found) {
        return new NotePlan(version, base, value, found);
    }
}
