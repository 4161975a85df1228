package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ShutdownRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StoreReachabilityChanged;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveOrdered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/**
 * Deterministic simulation of a site in virtual time: entries that run the production scheduler,
 * with a simulated store, executors, hosts and callers. Faults are injected by its methods, and
 * {@link #invariants} records violations. A run depends only on the seed and on the calls of the
 * test.
 */
public final class SchedulerSite {
    /** Name of the only pool. */
    public static final String POOL = "pool";

    private static final long LINK_LATENCY_MS = 1;

    /** Interval at which the platform sends the list of executors during a wave. */
    private static final long REPORT_INTERVAL_MS = 1_500;

    private final VirtualClock mClock = new VirtualClock();
    private final Random mRandom;
    private final InvariantChecker mInvariants = new InvariantChecker();
    private final VirtualKeyValueStore mStore;
    private final Map<String, VirtualNode> mNodes = new LinkedHashMap<>();
    private final VirtualExecutors mExecutors;
    private final VirtualCallers mCallers;
    private final VirtualLinks mLinks;
    private final VirtualWave mWave;
    private final VirtualZones mZones;
    private final List<String> mLogLines = new ArrayList<>();
    private final VirtualConfiguration mConfiguration;

    /** Time that the owner needs for each submission, in milliseconds. */
    private long mDecisionMs;

    private SchedulerSite(int nodes, int executors, Resources teamLimit, long seed) {
        mRandom = new Random(seed);
        mCallers = new VirtualCallers(this, mRandom);
        mLinks = new VirtualLinks(mClock, mCallers, mNodes);
        mExecutors = new VirtualExecutors(mClock, mRandom, mInvariants);
        mStore = new VirtualKeyValueStore(mClock, mRandom);
        mConfiguration = new VirtualConfiguration(teamLimit);
        mInvariants.setTeamLimit(VirtualCallers.TEAM, teamLimit);
        mExecutors.addInitial(executors);
        mWave = new VirtualWave(this, mRandom);
        for (int i = 0; i < nodes; i++) {
            mNodes.put("n" + i, new VirtualNode(this, "n" + i));
        }
        mStore.onChange(this::notifyNodes);
        mZones = new VirtualZones(mClock, mInvariants, this::notifyNodes);
        mNodes.values().forEach(VirtualNode::start);
    }

    /**
     * Creates a site and starts its entries.
     *
     * @param nodes number of entries
     * @param executors number of executors, each on its own host
     * @param seed seed of everything random in the site
     */
    public static SchedulerSite create(int nodes, int executors, long seed) {
        return new SchedulerSite(nodes, executors, Resources.of(1_000_000, 0, 0), seed);
    }

    /**
     * Creates a site with a limit for its team, and starts its entries.
     *
     * @param nodes number of entries
     * @param executors number of executors, each on its own host
     * @param teamLimit resources that the team's running tasks may demand in total
     * @param seed seed of everything random in the site
     */
    public static SchedulerSite createWithTeamLimit(
            int nodes, int executors, Resources teamLimit, long seed) {
        return new SchedulerSite(nodes, executors, teamLimit, seed);
    }

    VirtualClock clock() {
        return mClock;
    }

    VirtualKeyValueStore store() {
        return mStore;
    }

    VirtualExecutor executor(String id) {
        return mExecutors.get(id);
    }

    List<WaveOrder> waves() {
        return mWave.orders();
    }

    Optional<VirtualHosts> hosts() {
        return mWave.hosts();
    }

    /**
     * Starts a maintenance wave over the hosts of all executors.
     *
     * @param maxHosts greatest number of hosts out of service at once
     */
    public void startWave(int maxHosts) {
        WaveOrder wave = mWave.start(maxHosts);
        mNodes.values().stream()
                .filter(VirtualNode::isUp)
                .forEach(node -> node.receive(new WaveOrdered(wave)));
        reportPeriodically();
    }

    /** Sends the list of executors now and at each interval, whether it changed or not. */
    private void reportPeriodically() {
        mNodes.values().forEach(VirtualNode::executorsChanged);
        mClock.after(REPORT_INTERVAL_MS, this::reportPeriodically);
    }

    /**
     * Returns whether the maintenance of each host of the wave has started and the stored status of
     * the wave reports it as done.
     */
    public boolean isWaveDone() {
        return mWave.isDone();
    }

    /**
     * Drops responses to maintenance orders for a time; the orders still take effect.
     *
     * @param share probability that a response is dropped, 0 to 1
     */
    public void dropHostOrderResponses(double share, long forMs) {
        mWave.dropOrderResponses(share, forMs);
    }

    /**
     * Kills an executor for good. The platform continues to list it for a while.
     *
     * @return the last report of the executor
     */
    ExecutorReport endExecutor(String id) {
        return mExecutors.end(id, this::reportExecutors);
    }

    /**
     * Starts an executor with a new id in place of an ended one.
     *
     * @param ended last report of the ended executor
     * @return id of the new executor
     */
    String addExecutor(ExecutorReport ended) {
        String id = mExecutors.replace(ended);
        reportExecutors();
        return id;
    }

    private void reportExecutors() {
        mNodes.values().forEach(VirtualNode::executorsChanged);
    }

    List<String> nodes() {
        return List.copyOf(mNodes.keySet());
    }

    /** Returns the platform's list of executors. */
    List<ExecutorReport> reports() {
        return mExecutors.reports();
    }

    /**
     * Replaces the queue by one with another name and the same host and prefix. Entries learn that
     * from the store.
     */
    public void replaceQueue() {
        mConfiguration.replaceQueue();
        notifyNodes();
    }

    /** Tells the entries that something in the store has changed. */
    private void notifyNodes() {
        mNodes.values().forEach(node -> mClock.after(LINK_LATENCY_MS, node::storeChanged));
    }

    /** Adds a team without a limit, of which entries learn from the store. */
    void addTeam(String name) {
        mConfiguration.addTeam(name);
        mNodes.values().forEach(node -> mClock.after(LINK_LATENCY_MS, node::storeChanged));
    }

    /** Makes the owner need a time for each submission, in milliseconds. */
    void setDecisionMs(long decisionMs) {
        mDecisionMs = decisionMs;
    }

    /** Returns the time that the owner needs for each submission, in milliseconds. */
    long decisionMs() {
        return mDecisionMs;
    }

    /** Returns the callers. */
    VirtualCallers callers() {
        return mCallers;
    }

    /** Returns the operators' requests to evacuate zones. */
    public VirtualZones zones() {
        return mZones;
    }

    /** Returns the configuration in force. */
    JobConfiguration configuration() {
        return mConfiguration.current();
    }

    StepSpec step(TaskKey task) {
        return mCallers.spec(task.jobId()).steps().get(task.stepKey().step());
    }

    /**
     * Returns the checker of the invariants, which records all that callers and executors observe.
     */
    public InvariantChecker invariants() {
        return mInvariants;
    }

    void log(String node, SchedulerOutput.Log event) {
        mLogLines.add(
                "ms="
                        + mClock.nowMs()
                        + " node="
                        + node
                        + " event="
                        + event.event()
                        + " "
                        + event.line());
    }

    /** Returns the structured log lines of all entries, in order of time. */
    public List<String> logLines() {
        return List.copyOf(mLogLines);
    }

    /** Advances virtual time by a number of milliseconds. */
    public void run(long ms) {
        mClock.runUntil(mClock.nowMs() + ms);
    }

    /** Schedules an action after a delay in milliseconds. */
    public void schedule(long delayMs, Runnable action) {
        mClock.after(delayMs, action);
    }

    /** Returns the name of the first entry that believes that it owns the scheduling, or empty. */
    public Optional<String> owner() {
        return mNodes.values().stream()
                .filter(VirtualNode::isOwner)
                .map(VirtualNode::name)
                .findFirst();
    }

    /** Returns the number of entries that believe that they own the scheduling. */
    public long ownerCount() {
        return mNodes.values().stream().filter(VirtualNode::isOwner).count();
    }

    /**
     * Kills an entry's process without notice and starts a new one later.
     *
     * @param downMs time until the new process starts, in milliseconds
     */
    public void kill(String node, long downMs) {
        mNodes.get(node).kill();
        mClock.after(downMs, () -> mNodes.get(node).start());
    }

    /**
     * Kills the processes of all entries without notice and starts new ones later.
     *
     * @param downMs time until the new processes start, in milliseconds
     */
    public void killAll(long downMs) {
        mNodes.keySet().forEach(node -> kill(node, downMs));
    }

    /** Suspends an entry's process for a time; its inputs accumulate. */
    public void freeze(String node, long forMs) {
        mNodes.get(node).freeze(forMs);
    }

    /** Pauses an entry's process for a time in which its steady clock runs on. */
    public void pause(String node, long forMs) {
        mNodes.get(node).pause(forMs);
    }

    /** Cuts an entry off from all other entries for a time; callers and the rest reach it. */
    public void isolate(String node, long forMs) {
        mLinks.isolate(node, true);
        mClock.after(forMs, () -> mLinks.isolate(node, false));
    }

    /**
     * Requests an orderly shutdown of an entry, then kills its process and starts a new one.
     *
     * @param downMs time until the process is killed, in milliseconds
     */
    public void shutDown(String node, long downMs) {
        mNodes.get(node).receive(new ShutdownRequested());
        mClock.after(downMs, () -> kill(node, 1));
    }

    /** Makes the store unreachable to all entries for a time. */
    public void storeDown(long forMs) {
        mStore.setDown(true);
        mClock.after(
                forMs,
                () -> {
                    mStore.setDown(false);
                    mNodes.values().forEach(VirtualNode::storeChanged);
                });
    }

    /** Makes the store answer slowly for a time. */
    public void slowStore(long roundTripMs, long forMs) {
        mStore.setRoundTrip(roundTripMs);
        mClock.after(forMs, () -> mStore.setRoundTrip(0));
    }

    /** Makes the store unreachable to one entry for a time. */
    public void cutOffFromStore(String node, long forMs) {
        mStore.cutOff(node, true);
        mNodes.get(node).receive(new StoreReachabilityChanged(false));
        mClock.after(
                forMs,
                () -> {
                    mStore.cutOff(node, false);
                    mNodes.get(node).receive(new StoreReachabilityChanged(true));
                    mNodes.get(node).storeChanged();
                });
    }

    /**
     * Drops responses to commits for a time.
     *
     * @param share probability that the response to a commit is dropped, 0 to 1
     * @param delayed whether these commits also take effect only after their callers see them fail
     */
    public void dropCommitResponses(double share, boolean delayed, long forMs) {
        mStore.dropCommitResponses(share, delayed);
        mClock.after(forMs, () -> mStore.dropCommitResponses(0, false));
    }

    /** Makes an executor unreachable for a time; its runs continue while its lease is valid. */
    public void silenceExecutor(String executor, long forMs) {
        cutExecutor(executor, LinkState.SILENT, forMs);
    }

    /** Cuts the links between an executor and all entries for a time. */
    void cutExecutor(String executor, LinkState state, long forMs) {
        mExecutors.get(executor).setLinkState(state);
        mClock.after(forMs, () -> mExecutors.get(executor).setLinkState(LinkState.OPEN));
    }

    /** Suspends an executor's process for a time. */
    void suspendExecutor(String executor, long forMs) {
        mExecutors.get(executor).suspend(forMs);
    }

    /** Sets the speed of an executor's clock, in thousandths of that of virtual time. */
    public void setClockRate(String executor, long thousandths) {
        mExecutors.get(executor).setClockRate(thousandths);
    }

    /** Kills an executor and starts a new incarnation of it. */
    public void restartExecutor(String executor) {
        restartExecutor(executor, LINK_LATENCY_MS);
    }

    /**
     * Kills an executor and starts a new incarnation of it.
     *
     * @param reportDelayMs time until entries read the report of the new incarnation, in
     *     milliseconds
     */
    public void restartExecutor(String executor, long reportDelayMs) {
        mExecutors.get(executor).restart();
        mNodes.values().forEach(node -> mClock.after(reportDelayMs, node::executorsChanged));
    }

    /**
     * Makes executors apply orders seconds late and without a response for a time.
     *
     * @param share probability that an order is delayed, 0 to 1
     */
    public void delayOrders(double share, long forMs) {
        mExecutors.all().forEach(x -> x.setDelayedOrderShare(share));
        mClock.after(forMs, () -> mExecutors.all().forEach(x -> x.setDelayedOrderShare(0)));
    }

    /** Makes all runs that an executor starts within a time fail. */
    public void failAllRuns(String executor, long forMs) {
        mExecutors.get(executor).setFailsAllRuns(true);
        mClock.after(forMs, () -> mExecutors.get(executor).setFailsAllRuns(false));
    }

    /** Makes an executor unreachable to one entry for a time. */
    public void cutLink(String node, String executor, long forMs) {
        mExecutors.get(executor).setLinkState(node, LinkState.SILENT);
        mClock.after(forMs, () -> mExecutors.get(executor).setLinkState(node, LinkState.OPEN));
    }

    /**
     * Submits a job, and repeats the submission until it is accepted or the tries are used up.
     *
     * @return id of the job
     */
    public String submit(JobSpec spec) {
        return mCallers.submit(spec);
    }

    /** Cancels a job, and repeats that until the job is cancelled or reported unknown. */
    public void cancel(String id) {
        mCallers.cancel(id);
    }

    /**
     * Submits a job with one request, whatever the response.
     *
     * @return id of the job
     */
    public String submitOnce(JobSpec spec) {
        return mCallers.submit(spec, 1);
    }

    /**
     * Cancels a job with one request, whatever the response. A job that is reported unknown must
     * not run any more.
     */
    public void cancelOnce(String id) {
        mCallers.cancelOnce(id, kind -> {});
    }

    /**
     * Submits a job to an entry, which reads it after the caller has given up, and cancels it then
     * at any entry. It must not run after that was confirmed.
     *
     * @return id of the job
     */
    public String submitAndWithdraw(String node, JobSpec spec) {
        return mCallers.submitAndWithdraw(mNodes.get(node), spec);
    }

    /**
     * Queries the state of a job and advances virtual time by 200 ms to receive it. Meant for a
     * site without faults: without a response in that time, the result is {@link JobState#QUEUED}.
     */
    public JobState stateOf(String id) {
        List<JobState> states = new ArrayList<>();
        mCallers.query(id, state -> state.ifPresent(states::add));
        run(200);
        return states.isEmpty() ? JobState.QUEUED : states.get(states.size() - 1);
    }

    /** Returns the links between the entries. */
    VirtualLinks links() {
        return mLinks;
    }

    void deliverResponse(long callId, JobResponse response) {
        mCallers.deliverResponse(callId, response);
    }

    /** Returns the entries whose processes have not ended. */
    List<VirtualNode> runningNodes() {
        return mNodes.values().stream().filter(VirtualNode::isUp).toList();
    }

    /** Returns the number of tasks that the owner has; -1 if there is no owner. */
    public int taskCount() {
        return mNodes.values().stream()
                .filter(VirtualNode::isOwner)
                .map(n -> n.world().tasks().size())
                .findFirst()
                .orElse(-1);
    }

    /** Returns the number of runs that the owner has; 0 if there is no owner. */
    public int runCount() {
        return owner().map(name -> mNodes.get(name).world().runs().size()).orElse(0);
    }

    /** Returns the number of runs that the owner has on an executor; 0 if there is no owner. */
    public int runCountOn(String executor) {
        return owner().map(name -> mNodes.get(name).world().runs().group(executor).size())
                .orElse(0);
    }
}
