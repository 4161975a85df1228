package org.hibiscususher.standin.scheduler;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;

/** The callers of a site: they hand jobs in, cancel them and ask for them, and try again. */
final class VirtualCallers {
    static final String HOST = "site.example";
    static final String PREFIX = "/queue/";
    static final String KEY = "secret";
    static final String TEAM = "team";
    static final int ATTEMPTS = 3;

    private static final long LINK_MS = 1;
    private static final long RETRY_MS = 300;
    private static final long TIMEOUT_MS = 3_000;
    private static final int MAX_TRIES = 60;

    private final SchedulerSite mSite;
    private final VirtualClock mClock;
    private final InvariantChecker mInvariants;
    private final Random mRandom;
    private final Map<String, JobSpec> mSpecs = new HashMap<>();
    private final Map<Long, Consumer<JobResponse>> mCalls = new HashMap<>();
    private long mNextCall = 1;
    private int mNextJob;

    VirtualCallers(SchedulerSite site, Random random) {
        mSite = site;
        mClock = site.clock();
        mInvariants = site.invariants();
        mRandom = random;
    }

    /** Returns what was handed in as a job. */
    JobSpec spec(String job) {
        return mSpecs.get(job);
    }

    /** Returns the id of a new call; {@code sink} gets its answer. */
    long registerCall(Consumer<JobResponse> sink) {
        long id = mNextCall++;
        mCalls.put(id, sink);
        return id;
    }

    /** Takes in the answer to a call. */
    void deliverResponse(long callId, JobResponse answer) {
        Consumer<JobResponse> sink = mCalls.remove(callId);
        if (sink != null) {
            mClock.after(LINK_MS, () -> sink.accept(answer));
        }
    }

    /** Hands a job in, again and again until it is accepted; returns its id. */
    String submit(JobSpec spec) {
        String id = String.format("%016x", ++mNextJob);
        mSpecs.put(id, spec);
        mInvariants.recordSubmission(id, spec, TEAM, ATTEMPTS);
        trySubmit(id, spec, 1);
        return id;
    }

    private void trySubmit(String id, JobSpec spec, int attempt) {
        call(
                JobRequest.of(JobRequestKind.SUBMIT, HOST, PREFIX + id, KEY, Optional.of(spec)),
                answer -> {
                    mInvariants.recordResponse(id, answer.kind());
                    if (answer.kind() != JobResponseKind.ACCEPTED && attempt < MAX_TRIES) {
                        mClock.after(RETRY_MS, () -> trySubmit(id, spec, attempt + 1));
                    }
                });
    }

    /** Cancels a job, again and again until that is answered. */
    void cancel(String id) {
        call(
                JobRequest.of(JobRequestKind.CANCEL, HOST, PREFIX + id, KEY, Optional.empty()),
                answer -> {
                    if (answer.kind() == JobResponseKind.CANCELLED) {
                        mInvariants.recordCancellation(id, mClock.nowMs());
                    } else if (answer.kind() != JobResponseKind.NO_JOB) {
                        mClock.after(RETRY_MS, () -> cancel(id));
                    }
                });
    }

    /** Asks for a job's state; {@code result} gets it unless nobody can tell. */
    void query(String id, Consumer<Optional<JobState>> result) {
        call(
                JobRequest.of(JobRequestKind.QUERY, HOST, PREFIX + id, KEY, Optional.empty()),
                answer -> {
                    if (answer.kind() == JobResponseKind.STATE) {
                        mInvariants.checkReportedState(id, answer.state(), mClock.nowMs());
                        result.accept(Optional.of(answer.state()));
                    } else if (answer.kind() == JobResponseKind.NO_JOB) {
                        mInvariants.checkUnknownJob(id, mClock.nowMs());
                    }
                });
    }

    private void call(JobRequest call, Consumer<JobResponse> sink) {
        List<VirtualNode> up = mSite.runningNodes();
        if (up.isEmpty()) {
            mClock.after(RETRY_MS, () -> sink.accept(JobResponse.of(JobResponseKind.UNKNOWN)));
            return;
        }
        VirtualNode node = up.get(mRandom.nextInt(up.size()));
        boolean[] answered = {false};
        Consumer<JobResponse> once =
                answer -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        sink.accept(answer);
                    }
                };
        long id = registerCall(once);
        mClock.after(TIMEOUT_MS, () -> once.accept(JobResponse.of(JobResponseKind.UNKNOWN)));
        node.receive(new RequestReceived(id, call));
    }
}
