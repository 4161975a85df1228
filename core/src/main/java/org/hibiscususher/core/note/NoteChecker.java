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

/**
 * Checks a release note against the configuration that it applies to, and applies it.
 *
 * <p>All findings are collected before the note is rejected, so that the author sees every error in
 * one answer.
 */
public final class NoteChecker {
    private final ReleaseNote mNote;
    private final Configuration mBefore;
    private final List<Finding> mFindings = new ArrayList<>();

    /** Locations of the objects that the note names, by type and id as in {@code host h1}. */
    private final Map<String, SourceLocation> mLocations = new LinkedHashMap<>();

    /** The objects that the note withdraws, by type and id. */
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
     * @param note the note to check
     * @param before the configuration that the note applies to
     * @return all findings, and the configuration with the note applied
     */
    public static NoteCheckResult check(ReleaseNote note, Configuration before) {
        return new NoteChecker(note, before).run();
    }

    private NoteCheckResult run() {
        Declarations added = mNote.added();
        Declarations changed = mNote.changed();
        Withdrawals withdrawn = mNote.withdrawn();
        SortedMap<String, PoolSpec> pools =
                applyChanges(
                        "pool",
                        mBefore.pools(),
                        added.pools(),
                        changed.pools(),
                        withdrawn.pools(),
                        PoolSpec::id);
        SortedMap<String, HostSpec> hosts =
                applyChanges(
                        "host",
                        mBefore.hosts(),
                        added.hosts(),
                        changed.hosts(),
                        withdrawn.hosts(),
                        HostSpec::id);
        SortedMap<String, TeamSpec> teams =
                applyChanges(
                        "team",
                        mBefore.teams(),
                        added.teams(),
                        changed.teams(),
                        withdrawn.teams(),
                        TeamSpec::id);
        SortedMap<String, KeySpec> keys =
                applyChanges(
                        "key",
                        mBefore.keys(),
                        added.keys(),
                        changed.keys(),
                        withdrawn.keys(),
                        KeySpec::id);
        SortedMap<String, QueueSpec> queues =
                applyChanges(
                        "queue",
                        mBefore.queues(),
                        added.queues(),
                        changed.queues(),
                        withdrawn.queues(),
                        QueueSpec::id);
        Configuration after =
                new Configuration(mBefore.revision() + 1, pools, hosts, teams, keys, queues);
        ConfigurationDelta delta = ConfigurationDelta.between(mBefore, after);
        mFindings.addAll(ConsistencyChecker.check(mNote, mBefore, after, mLocations, mWithdrawn));
        mFindings.sort(Finding.BY_LOCATION);
        return new NoteCheckResult(mFindings, after, delta);
    }

    /**
     * Applies the note's changes to the objects of one type, and reports ids that are listed twice,
     * added although they exist, or changed or withdrawn although they don't.
     *
     * <p>Items with errors are applied all the same, so that the checks across declarations see the
     * intended configuration and don't report consequences of errors reported here.
     */
    private <T> SortedMap<String, T> applyChanges(
            String type,
            SortedMap<String, T> before,
            List<Located<T>> added,
            List<Located<T>> changed,
            List<Located<String>> withdrawn,
            Function<T, String> idOf) {
        SortedMap<String, T> after = new TreeMap<>(before);
        Map<String, SourceLocation> listed = new LinkedHashMap<>();
        for (Located<T> item : added) {
            String id = idOf.apply(item.value());
            recordLocation(type, id, item.location(), listed);
            if (before.containsKey(id)) {
                addError(item.location(), type + " " + id + " exists; list it under \"changed\"");
            }
            after.put(id, item.value());
        }
        for (Located<T> item : changed) {
            String id = idOf.apply(item.value());
            recordLocation(type, id, item.location(), listed);
            if (!before.containsKey(id)) {
                addError(
                        item.location(),
                        type + " " + id + " does not exist; list it under \"added\"");
            }
            after.put(id, item.value());
        }
        for (Located<String> item : withdrawn) {
            recordLocation(type, item.value(), item.location(), listed);
            mWithdrawn.add(type + " " + item.value());
            if (after.remove(item.value()) == null) {
                addError(item.location(), type + " " + item.value() + " does not exist");
            }
        }
        return after;
    }

    /** Records where the note names an object, and reports an id that the note lists twice. */
    private void recordLocation(
            String type, String id, SourceLocation location, Map<String, SourceLocation> listed) {
        SourceLocation earlier = listed.putIfAbsent(id, location);
        if (earlier != null) {
            addError(location, type + " " + id + " is already listed in this note, at " + earlier);
        }
        mLocations.put(type + " " + id, location);
    }

    private void addError(SourceLocation location, String message) {
        mFindings.add(new Finding(location, message));
    }
}
