package org.hibiscususher.core.scheduler.message;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hibiscususher.core.job.JobAddress;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;

/** A record that the scheduler keeps in the store. */
public sealed interface StoredRecord {
    /** Returns the record's name. */
    RecordName name();

    /**
     * The entry that is the owner of the scheduling.
     *
     * @param node name of the entry
     * @param incarnation start time of its process, in milliseconds since the epoch
     * @param address IP number and port at which it accepts forwarded requests
     */
    record Owner(String node, long incarnation, String address) implements StoredRecord {
        /** Rejects null components. */
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
     * The newest term of the ownership.
     *
     * @param generation number of the term; each new owner raises it by one
     * @param node name of the owner's entry
     * @param incarnation start time of the owner's process, in milliseconds since the epoch
     * @param released whether the owner has released the ownership, so that it sends no more orders
     * @param address IP number and port at which the owner accepts forwarded requests
     * @param unsettled once released, what the next owner can't learn from the store: tasks, by
     *     their text, that may be running or whose outcome is not stored, and jobs, by id, for
     *     which that holds for any task. The next owner may start all others at once.
     */
    record Term(
            long generation,
            String node,
            long incarnation,
            boolean released,
            String address,
            List<String> unsettled)
            implements StoredRecord {
        /** Rejects null components and copies the list. */
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
     * @param id job id
     * @param policy policy of its queue at that time
     * @param address where the caller submitted it
     * @param team name of its team; empty if the caller sent no known API key
     * @param spec what the caller submitted
     * @param acceptedMs when it arrived, in milliseconds since the epoch
     */
    record Job(
            String id,
            JobPolicy policy,
            JobAddress address,
            String team,
            JobSpec spec,
            long acceptedMs)
            implements StoredRecord {
        /** Rejects null components. */
        public Job {
            requireNonNull(id);
            requireNonNull(policy);
            requireNonNull(address);
            requireNonNull(team);
            requireNonNull(spec);
        }

        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.JOB, id);
        }
    }

    /**
     * The progress of a job.
     *
     * @param id job id
     * @param state state of the job
     * @param steps done tasks of each activated step
     * @param tasks state of the tasks that are not done but have failed or saved their state
     */
    record Progress(String id, JobState state, List<StepProgress> steps, List<TaskProgress> tasks)
            implements StoredRecord {
        /** Rejects null components and copies the lists. */
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
     * The cancellation of a job that no submission had named before. While it is stored, no job
     * with the id is accepted.
     *
     * @param job id of the job
     */
    record Cancellation(String job) implements StoredRecord {
        /** Rejects null. */
        public Cancellation {
            requireNonNull(job);
        }

        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.CANCELLATION, job);
        }
    }

    /**
     * The executors on which runs may be in progress. An executor is named here before the first
     * run is started on it, so that a new owner knows where runs may be.
     *
     * @param executors executors of all pools
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
     * The hosts of a wave whose maintenance has started.
     *
     * @param wave number of the wave
     * @param startedHosts ids of these hosts and of those that the platform can't maintain
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
     * The hosts that the owner may have ordered recently. A host is named here before its first
     * order is sent, so that a new owner can wait before it orders the host as well.
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
     * The status of a wave, for operators.
     *
     * @param wave number of the wave
     * @param done whether all its hosts have been maintained, but for those that can't be
     */
    record WaveStatus(long wave, boolean done) implements StoredRecord {
        @Override
        public RecordName name() {
            return RecordName.of(RecordKind.WAVE_STATUS, Long.toString(wave));
        }
    }

    /**
     * The run times that finished runs have shown. Losing it costs only what was learned.
     *
     * @param rows samples of the steps that are alike, those sampled longest ago first
     */
    record RunTimes(List<RunTimeSamples> rows) implements StoredRecord {
        /** Copies the list. */
        public RunTimes {
            rows = List.copyOf(rows);
        }

        @Override
        public RecordName name() {
            return RecordName.RUN_TIMES;
        }
    }
}
