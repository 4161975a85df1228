package org.hibiscususher.core.message;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.note.AcceptedNote;

/** A value that the system keeps in the platform's store. */
public sealed interface StoreRecord {
    /**
     * The head of the configuration: the newest revision as a snapshot and the notes that follow
     * it.
     *
     * <p>The records that the head refers to are written before it and never changed, so that a
     * reader of the head can always load them.
     *
     * @param revision the newest revision, which is the number of accepted notes
     * @param snapshotRevision revision of the snapshot, 0 if there is none
     * @param snapshot name of the snapshot's record, empty if there is none
     * @param history name of the newest record of older notes, empty if there is none
     * @param notes the newest notes, in order; all those that follow the notes of the history
     */
    record HeadRecord(
            long revision,
            long snapshotRevision,
            String snapshot,
            String history,
            List<AcceptedNote> notes)
            implements StoreRecord {
        /** The head before the first note. */
        public static final HeadRecord EMPTY = new HeadRecord(0, 0, "", "", List.of());

        /** Makes a defensive copy of the list. */
        public HeadRecord {
            requireNonNull(snapshot);
            requireNonNull(history);
            notes = List.copyOf(notes);
        }

        /** Returns the note with the given id, or empty if it is not in the head. */
        public Optional<AcceptedNote> find(String noteId) {
            return notes.stream().filter(n -> n.id().equals(noteId)).findFirst();
        }
    }

    /**
     * A whole configuration.
     *
     * @param configuration the configuration
     */
    record SnapshotRecord(Configuration configuration) implements StoreRecord {
        /** Rejects a null configuration. */
        public SnapshotRecord {
            requireNonNull(configuration);
        }
    }

    /**
     * Notes that are no longer in the head.
     *
     * @param previous name of the record of the notes before these, empty if there is none
     * @param notes the notes, in order
     */
    record HistoryRecord(String previous, List<AcceptedNote> notes) implements StoreRecord {
        /** Makes a defensive copy of the list. */
        public HistoryRecord {
            requireNonNull(previous);
            notes = List.copyOf(notes);
        }
    }

    /**
     * Locates a note that is no longer in the head, by its id. A resent note is recognized by it.
     *
     * @param revision the revision that the note became
     * @param digest digest of the note's content
     * @param history name of the record that contains the note
     */
    record NoteRecord(long revision, String digest, String history) implements StoreRecord {
        /** Rejects null components. */
        public NoteRecord {
            requireNonNull(digest);
            requireNonNull(history);
        }
    }

    /**
     * The members and their epoch.
     *
     * <p>An id may be listed more than once, with different incarnations; all but one of them are
     * dead.
     *
     * @param epoch number of changes to the record, from 1
     * @param members the members, sorted by id
     */
    record MembershipRecord(long epoch, List<Member> members) implements StoreRecord {
        /** The record before the first member. */
        public static final MembershipRecord EMPTY = new MembershipRecord(0, List.of());

        /** Makes a defensive copy of the list. */
        public MembershipRecord {
            members = List.copyOf(members);
        }
    }

    /**
     * The pool that a host serves.
     *
     * @param host the host
     * @param pool the pool; empty if the host is withdrawn
     * @param declaredPool the pool in which the host was declared when the record was written;
     *     differs from {@code pool} while the host is lent
     * @param generation number of changes to the record, from 1
     */
    record HostRecord(String host, String pool, String declaredPool, long generation)
            implements StoreRecord {
        /** Rejects null components. */
        public HostRecord {
            requireNonNull(host);
            requireNonNull(pool);
            requireNonNull(declaredPool);
        }

        /** Returns whether the host serves another pool than the one in which it is declared. */
        public boolean isLent() {
            return !pool.isEmpty() && !pool.equals(declaredPool);
        }
    }

    /**
     * The hosts of a pool that are out of service, and the progress of a wave in the pool.
     *
     * @param pool the pool
     * @param wave id of the newest wave that has reached the pool; empty if none
     * @param rebooted the pool's hosts that were rebooted in that wave
     * @param outages the outages by host
     */
    record OutageRecord(
            String pool, String wave, SortedSet<String> rebooted, SortedMap<String, Outage> outages)
            implements StoreRecord {
        /** Rejects null components and makes defensive copies of the collections. */
        public OutageRecord {
            requireNonNull(pool);
            requireNonNull(wave);
            rebooted = Collections.unmodifiableSortedSet(new TreeSet<>(rebooted));
            outages = Collections.unmodifiableSortedMap(new TreeMap<>(outages));
        }

        /** Returns the record of a pool no host of which was ever out of service. */
        public static OutageRecord empty(String pool) {
            return new OutageRecord(pool, "", new TreeSet<>(), new TreeMap<>());
        }

        /** Returns a copy with an outage added or replaced. */
        public OutageRecord withOutage(String host, Outage outage) {
            SortedMap<String, Outage> next = new TreeMap<>(outages);
            next.put(host, outage);
            return new OutageRecord(pool, wave, rebooted, next);
        }

        /** Returns a copy in which a host is back in service. */
        public OutageRecord withoutOutage(String host) {
            SortedMap<String, Outage> next = new TreeMap<>(outages);
            next.remove(host);
            return new OutageRecord(pool, wave, rebooted, next);
        }

        /**
         * Returns a copy in which a host was rebooted in a wave and is back in service. Hosts that
         * were rebooted in an earlier wave are dropped.
         */
        public OutageRecord withRebooted(String waveId, String host) {
            SortedSet<String> next =
                    wave.equals(waveId) ? new TreeSet<>(rebooted) : new TreeSet<>();
            next.add(host);
            return new OutageRecord(pool, waveId, next, outages).withoutOutage(host);
        }
    }

    /**
     * A maintenance wave. Its progress is in the {@link OutageRecord}s of the pools.
     *
     * @param id unique among waves
     * @param state whether the wave is planned, running, paused or done
     * @param detail reason for the state, for operators
     * @param hosts the hosts to reboot, each once
     */
    record WaveRecord(String id, WaveState state, String detail, SortedSet<String> hosts)
            implements StoreRecord {
        /** Rejects null components and makes a defensive copy of the set. */
        public WaveRecord {
            requireNonNull(id);
            requireNonNull(state);
            requireNonNull(detail);
            hosts = Collections.unmodifiableSortedSet(new TreeSet<>(hosts));
        }

        /** Returns a copy in another state. */
        public WaveRecord withState(WaveState next, String why) {
            return new WaveRecord(id, next, why, hosts);
        }
    }
}
