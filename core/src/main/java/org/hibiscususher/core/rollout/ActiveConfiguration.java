package org.hibiscususher.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.message.Output.LogEvent;
import org.hibiscususher.core.note.AcceptedNote;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.core.world.HostStage;
import org.hibiscususher.core.world.RevisionRow;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/**
 * Replaces the active configuration of this entry, by newer revisions only.
 *
 * <p>A delayed watch event, read or relay may deliver an older revision than the active one; to
 * activate it would bring back withdrawn keys and old limits.
 */
final class ActiveConfiguration {
    /** Newest notes kept for relaying to members that lag. */
    private static final int MAX_RECENT_NOTES = 256;

    private ActiveConfiguration() {}

    /**
     * Applies notes to the active configuration, up to the first one that does not follow it
     * without a gap or whose delta is missing.
     *
     * @param notes notes that are known to be written, in order of revision; those that are active
     *     already are skipped
     */
    static void applyNotes(Tick tick, List<AcceptedNote> notes) {
        Configuration next = tick.world().configuration();
        for (AcceptedNote note : notes) {
            if (note.revision() <= next.revision()) {
                continue;
            }
            if (note.revision() != next.revision() + 1 || !note.hasDelta()) {
                break;
            }
            next = note.delta().applyTo(next);
            keepForRelay(tick.world(), note);
        }
        activate(tick, next);
    }

    /**
     * Activates a configuration if it is newer than the active one.
     *
     * @param next a configuration that is known to be written
     */
    static void activate(Tick tick, Configuration next) {
        World world = tick.world();
        if (next.revision() <= world.configuration().revision()) {
            return;
        }
        world.revisionTable().put(World.SELF, new RevisionRow(next, tick.nowMs()));
        replaceKeys(world, next);
        replaceHosts(world, next);
        tick.emit(new LogEvent("event=in-force revision=" + next.revision()));
    }

    /**
     * Returns the notes after a revision up to the active one, in order; empty if some of them are
     * not kept here.
     */
    static Optional<List<AcceptedNote>> notesAfter(World world, long revision) {
        List<AcceptedNote> notes = new ArrayList<>();
        for (long r = revision + 1; r <= world.configuration().revision(); r++) {
            Optional<AcceptedNote> note = world.recentNotes().find(r);
            if (note.isEmpty()) {
                return Optional.empty();
            }
            notes.add(note.get());
        }
        return Optional.of(notes);
    }

    private static void keepForRelay(World world, AcceptedNote note) {
        world.recentNotes().put(note.revision(), note);
        long newestDropped = note.revision() - MAX_RECENT_NOTES;
        world.recentNotes().removeIf(n -> n.revision() <= newestDropped);
    }

    private static void replaceKeys(World world, Configuration next) {
        world.accessKeys().clear();
        for (KeySpec key : next.keys().values()) {
            world.accessKeys().put(key.digest(), key);
        }
    }

    /**
     * Adds and updates the declared hosts; the rows of withdrawn hosts stay until they are idle.
     */
    private static void replaceHosts(World world, Configuration next) {
        for (HostSpec spec : next.hosts().values()) {
            Optional<HostRow> row = world.hosts().find(spec.id());
            if (row.isEmpty()) {
                HostRow added = new HostRow(spec, spec.pool(), HostStage.IN_SERVICE, 0, 0);
                world.hosts().put(spec.id(), added);
            } else if (!row.get().spec().equals(spec)) {
                world.hosts().put(spec.id(), row.get().withSpec(spec));
            }
        }
    }
}
