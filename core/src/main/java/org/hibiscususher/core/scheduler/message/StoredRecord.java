package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;

/** A record that the scheduler keeps in the store. */
public sealed interface StoredRecord {
    /** Returns the record's name. */
    RecordName name();

    /**
     * The entry that owns the scheduling.
     *
     * @param node the entry
     * @param incarnation start of its process, in milliseconds since the epoch
     * @param address where it takes forwarded requests
     */
    record Owner(String node, long incarnation, String address) implements StoredRecord {
        /** Checks the parts. */
        public Owner {
            requireNonNull(node);
            requireNonNull(address);
        }

        @Override
        public RecordName name() {
            return RecordName.OWNER;
        }
    }

    /**
     * The term of the newest owner.
     *
     * @param generation how often the ownership was taken
     * @param node the owner
     * @param incarnation start of its process, in milliseconds since the epoch
     * @param released whether the owner gave the ownership up itself
     * @param address where the owner took forwarded requests
     * @param unsettled once released: tasks that may run or have ended without the store holding
     *     it, by their text, and jobs of which this holds for any task, by their id
     */
    record Term(
            long generation,
            String node,
            long incarnation,
            boolean released,
            String address,
            List<String> unsettled)
            implements StoredRecord {
        /** Checks the parts. */
        public Term {
            unsettled = List.copyOf(unsettled);
            requireNonNull(address);
            requireNonNull(node);
        }

        @Override
        public RecordName name() {
            return RecordName.TERM;
        }
    }

    /**
     * A job as it was accepted.
     *
     * @param id id
     * @param policy terms
     * @param team its team; empty if it came without a key
     * @param spec what was handed in
     * @param acceptedMs milliseconds since the epoch
     */
    record Job(String id, JobPolicy policy, String team, JobSpec spec, long acceptedMs)
            implements StoredRecord {
        /** Checks the parts. */
        public Job {
            requireNonNull(id);
            requireNonNull(policy);
            requireNonNull(team);
            requireNonNull(spec);
        }

        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.JOB, id);
        }
    }

    /**
     * How far a job has come.
     *
     * @param id the job
     * @param state its state
     * @param steps done tasks
     * @param tasks what else is remembered of tasks
     */
    record Progress(String id, JobState state, List<StepProgress> steps, List<TaskProgress> tasks)
            implements StoredRecord {
        /** Copies the lists. */
        public Progress {
            requireNonNull(id);
            requireNonNull(state);
            steps = List.copyOf(steps);
            tasks = List.copyOf(tasks);
        }

        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.PROGRESS, id);
        }
    }

    /**
     * The executors that may run tasks.
     *
     * @param executors executors
     */
    record Executors(List<UsedExecutor> executors) implements StoredRecord {
        /** Copies the list. */
        public Executors {
            executors = List.copyOf(executors);
        }

        @Override
        public RecordName name() {
            return RecordName.EXECUTORS;
        }
    }

    /**
     * The hosts of a wave whose maintenance has begun.
     *
     * @param wave number of the wave
     * @param startedHosts host ids
     */
    record Wave(long wave, List<String> startedHosts) implements StoredRecord {
        /** Copies the list. */
        public Wave {
            startedHosts = List.copyOf(startedHosts);
        }

        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.WAVE, Long.toString(wave));
        }
    }

    /**
     * The hosts for which the owner may have given orders of late. It names a host before the first
     * order goes out.
     *
     * @param hosts host ids
     */
    record HostOrders(List<String> hosts) implements StoredRecord {
        /** Copies the list. */
        public HostOrders {
            hosts = List.copyOf(hosts);
        }

        @Override
        public RecordName name() {
            return RecordName.HOST_ORDERS;
        }
    }

    /**
     * What operators are told of a wave.
     *
     * @param wave number of the wave
     * @param done whether every host of it has begun its maintenance
     */
    record WaveStatus(long wave, boolean done) implements StoredRecord {
        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.WAVE_STATUS, Long.toString(wave));
        }
    }
}
