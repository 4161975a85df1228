package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscususher.core.job.JobConfiguration;
import org.hibiscususher.core.job.JobPolicy;
import org.hibiscususher.core.job.JobPool;
import org.hibiscususher.core.job.JobQueue;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobSpec;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.JobTeam;
import org.hibiscususher.core.job.Resources;
import org.hibiscususher.core.job.StepSpec;
import org.hibiscususher.core.job.TaskKey;
import org.hibiscususher.core.scheduler.message.ExecutorReport;
import org.hibiscususher.core.scheduler.message.RecordKind;
import org.hibiscususher.core.scheduler.message.RecordName;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HandoverOffered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PredecessorRelinquished;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RelinquishRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ShutdownRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.StoreReachabilityChanged;
import org.hibiscususher.core.scheduler.message.SchedulerInput.WaveOrdered;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;
import org.hibiscususher.core.scheduler.message.StoredRecord;
import org.hibiscususher.core.scheduler.message.WaveOrder;

/** A site in virtual time: entries that run the real scheduler, a store, executors and callers. */
public final class SchedulerSite {
    /** Name of the queue's pool. */
    public static final String POOL = "pool";

    private static final long LINK_MS = 1;
    private static final long WAVE_MS = 60_000;
    private static final long REPORT_MS = 1_500;
    private static final long REPORT_LINGERS_MS = 3_500;
    static final Resources CAPACITY = Resources.of(8_000, 16_000, 0);

    private final VirtualClock mClock = new VirtualClock();
    private final Random mRandom;
    private final InvariantChecker mInvariants = new InvariantChecker();
    private final VirtualKeyValueStore mKv;
    private final Map<String, VirtualNode> mNodes = new LinkedHashMap<>();
    private final Map<String, VirtualExecutor> mExecutors = new LinkedHashMap<>();
    private final VirtualCallers mCallers;
    private final List<String> mLog = new ArrayList<>();
    private final Resources mLimit;
    private final Set<String> mEnded = new HashSet<>();
    private Optional<VirtualHosts> mHosts = Optional.empty();
    private List<WaveOrder> mWaves = List.of();

    private SchedulerSite(int nodes, int executors, Resources limit, long seed) {
        mRandom = new Random(seed);
        mCallers = new VirtualCallers(this, mRandom);
        mKv = new VirtualKeyValueStore(mClock, mRandom);
        mLimit = limit;
        mInvariants.setTeamLimit(VirtualCallers.TEAM, limit);
        for (int i = 0; i < executors; i++) {
            String id = "x" + i;
            ExecutorReport report =
                    new ExecutorReport(
                            id,
                            POOL,
                            id + ":1",
                            "zone",
                            "h" + i,
                            List.of("a", "r" + i / 2),
                            CAPACITY,
                            false,
                            0,
                            1);
            mExecutors.put(id, new VirtualExecutor(mClock, mRandom, mInvariants, report));
        }
        for (int i = 0; i < nodes; i++) {
            mNodes.put("n" + i, new VirtualNode(this, "n" + i));
        }
        mKv.onChange(() -> mNodes.values().forEach(n -> mClock.after(LINK_MS, n::storeChanged)));
        mNodes.values().forEach(VirtualNode::start);
    }

    /**
     * Creates a site and starts its entries.
     *
     * @param nodes entries
     * @param executors executors
     * @param seed of all that is random
     */
    public static SchedulerSite create(int nodes, int executors, long seed) {
        return new SchedulerSite(nodes, executors, Resources.of(1_000_000, 0, 0), seed);
    }

    /** Creates a site whose team may have only so much running. */
    public static SchedulerSite createWithTeamLimit(
            int nodes, int executors, Resources limit, long seed) {
        return new SchedulerSite(nodes, executors, limit, seed);
    }

    VirtualClock clock() {
        return mClock;
    }

    VirtualKeyValueStore store() {
        return mKv;
    }

    VirtualExecutor executor(String id) {
        return mExecutors.get(id);
    }

    List<WaveOrder> waves() {
        return mWaves;
    }

    Optional<VirtualHosts> hosts() {
        return mHosts;
    }

    /** Has the operators order the maintenance of all hosts, with at most {@code cap} away. */
    public void startWave(int cap) {
        List<String> ids = reports().stream().map(ExecutorReport::host).toList();
        WaveOrder wave = new WaveOrder(1, ids, WAVE_MS, cap);
        mHosts = Optional.of(new VirtualHosts(this, mRandom, wave));
        mWaves = List.of(wave);
        mNodes.values().stream()
                .filter(VirtualNode::isUp)
                .forEach(n -> n.receive(new WaveOrdered(wave)));
        reportPeriodically();
    }

    /** Has the executors report as often as they do on the platform, changed or not. */
    private void reportPeriodically() {
        mNodes.values().forEach(VirtualNode::executorsChanged);
        mClock.after(REPORT_MS, this::reportPeriodically);
    }

    /** Returns whether each host of the wave has been maintained, and operators are told so. */
    public boolean isWaveDone() {
        StoredRecord status = mKv.find(RecordName.of(RecordKind.WAVE_STATUS, "1")).orElse(null);
        return mHosts.filter(VirtualHosts::allMaintained).isPresent()
                && status instanceof StoredRecord.WaveStatus told
                && told.done();
    }

    /** Loses a share of the answers to orders for hosts for a time. */
    public void dropHostOrderResponses(double share, long forMs) {
        mHosts.ifPresent(hosts -> hosts.dropResponses(share));
        mClock.after(forMs, () -> mHosts.ifPresent(hosts -> hosts.dropResponses(0)));
    }

    /** Ends an executor for good; its report lingers for a while. */
    ExecutorReport endExecutor(String id) {
        mExecutors.get(id).end();
        mClock.after(
                REPORT_LINGERS_MS,
                () -> {
                    mEnded.add(id);
                    mNodes.values().forEach(VirtualNode::executorsChanged);
                });
        return mExecutors.get(id).report();
    }

    /** Begins an executor in place of one that has ended; returns its id. */
    String addExecutor(ExecutorReport ended) {
        String id = ended.id() + "n";
        ExecutorReport report =
                new ExecutorReport(
                        id,
                        ended.pool(),
                        id + ":1",
                        ended.zone(),
                        ended.host(),
                        ended.labels(),
                        ended.capacity(),
                        false,
                        0,
                        mClock.nowMs());
        mExecutors.put(id, new VirtualExecutor(mClock, mRandom, mInvariants, report));
        mNodes.values().forEach(VirtualNode::executorsChanged);
        return id;
    }

    List<String> nodes() {
        return List.copyOf(mNodes.keySet());
    }

    List<ExecutorReport> reports() {
        return mExecutors.values().stream()
                .map(VirtualExecutor::report)
                .filter(report -> !mEnded.contains(report.id()))
                .toList();
    }

    JobConfiguration configuration() {
        JobPolicy terms = new JobPolicy("queue", POOL, 0, VirtualCallers.ATTEMPTS, 2, 500, false);
        return new JobConfiguration(
                1,
                List.of(new JobQueue(VirtualCallers.HOST, VirtualCallers.PREFIX, false, terms)),
                List.of(new JobPool(POOL, true, false)),
                List.of(new JobTeam(VirtualCallers.TEAM, 1, mLimit, Set.of(VirtualCallers.KEY))));
    }

    StepSpec step(TaskKey task) {
        return mCallers.spec(task.jobId()).steps().get(task.stepKey().step());
    }

    /** Returns what callers and executors saw. */
    public InvariantChecker invariants() {
        return mInvariants;
    }

    void log(String node, SchedulerOutput.Log line) {
        mLog.add(
                "ms="
                        + mClock.nowMs()
                        + " node="
                        + node
                        + " event="
                        + line.event()
                        + " "
                        + line.line());
    }

    /** Returns the lines that all entries have written, in order. */
    public List<String> logLines() {
        return List.copyOf(mLog);
    }

    /** Lets time pass. */
    public void run(long ms) {
        mClock.runUntil(mClock.nowMs() + ms);
    }

    /** Does something later. */
    public void schedule(long delayMs, Runnable task) {
        mClock.after(delayMs, task);
    }

    /** Returns the entry that owns the scheduling, if there is one. */
    public Optional<String> owner() {
        return mNodes.values().stream()
                .filter(VirtualNode::isOwner)
                .map(VirtualNode::name)
                .findFirst();
    }

    /** Returns the number of entries that believe to own the scheduling. */
    public long ownerCount() {
        return mNodes.values().stream().filter(VirtualNode::isOwner).count();
    }

    /** Ends an entry at once and starts it again later. */
    public void kill(String node, long downMs) {
        mNodes.get(node).kill();
        mClock.after(downMs, () -> mNodes.get(node).start());
    }

    /** Ends all entries at once and starts them again later. */
    public void killAll(long downMs) {
        mNodes.keySet().forEach(node -> kill(node, downMs));
    }

    /** Stops an entry from running for a time. */
    public void freeze(String node, long forMs) {
        mNodes.get(node).freeze(forMs);
    }

    /** Asks an entry to stop in good order; it starts again later. */
    public void shutDown(String node, long downMs) {
        mNodes.get(node).receive(new ShutdownRequested());
        mClock.after(downMs, () -> kill(node, 1));
    }

    /** Takes the store away from everybody for a time. */
    public void storeDown(long forMs) {
        mKv.setDown(true);
        mClock.after(
                forMs,
                () -> {
                    mKv.setDown(false);
                    mNodes.values().forEach(VirtualNode::storeChanged);
                });
    }

    /** Takes the store away from one entry for a time. */
    public void cutOffFromStore(String node, long forMs) {
        mKv.cutOff(node, true);
        mNodes.get(node).receive(new StoreReachabilityChanged(false));
        mClock.after(
                forMs,
                () -> {
                    mKv.cutOff(node, false);
                    mNodes.get(node).receive(new StoreReachabilityChanged(true));
                    mNodes.get(node).storeChanged();
                });
    }

    /** Loses a share of the store's answers for a time. */
    public void dropCommitResponses(double share, boolean late, long forMs) {
        mKv.dropCommitResponses(share, late);
        mClock.after(forMs, () -> mKv.dropCommitResponses(0, false));
    }

    /** Makes an executor silent for a time; what it runs goes on. */
    public void silenceExecutor(String executor, long forMs) {
        mExecutors.get(executor).setSilent(true);
        mClock.after(forMs, () -> mExecutors.get(executor).setSilent(false));
    }

    /** Makes an executor begin another life. */
    public void restartExecutor(String executor) {
        mExecutors.get(executor).restart();
        mNodes.values().forEach(n -> mClock.after(LINK_MS, n::executorsChanged));
    }

    /** Makes executors carry out a share of orders late and without an answer. */
    public void delayOrders(double share, long forMs) {
        mExecutors.values().forEach(x -> x.setDelayedOrderShare(share));
        mClock.after(forMs, () -> mExecutors.values().forEach(x -> x.setDelayedOrderShare(0)));
    }

    /** Makes an executor fail all that it starts for a time. */
    public void failAllRuns(String executor, long forMs) {
        mExecutors.get(executor).setFailsAllRuns(true);
        mClock.after(forMs, () -> mExecutors.get(executor).setFailsAllRuns(false));
    }

    /** Cuts an entry off from an executor for a time. */
    public void cutLink(String node, String executor, long forMs) {
        mExecutors.get(executor).cutFrom(node, true);
        mClock.after(forMs, () -> mExecutors.get(executor).cutFrom(node, false));
    }

    /** Hands a job in, again and again until it is accepted; returns its id. */
    public String submit(JobSpec spec) {
        return mCallers.submit(spec);
    }

    /** Cancels a job, again and again until that is answered. */
    public void cancel(String id) {
        mCallers.cancel(id);
    }

    /** Returns the state of a job that callers are shown once all is calm. */
    public JobState stateOf(String id) {
        List<JobState> states = new ArrayList<>();
        mCallers.query(id, state -> state.ifPresent(states::add));
        run(200);
        return states.isEmpty() ? JobState.QUEUED : states.get(states.size() - 1);
    }

    void deliverResponse(long callId, JobResponse answer) {
        mCallers.deliverResponse(callId, answer);
    }

    /** Returns the entries that run. */
    List<VirtualNode> runningNodes() {
        return mNodes.values().stream().filter(VirtualNode::isUp).toList();
    }

    void forward(VirtualNode from, Forward forward) {
        VirtualNode to = mNodes.get(forward.address());
        if (!to.isUp()) {
            mClock.after(
                    LINK_MS,
                    () -> from.receive(new ForwardFailed(forward.callId(), to.name(), false)));
        } else {
            mClock.after(
                    LINK_MS,
                    () -> to.receive(new RequestReceived(forward.callId(), forward.request())));
        }
    }

    void askToRelinquish(SchedulerOutput.AskRelinquish ask, Consumer<SchedulerInput> answer) {
        VirtualNode to = mNodes.get(ask.address());
        if (to.isUp()) {
            long id =
                    mCallers.registerCall(
                            reply -> answer.accept(new PredecessorRelinquished(ask.generation())));
            mClock.after(LINK_MS, () -> to.receive(new RelinquishRequested(id, ask.generation())));
        }
    }

    void offerHandover(SchedulerOutput.OfferHandover offer) {
        VirtualNode to = mNodes.get(offer.address());
        if (to.isUp()) {
            long id = mCallers.registerCall(reply -> {});
            mClock.after(LINK_MS, () -> to.receive(new HandoverOffered(id, offer.generation())));
        }
    }

    /** Returns how many tasks wait at the owner; -1 if there is none. */
    public int taskCount() {
        return mNodes.values().stream()
                .filter(VirtualNode::isOwner)
                .map(n -> n.world().tasks().size())
                .findFirst()
                .orElse(-1);
    }

    /** Returns how many runs the owner knows of; 0 if there is no owner. */
    public int runCount() {
        return owner().map(o -> mNodes.get(o).world().runs().size()).orElse(0);
    }

    /** Returns how many runs the owner knows of on an executor; 0 if there is no owner. */
    public int runCountOn(String executor) {
        return owner().map(o -> mNodes.get(o).world().runs().group(executor).size()).orElse(0);
    }
}
