package org.hibiscususher.core.world;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.message.StoreRecord.HeadRecord;
import org.hibiscususher.core.note.Finding;

/**
 * What a release note builds on, and what it shall become.
 *
 * @param version version in the store of the head that the note builds on, 0 if there is none
 * @param base the head that the note builds on
 * @param next the head to write; the base until the note is checked
 * @param warnings what the check found
 */
public record NotePlan(long version, HeadRecord base, HeadRecord next, List<Finding> warnings) {
    /** The plan before the head is read. */
    public static final NotePlan UNKNOWN = of(0, HeadRecord.EMPTY);

    /** Copies the list. */
    public NotePlan {
        requireNonNull(base);
        requireNonNull(next);
        warnings = List.copyOf(warnings);
    }

    /** Returns the plan of a note that is to be checked against a head. */
    public static NotePlan of(long version, HeadRecord base) {
        return new NotePlan(version, base, base, List.of());
    }

    /** Returns a copy after the check, with the head to write. */
    public NotePlan checked(HeadRecord value, List<Finding> found) {
        return new NotePlan(version, base, value, found);
    }
}
