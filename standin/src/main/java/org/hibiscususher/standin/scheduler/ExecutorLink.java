package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hibiscususher.core.scheduler.message.SchedulerInput;

/**
 * Simulated network between one entry and one executor, with the connections that are open.
 *
 * <p>Connections end with the executor's incarnation. An entry that is cut off meanwhile does not
 * see that they have, and loses one call on each.
 */
final class ExecutorLink {
    private static final long LATENCY_MS = 1;

    /** Time after which an attempt to open a connection fails. */
    private static final long CONNECT_TIMEOUT_MS = 300;

    /** Time after which a call on a silent link fails. */
    private static final long SILENT_TIMEOUT_MS = 500;

    private final VirtualClock mClock;
    private LinkState mState = LinkState.OPEN;

    private final Map<CallKind, Integer> mOpen = new EnumMap<>(CallKind.class);

    /** Connections that the entry takes for open although their incarnation has ended. */
    private final Map<CallKind, Integer> mStale = new EnumMap<>(CallKind.class);

    /** Calls that occupy a connection to the current incarnation. */
    private final Set<ExecutorCall> mOnConnection = new HashSet<>();

    /** Calls that have no result yet. */
    private final Set<ExecutorCall> mAwaited = new HashSet<>();

    /** Calls that wait for a connection. */
    private final Set<ExecutorCall> mConnecting = new HashSet<>();

    /** What happens when the cut ends. */
    private final List<Runnable> mHeld = new ArrayList<>();

    ExecutorLink(VirtualClock clock) {
        mClock = clock;
    }

    boolean isOpen() {
        return mState == LinkState.OPEN;
    }

    /** Begins or ends a cut. */
    void setState(LinkState state) {
        mState = state;
        if (state == LinkState.OPEN) {
            List<Runnable> held = List.copyOf(mHeld);
            mHeld.clear();
            mStale.clear();
            held.forEach(Runnable::run);
        }
    }

    /** Ends all connections, since the executor's incarnation has ended. */
    void endConnections() {
        if (!isOpen()) {
            mOpen.forEach((kind, open) -> mStale.merge(kind, open, Integer::sum));
        }
        mOpen.clear();
        mOnConnection.clear();
    }

    void send(ExecutorCall call) {
        mAwaited.add(call);
        mState.send(this, call);
    }

    /** Hands a call over after the latency of the link. */
    void transmit(ExecutorCall call) {
        mClock.after(LATENCY_MS, () -> mState.receive(this, call));
    }

    /** Gives a call a connection, which is opened if there are fewer than the most allowed. */
    void occupyOrOpen(ExecutorCall call) {
        mOnConnection.add(call);
        int open = Math.min(call.kind().maxConnections(), occupied(call.kind()));
        mOpen.merge(call.kind(), open, Math::max);
    }

    /** Gives a call an open connection; without one, the call waits for one. */
    boolean occupy(ExecutorCall call) {
        CallKind kind = call.kind();
        if (mOpen.getOrDefault(kind, 0) > occupied(kind)) {
            mOnConnection.add(call);
            return true;
        }
        if (mStale.getOrDefault(kind, 0) > 0) {
            mStale.merge(kind, -1, Integer::sum);
            giveUpAtTimeout(call);
        } else {
            connect(call);
        }
        return false;
    }

    private int occupied(CallKind kind) {
        return (int) mOnConnection.stream().filter(call -> call.kind() == kind).count();
    }

    /** Attempts to open a connection once those of the kind are given up, or the cut ends. */
    private void connect(ExecutorCall call) {
        long nowMs = mClock.nowMs();
        long fromMs =
                mOnConnection.stream()
                        .filter(other -> other.kind() == call.kind())
                        .mapToLong(ExecutorCall::giveUpMs)
                        .filter(ms -> ms > nowMs)
                        .min()
                        .orElse(nowMs);
        mConnecting.add(call);
        mClock.after(
                fromMs + CONNECT_TIMEOUT_MS - nowMs,
                () -> {
                    if (mConnecting.remove(call)) {
                        completeIfAwaited(call, call.notSent());
                    }
                });
        mHeld.add(
                () -> {
                    if (mConnecting.remove(call)) {
                        sendConnected(call);
                    }
                });
    }

    /** Sends a call that has waited for a connection, unless it is no longer valid. */
    private void sendConnected(ExecutorCall call) {
        if (call.maySend().getAsBoolean()) {
            mAwaited.remove(call);
            ExecutorCall now = call.sentAt(mClock.nowMs());
            mAwaited.add(now);
            transmit(now);
        } else {
            completeIfAwaited(call, call.notSent());
        }
    }

    /** Carries a call out; its answer is on its way for the latency of the link. */
    void carryOut(ExecutorCall call) {
        call.execution()
                .accept(
                        answer ->
                                mClock.after(LATENCY_MS, () -> mState.answer(this, call, answer)));
    }

    /** Loses a call on a silent link. */
    void loseSilently(ExecutorCall call) {
        mClock.after(SILENT_TIMEOUT_MS, () -> completeIfAwaited(call, call.noAnswer()));
    }

    /** Lets the entry give a call up in time, and with it the connection. */
    void giveUpAtTimeout(ExecutorCall call) {
        mClock.after(
                call.giveUpMs() - mClock.nowMs(),
                () -> {
                    if (mAwaited.contains(call) && mOnConnection.contains(call)) {
                        mOpen.merge(call.kind(), -1, Integer::sum);
                    }
                    completeIfAwaited(call, call.noAnswer());
                });
    }

    /** Does something when the cut ends, unless the call is given up or its connection ends. */
    void hold(ExecutorCall call, Runnable action) {
        mHeld.add(
                () -> {
                    if (mAwaited.contains(call) && mOnConnection.contains(call)) {
                        action.run();
                    }
                });
    }

    /** Gives the entry the result of a call, unless it has one. */
    void complete(ExecutorCall call, SchedulerInput result) {
        completeIfAwaited(call, result);
    }

    private void completeIfAwaited(ExecutorCall call, SchedulerInput result) {
        mOnConnection.remove(call);
        if (mAwaited.remove(call)) {
            call.sink().accept(result);
        }
    }
}
