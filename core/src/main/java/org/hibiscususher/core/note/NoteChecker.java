package org.hibiscususher.core.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.config.TeamSpec;

/** Checks a release note as a whole against a configuration and applies it. */
public final class NoteChecker {
    private final ReleaseNote mNote;
    private final Configuration mBefore;
    private final List<Finding> mFindings = new ArrayList<>();
    private final Map<String, SourceLocation> mPlaces = new LinkedHashMap<>();
    private final Set<String> mWithdrawn = new LinkedHashSet<>();

    private NoteChecker(ReleaseNote note, Configuration before) {
        mNote = note;
        mBefore = before;
    }

    /**
     * Checks a note and applies it.
     *
     * <p>Takes time linear in the size of the note and the configuration.
     *
     * @param note the note
     * @param before the configuration that it applies to
     * @return every finding, and the configuration that results
     */
    public static NoteCheckResult check(ReleaseNote note, Configuration before) {
        return new NoteChecker(note, before).run();
    }

    private NoteCheckResult run() {
        Declarations added = mNote.added();
        Declarations changed = mNote.changed();
        Withdrawals gone = mNote.withdrawn();
        SortedMap<String, PoolSpec> pools =
                apply(
                        "pool",
                        mBefore.pools(),
                        added.pools(),
                        changed.pools(),
                        gone.pools(),
                        PoolSpec::id);
        SortedMap<String, HostSpec> hosts =
                apply(
                        "host",
                        mBefore.hosts(),
                        added.hosts(),
                        changed.hosts(),
                        gone.hosts(),
                        HostSpec::id);
        SortedMap<String, TeamSpec> teams =
                apply(
                        "team",
                        mBefore.teams(),
                        added.teams(),
                        changed.teams(),
                        gone.teams(),
                        TeamSpec::id);
        SortedMap<String, KeySpec> keys =
                apply(
                        "key",
                        mBefore.keys(),
                        added.keys(),
                        changed.keys(),
                        gone.keys(),
                        KeySpec::id);
        SortedMap<String, QueueSpec> queues =
                apply(
                        "queue",
                        mBefore.queues(),
                        added.queues(),
                        changed.queues(),
                        gone.queues(),
                        QueueSpec::id);
        Configuration after =
                new Configuration(mBefore.revision() + 1, pools, hosts, teams, keys, queues);
        ConfigurationDelta delta = ConfigurationDelta.between(mBefore, after);
        mFindings.addAll(ConsistencyChecker.check(mNote, mBefore, after, mPlaces, mWithdrawn));
        mFindings.sort(Finding.BY_LOCATION);
        return new NoteCheckResult(mFindings, after, delta);
    }

    private <T> SortedMap<String, T> apply(
            String type,
            SortedMap<String, T> before,
            List<Located<T>> added,
            List<Located<T>> changed,
            List<Located<String>> withdrawn,
            Function<T, String> idOf) {
        SortedMap<String, T> after = new TreeMap<>(before);
        Map<String, SourceLocation> seen = new LinkedHashMap<>();
        for (Located<T> item : added) {
            String id = idOf.apply(item.value());
            note(type, id, item.location(), seen);
            if (before.containsKey(id)) {
                find(item.location(), type + " " + id + " exists; list it under \"changed\"");
            }
            after.put(id, item.value());
        }
        for (Located<T> item : changed) {
            String id = idOf.apply(item.value());
            note(type, id, item.location(), seen);
            if (!before.containsKey(id)) {
                find(item.location(), type + " " + id + " does not exist; list it under \"added\"");
            }
            after.put(id, item.value());
        }
        for (Located<String> item : withdrawn) {
            note(type, item.value(), item.location(), seen);
            mWithdrawn.add(type + " " + item.value());
            if (after.remove(item.value()) == null) {
                find(item.location(), type + " " + item.value() + " does not exist");
            }
        }
        return after;
    }

    private void note(
            String type, String id, SourceLocation place, Map<String, SourceLocation> seen) {
        SourceLocation earlier = seen.putIfAbsent(id, place);
        if (earlier != null) {
            find(place, type + " " + id + " stands in this note already, at " + earlier);
        }
        mPlaces.put(type + " " + id, place);
    }

    private void find(SourceLocation place, String message) {
        mFindings.add(new Finding(place, message));
    }
}
