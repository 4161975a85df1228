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
 * Deterministic simulation of a site in virtual time: production control nodes, connected to a
 * simulated network, store, platform, targets and callers. Two sites with the same seed and the
 * same calls behave identically, so that a failure found with a seed can be reproduced. Not
 * thread-safe.
 */
public final class VirtualSite {
    private static final long START_MS = 1_000_000;
    private static final int TARGET_LATENCY_MS = 1;
    private static final int HOST_LIST_INTERVAL_MS = 1_000;

    private final VirtualClock mClock = new VirtualClock(START_MS);
    private final Random mRandom;
    private final VirtualNetwork mNetwork;
    private final VirtualStore mStore = new VirtualStore(mClock);
    private final VirtualPlatform mPlatform = new VirtualPlatform(mClock, this::target);
    private final Map<Long, ReplyToWave> mWaveReplies = new LinkedHashMap<>();
    private final Map<String, VirtualEntry> mEntries = new LinkedHashMap<>();
    private final Map<String, VirtualTarget> mTargets = new LinkedHashMap<>();
    private final Map<Long, VirtualRequest> mRequests = new LinkedHashMap<>();
    private final Map<Long, ReplyToNote> mNoteReplies = new LinkedHashMap<>();
    private final Map<String, Long> mCounters = new LinkedHashMap<>();
    private final List<String> mEvents = new ArrayList<>();
    private final ControlSettings mSettings;
    private Consumer<VirtualEntry> mBeforeTick = entry -> {};
    private Runnable mAfterMillisecond = () -> {};
    private boolean mCountsMessageBytes;

    /** Last id given to a request or to an operator's call. */
    private long mLastId;

    private VirtualSite(long seed, ControlSettings settings) {
        mRandom = new Random(seed);
        mNetwork = new VirtualNetwork(mClock, mRandom);
        mSettings = settings;
    }

    /**
     * Creates a site without entries.
     *
     * @param seed seed of everything random in the site
     * @param settings control settings of all entries
     */
    public static VirtualSite create(long seed, ControlSettings settings) {
        return new VirtualSite(seed, settings);
    }

    /** Returns the virtual time in milliseconds. */
    public long nowMs() {
        return mClock.nowMs();
    }

    /** Returns the clock, by which tests schedule actions. */
    public VirtualClock clock() {
        return mClock;
    }

    /** Returns the only source of randomness; a second one would make runs irreproducible. */
    public Random random() {
        return mRandom;
    }

    /** Returns the links between entries. */
    public VirtualNetwork network() {
        return mNetwork;
    }

    /** Returns the simulated store. */
    public VirtualStore store() {
        return mStore;
    }

    /** Returns the latest process of each entry, running or ended, by entry id. */
    public Map<String, VirtualEntry> entries() {
        return mEntries;
    }

    /** Returns all requests sent so far, by id and in order of arrival. */
    public Map<Long, VirtualRequest> requests() {
        return mRequests;
    }

    /** Returns the replies to release notes, by call id. */
    public Map<Long, ReplyToNote> noteReplies() {
        return mNoteReplies;
    }

    /** Returns the sums of each counter over all entries. */
    public Map<String, Long> counters() {
        return mCounters;
    }

    /**
     * Returns the events that the entries have logged, each as {@code time entry event}. The time
     * is in milliseconds since the start of the site.
     */
    public List<String> events() {
        return mEvents;
    }

    /** Returns the target of a host, creating it if there is none. */
    public VirtualTarget target(String host) {
        return mTargets.computeIfAbsent(host, VirtualTarget::new);
    }

    /** Returns the simulated platform. */
    public VirtualPlatform platform() {
        return mPlatform;
    }

    /**
     * Sends the platform's list of hosts to every entry once a second from now on.
     *
     * @param lagMs age of each list when it arrives, in milliseconds
     */
    public void startHostListUpdates(int lagMs) {
        List<PlatformHost> hosts = new ArrayList<>(mPlatform.hosts());
        for (VirtualEntry entry : mEntries.values()) {
            if (entry.processState() != ProcessState.DEAD) {
                String bootId = Long.toString(entry.identity().incarnation());
                hosts.add(new PlatformHost(entry.id(), false, bootId));
            }
        }
        mClock.after(lagMs, () -> publishHosts(hosts));
        mClock.after(HOST_LIST_INTERVAL_MS, () -> startHostListUpdates(lagMs));
    }

    /**
     * Sends an operator's command about the maintenance wave to an entry.
     *
     * @param pools pools whose hosts the command concerns
     * @return id of the call, the key of its reply in {@link #waveReplies}
     */
    public long sendWaveCommand(String entry, WaveCommand command, List<String> pools) {
        long callId = ++mLastId;
        mEntries.get(entry).receive(new WaveCommandReceived(callId, command, pools));
        return callId;
    }

    /** Returns the replies to commands about the maintenance wave, by call id. */
    public Map<Long, ReplyToWave> waveReplies() {
        return mWaveReplies;
    }

    /** Returns the targets by host name. */
    public Map<String, VirtualTarget> targets() {
        return mTargets;
    }

    /**
     * Sets an action that runs for each entry once every virtual millisecond, before the entry may
     * tick. Tests corrupt an entry's tables with it.
     */
    public void setBeforeTick(Consumer<VirtualEntry> action) {
        mBeforeTick = action;
    }

    /** Sets an action that runs after each virtual millisecond. Tests check invariants with it. */
    public void setAfterStep(Runnable action) {
        mAfterMillisecond = action;
    }

    /** Sets whether messages between entries are encoded and their bytes counted. */
    public void setCountsMessageBytes(boolean counts) {
        mCountsMessageBytes = counts;
    }

    /** Starts a process of an entry, in place of the entry's former process if there was one. */
    public VirtualEntry start(String id, String zone) {
        NodeIdentity identity = new NodeIdentity(id, nowMs(), id + ":1", zone);
        VirtualEntry entry = new VirtualEntry(identity, mSettings, nowMs());
        mEntries.put(id, entry);
        mStore.watch(id, entry::receive);
        return entry;
    }

    /** Ends an entry's process without notice, which disconnects the callers that wait at it. */
    public void kill(String id) {
        mEntries.get(id).setProcessState(ProcessState.DEAD);
        mStore.unwatch(id);
        for (VirtualRequest request : mRequests.values()) {
            if (request.entry().equals(id) && !request.isFinished()) {
                request.recordCancellation(nowMs());
            }
        }
    }

    /** Suspends an entry's process; its inputs accumulate until {@link #resume}. */
    public void pause(String id) {
        mEntries.get(id).setProcessState(ProcessState.PAUSED);
    }

    /** Resumes an entry's suspended process. */
    public void resume(String id) {
        mEntries.get(id).setProcessState(ProcessState.RUNNING);
    }

    /** Requests an orderly shutdown: the entry finishes its work and leaves the membership. */
    public void shutDown(String id) {
        mEntries.get(id).receive(new ShutdownRequested());
    }

    /** Sends a list of the platform's hosts to every entry whose process has not ended. */
    public void publishHosts(List<PlatformHost> hosts) {
        mEntries.values().forEach(entry -> entry.receive(new HostListRead(hosts)));
    }

    /**
     * Submits a release note to an entry.
     *
     * @return id of the call, the key of its reply in {@link #noteReplies}
     */
    public long submitNote(String entry, ReleaseNote note) {
        long callId = ++mLastId;
        mEntries.get(entry).receive(new NoteSubmitted(callId, note, nowMs()));
        return callId;
    }

    /**
     * Sends a request that is idempotent and has no idempotency key to an entry. The secret of a
     * team is the team's name.
     *
     * @param runMs run time on a target without a fault, in milliseconds
     */
    public VirtualRequest sendRequest(String entry, String queue, String team, int runMs) {
        return sendRequest(entry, queue, team, runMs, true, "");
    }

    /**
     * Sends a request to an entry. The secret of a team is the team's name.
     *
     * @param runMs run time on a target without a fault, in milliseconds
     * @param idempotent whether the request may run again after an attempt with unknown outcome
     * @param idempotencyKey key by which duplicates of the request are detected; empty for none
     */
    public VirtualRequest sendRequest(
            String entry,
            String queue,
            String team,
            int runMs,
            boolean idempotent,
            String idempotencyKey) {
        RequestArrived arrival =
                new RequestArrived(
                        ++mLastId,
                        queue,
                        Optional.of(KeyDigest.ofSecret(team)),
                        idempotent,
                        idempotencyKey,
                        0,
                        Capacity.NONE);
        VirtualRequest request = new VirtualRequest(entry, arrival, team, runMs, nowMs());
        mRequests.put(arrival.requestId(), request);
        if (mEntries.get(entry).processState() == ProcessState.DEAD) {
            request.recordCancellation(nowMs());
        } else {
            mEntries.get(entry).receive(arrival);
        }
        return request;
    }

    /** Disconnects the caller of a request, unless it no longer waits. */
    public void cancel(VirtualRequest request) {
        if (request.isFinished()) {
            return;
        }
        request.recordCancellation(nowMs());
        VirtualEntry entry = mEntries.get(request.entry());
        long id = request.arrival().requestId();
        Optional<RequestRow> runningRow =
                entry.world()
                        .requests()
                        .find(id)
                        .filter(row -> row.state() == RequestState.RUNNING);
        entry.receive(
                runningRow.isEmpty()
                        ? new RequestCancelled(id)
                        : new AttemptEnded(
                                id, runningRow.get().attempt(), AttemptOutcome.CALLER_GONE));
    }

    /**
     * Advances virtual time in steps of a millisecond. In each step, the actions that are due run,
     * and then each entry ticks if it has inputs or a tick is due.
     *
     * @param ms how far to advance, in milliseconds
     */
    public void run(long ms) {
        long endMs = nowMs() + ms;
        while (nowMs() < endMs) {
            mClock.advance();
            for (VirtualEntry entry : List.copyOf(mEntries.values())) {
                mBeforeTick.accept(entry);
                entry.tickIfDue(nowMs()).forEach(output -> execute(entry, output));
            }
            mAfterMillisecond.run();
        }
    }

    /** Executes an output of an entry's tick. */
    private void execute(VirtualEntry entry, Output output) {
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
                request.recordRefusal(refuse.refusal(), nowMs());
            }
        } else if (output instanceof Output.ReadFleetRecords read) {
            mStore.readFleet(entry.id(), read, entry::receive);
        } else if (output instanceof Output.RebootHost reboot) {
            mPlatform.reboot(reboot, entry::receive);
        } else if (output instanceof ReplyToWave reply) {
            mWaveReplies.put(reply.callId(), reply);
        } else if (output instanceof ReplyToNote reply) {
            mNoteReplies.put(reply.callId(), reply);
        } else if (output instanceof Output.Count count) {
            mCounters.merge(count.counter(), 1L, Long::sum);
        } else if (output instanceof Output.LogEvent log) {
            mEvents.add(nowMs() - START_MS + " " + entry.id() + " " + log.event());
        } else if (output instanceof Output.ShutdownDone) {
            entry.setProcessState(ProcessState.DEAD);
            mStore.unwatch(entry.id());
        }
    }

    /** Sends a message to a peer. A sender whose peer has no process gets a refused connection. */
    private void sendPeer(VirtualEntry from, SendPeerMessage send) {
        if (mCountsMessageBytes) {
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

    /**
     * Runs a request on a target. If the response is later than the run limit, the entry sees a
     * timeout at the limit, and later the end of the run that it abandoned.
     */
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
                    long responseMs = durationMs + TARGET_LATENCY_MS;
                    if (responseMs > start.runLimitMs()) {
                        mClock.after(start.runLimitMs(), () -> timeOut(entry, request, start));
                        mClock.after(
                                Math.min(responseMs, start.longestRunMs()),
                                () -> finishAbandoned(entry, start));
                    } else {
                        mClock.after(
                                responseMs, () -> deliver(entry, request, start, fault.outcome()));
                    }
                });
    }

    /** Reports that an attempt has exceeded its run limit. */
    private void timeOut(VirtualEntry entry, VirtualRequest request, StartAttempt start) {
        if (entry.processState() != ProcessState.DEAD && !request.isCancelled()) {
            entry.receive(
                    new AttemptEnded(start.requestId(), start.attempt(), AttemptOutcome.TIMED_OUT));
        }
    }

    /** Reports that the run of an attempt that had timed out has ended, or counts as ended. */
    private void finishAbandoned(VirtualEntry entry, StartAttempt start) {
        if (entry.processState() != ProcessState.DEAD) {
            entry.receive(new TargetFinished(start.requestId(), start.attempt()));
        }
    }

    /** Delivers the outcome of an attempt to the entry and, if it has a response, to the caller. */
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
            request.recordResponse(nowMs());
        } else if (!request.isFinished() && outcome == AttemptOutcome.TRUNCATED) {
            request.recordTruncation(nowMs());
        }
        entry.receive(new AttemptEnded(start.requestId(), start.attempt(), outcome));
    }
}
