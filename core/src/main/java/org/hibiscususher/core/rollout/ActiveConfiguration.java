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

/** Puts revisions in force on this entry; a revision never goes back. */
final class ActiveConfiguration {
    private static final int RECENT_NOTES = 256;

    private ActiveConfiguration() {}

    /**
     * Puts in force what the notes lead to, as far as they follow the present revision without a
     * gap.
     *
     * @param notes notes that are known to have been written, in order
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
            remember(tick.world(), note);
        }
        activate(tick, next);
    }

    /** Puts a configuration in force that is known to have been written, if it is newer. */
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
     * Returns the remembered notes that follow a revision, up to the present one; empty if some are
     * not remembered.
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

    private static void remember(World world, AcceptedNote note) {
        world.recentNotes().put(note.revision(), note);
        long oldest = note.revision() - RECENT_NOTES;
        world.recentNotes().removeIf(n -> n.revision() <= oldest);
    }

    private static void replaceKeys(World world, Configuration next) {
        world.accessKeys().clear();
        for (KeySpec key : next.keys().values()) {
            world.accessKeys().put(key.digest(), key);
        }
    }

    /** Takes in the declared hosts; withdrawn ones stay until they are idle. */
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
