package org.hibiscususher.standin.virtual;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.hibiscususher.core.config.Capacity;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.message.AttemptOutcome;
import org.hibiscususher.core.message.Input.AttemptEnded;
import org.hibiscususher.core.message.Input.HostListRead;
import org.hibiscususher.core.message.Input.NoteSubmitted;
import org.hibiscususher.core.message.Input.PeerConnectionRefused;
import org.hibiscususher.core.message.Input.PeerMessageReceived;
import org.hibiscususher.core.message.Input.RequestArrived;
import org.hibiscususher.core.message.Input.RequestCancelled;
import org.hibiscususher.core.message.Input.ShutdownRequested;
import org.hibiscususher.core.message.Input.TargetFinished;
import org.hibiscususher.core.message.Input.WaveCommandReceived;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.Output.ReplyToNote;
import org.hibiscususher.core.message.Output.ReplyToWave;
import org.hibiscususher.core.message.Output.SendPeerMessage;
import org.hibiscususher.core.message.Output.StartAttempt;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.note.ReleaseNote;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.wire.peer.PeerCodec;

/**
 * A site in virtual time: real control nodes, and fakes at their interfaces. Not thread-safe; two
 * sites with the same seed and the same calls do the same.
 */
public final class VirtualSite {
    private static final long START_MS = 1_000_000;
    private static final int TARGET_LATENCY_MS = 1;
    private static final int LIST_INTERVAL_MS = 1_000;

    private final VirtualClock mClock = new VirtualClock(START_MS);
    private final Random mRandom;
    private final VirtualNetwork mNetwork;
    private final VirtualStore mStore = new VirtualStore(mClock);
    private final VirtualPlatform mPlatform = new VirtualPlatform(mClock, this::target);
    private final Map<Long, ReplyToWave> mWaveAnswers = new LinkedHashMap<>();
    private final Map<String, VirtualEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, VirtualTarget> mTargets = new LinkedHashMap<>();
    private final Map<Long, VirtualRequest> mRequests = new LinkedHashMap<>();
    private final Map<Long, ReplyToNote> mNoteAnswers = new LinkedHashMap<>();
    private final Map<String, Long> mCounters = new LinkedHashMap<>();
    private final List<String> mEvents = new ArrayList<>();
    private final ControlSettings mSettings;
    private Consumer<VirtualEntry> mBeforeTick = entry -> {};
    private Runnable mAfterStep = () -> {};
    private boolean mMeasuresBytes;
    private long mIds;

    private VirtualSite(long seed, ControlSettings settings) {
        mRandom = new Random(seed);
        mNetwork = new VirtualNetwork(mClock, mRandom);
        mSettings = settings;
    }

    /** Creates a site without entries. */
    public static VirtualSite create(long seed, ControlSettings settings) {
        return new VirtualSite(seed, settings);
    }

    /** Returns the virtual time in milliseconds. */
    public long nowMs() {
        return mClock.nowMs();
    }

    /** Returns the tasks to come. */
    public VirtualClock clock() {
        return mClock;
    }

    /** Returns the site's one source of chance. */
    public Random random() {
        return mRandom;
    }

    /** Returns the links between entries. */
    public VirtualNetwork network() {
        return mNetwork;
    }

    /** Returns the platform's store. */
    public VirtualStore store() {
        return mStore;
    }

    /** Returns the entries by id, ended ones included until they are started again. */
    public Map<String, VirtualEntry> entries() {
        return mEntries;
    }

    /** Returns the requests by id, in order of arrival. */
    public Map<Long, VirtualRequest> requests() {
        return mRequests;
    }

    /** Returns the answers to release notes by call. */
    public Map<Long, ReplyToNote> noteReplies() {
        return mNoteAnswers;
    }

    /** Returns the counters of all entries, added up. */
    public Map<String, Long> counters() {
        return mCounters;
    }

    /** Returns the events that the entries have logged, each as {@code time entry event}. */
    public List<String> events() {
        return mEvents;
    }

    /** Returns a target, made when it is first asked for. */
    public VirtualTarget target(String host) {
        return mTargets.computeIfAbsent(host, VirtualTarget::new);
    }

    /** Returns the platform's power over target hosts. */
    public VirtualPlatform platform() {
        return mPlatform;
    }

    /** Shows every entry the platform's list once a second, as it was some time before. */
    public void startHostListUpdates(int lagMs) {
        List<PlatformHost> hosts = new ArrayList<>(mPlatform.hosts());
        for (VirtualEntry entry : mEntries.values()) {
            if (entry.processState() != ProcessState.DEAD) {
                String bootId = Long.toString(entry.identity().incarnation());
                hosts.add(new PlatformHost(entry.id(), false, bootId));
            }
        }
        mClock.after(lagMs, () -> publishHosts(hosts));
        mClock.after(LIST_INTERVAL_MS, () -> startHostListUpdates(lagMs));
    }

    /** Hands an operator's command about the maintenance wave to an entry; returns the call. */
    public long sendWaveCommand(String entry, WaveCommand command, List<String> pools) {
        long callId = ++mIds;
        mEntries.get(entry).receive(new WaveCommandReceived(callId, command, pools));
        return callId;
    }

    /** Returns the answers about the maintenance wave by call. */
    public Map<Long, ReplyToWave> waveReplies() {
        return mWaveAnswers;
    }

    /** Returns the targets by host. */
    public Map<String, VirtualTarget> targets() {
        return mTargets;
    }

    /** Sets what is done to an entry before each of its ticks; tests break entries by it. */
    public void setBeforeTick(Consumer<VirtualEntry> action) {
        mBeforeTick = action;
    }

    /** Sets what is done after each virtual millisecond; tests check their invariants by it. */
    public void setAfterStep(Runnable action) {
        mAfterStep = action;
    }

    /** Sets whether messages between entries are encoded to count their bytes. */
    public void setCountsMessageBytes(boolean measures) {
        mMeasuresBytes = measures;
    }

    /** Starts an entry, or starts one again that has ended. */
    public VirtualEntry start(String id, String zone) {
        NodeIdentity identity = new NodeIdentity(id, nowMs(), id + ":1", zone);
        VirtualEntry entry = new VirtualEntry(identity, mSettings, nowMs());
        mEntries.put(id, entry);
        mStore.watch(id, entry::receive);
        return entry;
    }

    /** Ends an entry at once, without a word. */
    public void kill(String id) {
        mEntries.get(id).setProcessState(ProcessState.DEAD);
        mStore.unwatch(id);
        for (VirtualRequest request : mRequests.values()) {
            if (request.entry().equals(id) && !request.isFinished()) {
                request.cancel(nowMs());
            }
        }
    }

    /** Stops an entry's process for a while; what reaches it waits. */
    public void pause(String id) {
        mEntries.get(id).setProcessState(ProcessState.PAUSED);
    }

    /** Lets a paused entry go on. */
    public void resume(String id) {
        mEntries.get(id).setProcessState(ProcessState.RUNNING);
    }

    /** Asks an entry to finish its work and leave. */
    public void shutDown(String id) {
        mEntries.get(id).receive(new ShutdownRequested());
    }

    /** Gives every running entry the platform's list of hosts. */
    public void publishHosts(List<PlatformHost> hosts) {
        mEntries.values().forEach(e -> e.receive(new HostListRead(hosts)));
    }

    /** Hands a release note to an entry and returns the id of the call. */
    public long submitNote(String entry, ReleaseNote note) {
        long callId = ++mIds;
        mEntries.get(entry).receive(new NoteSubmitted(callId, note, nowMs()));
        return callId;
    }

    /** Hands a request to an entry, as a caller of a team whose secret is its own name. */
    public VirtualRequest sendRequest(String entry, String queue, String team, int runMs) {
        return sendRequest(entry, queue, team, runMs, true, "");
    }

    /** Hands a request to an entry, with what decides whether it may run again. */
    public VirtualRequest sendRequest(
            String entry,
            String queue,
            String team,
            int runMs,
            boolean idempotent,
            String idempotencyKey) {
        RequestArrived arrival =
                new RequestArrived(
                        ++mIds,
                        queue,
                        Optional.of(KeyDigest.ofSecret(team)),
                        idempotent,
                        idempotencyKey,
                        0,
                        Capacity.NONE);
        VirtualRequest request = new VirtualRequest(entry, arrival, team, runMs, nowMs());
        mRequests.put(arrival.requestId(), request);
        if (mEntries.get(entry).processState() == ProcessState.DEAD) {
            request.cancel(nowMs());
        } else {
            mEntries.get(entry).receive(arrival);
        }
        return request;
    }

    /** Lets the caller of a request go away. */
    public void cancel(VirtualRequest request) {
        if (request.isFinished()) {
            return;
        }
        request.cancel(nowMs());
        VirtualEntry entry = mEntries.get(request.entry());
        long id = request.arrival().requestId();
        Optional<RequestRow> running =
                entry.world().requests().find(id).filter(r -> r.state() == RequestState.RUNNING);
        entry.receive(
                running.isEmpty()
                        ? new RequestCancelled(id)
                        : new AttemptEnded(
                                id, running.get().attempt(), AttemptOutcome.CALLER_GONE));
    }

    /** Lets virtual time pass; every entry ticks when it has inputs or a tick is due. */
    public void run(long ms) {
        long end = nowMs() + ms;
        while (nowMs() < end) {
            mClock.advance();
            for (VirtualEntry entry : List.copyOf(mEntries.values())) {
                mBeforeTick.accept(entry);
                entry.tickIfDue(nowMs()).forEach(o -> carryOut(entry, o));
            }
            mAfterStep.run();
        }
    }

    private void carryOut(VirtualEntry entry, Output output) {
        if (output instanceof Output.ReadRecord read) {
            entry.recordStoreCall();
            mStore.read(entry.id(), read, entry::receive);
        } else if (output instanceof Output.SwapRecord swap) {
            entry.recordStoreCall();
            mStore.swap(entry.id(), swap, entry::receive);
        } else if (output instanceof SendPeerMessage send) {
            sendPeer(entry, send);
        } else if (output instanceof StartAttempt start) {
            startAttempt(entry, start);
        } else if (output instanceof Output.RefuseRequest refuse) {
            VirtualRequest request = mRequests.get(refuse.requestId());
            if (!request.isFinished()) {
                request.refuse(refuse.refusal(), nowMs());
            }
        } else if (output instanceof Output.ReadFleetRecords read) {
            mStore.readFleet(entry.id(), read, entry::receive);
        } else if (output instanceof Output.RebootHost reboot) {
            mPlatform.reboot(reboot, entry::receive);
        } else if (output instanceof ReplyToWave answer) {
            mWaveAnswers.put(answer.callId(), answer);
        } else if (output instanceof ReplyToNote answer) {
            mNoteAnswers.put(answer.callId(), answer);
        } else if (output instanceof Output.Count count) {
            mCounters.merge(count.counter(), 1L, Long::sum);
        } else if (output instanceof Output.LogEvent log) {
            mEvents.add(nowMs() - START_MS + " " + entry.id() + " " + log.event());
        } else if (output instanceof Output.ShutdownDone) {
            entry.setProcessState(ProcessState.DEAD);
            mStore.unwatch(entry.id());
        }
    }

    private void sendPeer(VirtualEntry from, SendPeerMessage send) {
        if (mMeasuresBytes) {
            from.recordSentMessage(PeerCodec.encode(send.message()).length);
        }
        mNetwork.send(
                from.id(),
                send.memberId(),
                () -> {
                    VirtualEntry to = mEntries.get(send.memberId());
                    if (to == null || to.processState() == ProcessState.DEAD) {
                        from.receive(
                                new PeerConnectionRefused(
                                        send.memberId(), send.message().toIncarnation()));
                    } else {
                        to.receive(new PeerMessageReceived(send.message()));
                    }
                });
    }

    private void startAttempt(VirtualEntry entry, StartAttempt start) {
        VirtualTarget target = target(start.host());
        VirtualRequest request = mRequests.get(start.requestId());
        if (request.isCancelled()) {
            entry.receive(
                    new AttemptEnded(start.requestId(), start.attempt(), AttemptOutcome.CANCELLED));
            return;
        }
        VirtualTarget.RunKey key =
                new VirtualTarget.RunKey(entry.id(), start.requestId(), start.attempt());
        mClock.after(
                TARGET_LATENCY_MS,
                () -> {
                    TargetFault fault = target.fault();
                    if (!fault.runsRequests()) {
                        entry.receive(
                                new AttemptEnded(
                                        start.requestId(), start.attempt(), fault.outcome()));
                        return;
                    }
                    request.recordRun(nowMs());
                    target.startRun(key, request.team(), nowMs());
                    long durationMs = Math.max(1, (long) (request.runMs() * fault.runTimeFactor()));
                    mClock.after(durationMs, () -> target.endRun(key));
                    long answerMs = durationMs + TARGET_LATENCY_MS;
                    if (answerMs > start.runLimitMs()) {
                        mClock.after(start.runLimitMs(), () -> timeOut(entry, request, start));
                        mClock.after(
                                Math.min(answerMs, start.longestRunMs()),
                                () -> finishAbandoned(entry, start));
                    } else {
                        mClock.after(
                                answerMs, () -> deliver(entry, request, start, fault.outcome()));
                    }
                });
    }

    private void timeOut(VirtualEntry entry, VirtualRequest request, StartAttempt start) {
        if (entry.processState() != ProcessState.DEAD && !request.isCancelled()) {
            entry.receive(
                    new AttemptEnded(start.requestId(), start.attempt(), AttemptOutcome.TIMED_OUT));
        }
    }

    private void finishAbandoned(VirtualEntry entry, StartAttempt start) {
        if (entry.processState() != ProcessState.DEAD) {
            entry.receive(new TargetFinished(start.requestId(), start.attempt()));
        }
    }

    private void deliver(
            VirtualEntry entry,
            VirtualRequest request,
            StartAttempt start,
            AttemptOutcome outcome) {
        if (entry.processState() == ProcessState.DEAD) {
            return;
        }
        if (request.isCancelled()) {
            entry.receive(new TargetFinished(start.requestId(), start.attempt()));
            return;
        }
        if (!request.isFinished() && outcome.hasResponse()) {
            request.answer(nowMs());
        } else if (!request.isFinished() && outcome == AttemptOutcome.TRUNCATED) {
            request.truncate(nowMs());
        }
        entry.receive(new AttemptEnded(start.requestId(), start.attempt(), outcome));
    }
}
