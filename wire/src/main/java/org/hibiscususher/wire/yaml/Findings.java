package org.hibiscususher.wire.yaml;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.note.Finding;
import org.hibiscususher.core.note.SourceLocation;
import org.snakeyaml.engine.v2.exceptions.Mark;

/** Collects the findings about one file. Not thread-safe. */
final class Findings {
    private final String mFile;
    private final List<Finding> mFindings = new ArrayList<>();

    Findings(String file) {
        mFile = file;
    }

    void add(SourceLocation location, String message) {
        mFindings.add(new Finding(location, message));
    }

    /** Returns the location of a parser's mark; the start of the file if there is none. */
    SourceLocation locationOf(Optional<Mark> mark) {
        return mark.map(m -> new SourceLocation(mFile, m.getLine() + 1, m.getColumn() + 1))
                .orElse(new SourceLocation(mFile, 1, 1));
    }

    /** Returns the findings so far, in order of line and column. */
    List<Finding> list() {
        return mFindings.stream().sorted(Finding.BY_LOCATION).toList();
    }
}
