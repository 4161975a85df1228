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

/**
 * Simulated callers of a site. They submit, cancel and query jobs through random entries, repeat
 * calls that fail, and record the responses with the invariant checker.
 */
final class VirtualCallers {
    static final String HOST = "site.example";
    static final String PREFIX = "/queue/";
    static final String KEY = "secret";
    static final String TEAM = "team";

    /** Number of failed runs of a task at which its job fails. */
    static final int MAX_FAILURES = 3;

    private static final long LINK_LATENCY_MS = 1;
    private static final long RETRY_DELAY_MS = 300;

    /** Time after which a caller stops waiting for the response to a call. */
    private static final long TIMEOUT_MS = 3_000;

    private static final int MAX_SUBMISSIONS = 60;

    private final SchedulerSite mSite;
    private final VirtualClock mClock;
    private final InvariantChecker mInvariants;
    private final Random mRandom;
    private final Map<String, JobSpec> mSpecs = new HashMap<>();
    private final Map<Long, Consumer<JobResponse>> mPendingCalls = new HashMap<>();
    private long mNextCallId = 1;
    private int mLastJobNumber;

    VirtualCallers(SchedulerSite site, Random random) {
        mSite = site;
        mClock = site.clock();
        mInvariants = site.invariants();
        mRandom = random;
    }

    /** Returns the specification of a submitted job. */
    JobSpec spec(String job) {
        return mSpecs.get(job);
    }

    /**
     * Registers a call.
     *
     * @param sink gets the response; it is called at most once
     * @return id of the call
     */
    long registerCall(Consumer<JobResponse> sink) {
        long id = mNextCallId++;
        mPendingCalls.put(id, sink);
        return id;
    }

    /** Drops a call, whose response is then ignored; returns whether it was pending. */
    boolean abandonCall(long callId) {
        return mPendingCalls.remove(callId) != null;
    }

    /** Delivers the response to a pending call; ignores responses to other calls. */
    void deliverResponse(long callId, JobResponse response) {
        Consumer<JobResponse> sink = mPendingCalls.remove(callId);
        if (sink != null) {
            mClock.after(LINK_LATENCY_MS, () -> sink.accept(response));
        }
    }

    /**
     * Submits a job, and repeats the submission until it is accepted or the tries are used up.
     *
     * @return id of the job
     */
    String submit(JobSpec spec) {
        return submit(spec, MAX_SUBMISSIONS);
    }

    /**
     * Submits a job, and repeats the submission until it is accepted or the tries are used up.
     *
     * @param maxTries number of tries
     * @return id of the job
     */
    String submit(JobSpec spec, int maxTries) {
        String id = newJob(spec);
        trySubmit(id, spec, maxTries);
        return id;
    }

    /**
     * Submits a job with one request to an entry, and cancels it at any entry as soon as the
     * request has timed out.
     *
     * @return id of the job
     */
    String submitAndWithdraw(VirtualNode node, JobSpec spec) {
        String id = newJob(spec);
        mInvariants.recordRequest(id);
        callAt(
                node,
                submission(id, spec),
                response -> {
                    mInvariants.recordResponse(id, response.kind(), mClock.nowMs());
                    cancel(id);
                });
        return id;
    }

    /**
     * Submits a job of a team with one request to a random running entry.
     *
     * @param sink gets the response
     * @return id of the job
     */
    String submitOnce(String team, JobSpec spec, Consumer<JobResponse> sink) {
        String id = newJob(team, spec);
        mInvariants.recordRequest(id);
        call(
                submission(id, keyOf(team), spec),
                response -> {
                    mInvariants.recordResponse(id, response.kind(), mClock.nowMs());
                    sink.accept(response);
                });
        return id;
    }

    /** Returns the API key of a team. */
    static String keyOf(String team) {
        return team.equals(TEAM) ? KEY : KEY + "-" + team;
    }

    private String newJob(JobSpec spec) {
        return newJob(TEAM, spec);
    }

    private String newJob(String team, JobSpec spec) {
        String id = String.format("%016x", ++mLastJobNumber);
        mSpecs.put(id, spec);
        mInvariants.recordSubmission(id, spec, team, MAX_FAILURES);
        return id;
    }

    private static JobRequest submission(String id, JobSpec spec) {
        return submission(id, KEY, spec);
    }

    private static JobRequest submission(String id, String key, JobSpec spec) {
        return JobRequest.of(JobRequestKind.SUBMIT, HOST, PREFIX + id, key, Optional.of(spec));
    }

    private void trySubmit(String id, JobSpec spec, int triesLeft) {
        mInvariants.recordRequest(id);
        call(
                submission(id, spec),
                response -> {
                    mInvariants.recordResponse(id, response.kind(), mClock.nowMs());
                    if (response.kind() != JobResponseKind.ACCEPTED && triesLeft > 1) {
                        mClock.after(RETRY_DELAY_MS, () -> trySubmit(id, spec, triesLeft - 1));
                    }
                });
    }

    /** Cancels a job, and repeats that until the job is cancelled or reported unknown. */
    void cancel(String id) {
        cancelOnce(
                id,
                kind -> {
                    if (!endsCancellation(kind)) {
                        mClock.after(RETRY_DELAY_MS, () -> cancel(id));
                    }
                });
    }

    private static boolean endsCancellation(JobResponseKind kind) {
        return kind == JobResponseKind.CANCELLED || kind == JobResponseKind.NO_JOB;
    }

    /**
     * Cancels a job with one request.
     *
     * @param result gets the kind of the response
     */
    void cancelOnce(String id, Consumer<JobResponseKind> result) {
        call(
                JobRequest.of(JobRequestKind.CANCEL, HOST, PREFIX + id, KEY, Optional.empty()),
                response -> {
                    if (response.kind() == JobResponseKind.NO_JOB) {
                        mInvariants.checkUnknownJob(id, mClock.nowMs());
                    }
                    if (endsCancellation(response.kind())) {
                        mInvariants.recordCancellation(id, mClock.nowMs());
                    }
                    result.accept(response.kind());
                });
    }

    /**
     * Queries a job's state once.
     *
     * @param result gets the state; it is not called if the response contains none
     */
    void query(String id, Consumer<Optional<JobState>> result) {
        call(
                JobRequest.of(JobRequestKind.QUERY, HOST, PREFIX + id, KEY, Optional.empty()),
                response -> {
                    if (response.kind() == JobResponseKind.STATE) {
                        mInvariants.checkReportedState(id, response.state(), mClock.nowMs());
                        result.accept(Optional.of(response.state()));
                    } else if (response.kind() == JobResponseKind.NO_JOB) {
                        mInvariants.checkUnknownJob(id, mClock.nowMs());
                    }
                });
    }

    /**
     * Sends a request to a random running entry.
     *
     * @param sink gets the response, or {@link JobResponseKind#UNKNOWN} after the timeout or if no
     *     entry runs
     */
    private void call(JobRequest request, Consumer<JobResponse> sink) {
        List<VirtualNode> running = mSite.runningNodes();
        if (running.isEmpty()) {
            mClock.after(
                    RETRY_DELAY_MS, () -> sink.accept(JobResponse.of(JobResponseKind.UNKNOWN)));
            return;
        }
        callAt(running.get(mRandom.nextInt(running.size())), request, sink);
    }

    /** Sends a request to an entry. The entry may read it later than the caller waits for it. */
    private void callAt(VirtualNode node, JobRequest request, Consumer<JobResponse> sink) {
        boolean[] completed = {false};
        Consumer<JobResponse> firstResponse =
                response -> {
                    if (!completed[0]) {
                        completed[0] = true;
                        sink.accept(response);
                    }
                };
        long id = registerCall(firstResponse);
        mClock.after(
                TIMEOUT_MS, () -> firstResponse.accept(JobResponse.of(JobResponseKind.UNKNOWN)));
        node.receiveRequest(id, request);
    }
}
