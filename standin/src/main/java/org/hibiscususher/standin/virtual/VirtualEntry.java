package org.hibiscususher.standin.virtual;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import org.hibiscususher.core.control.ControlNode;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.core.world.World;

/** One entry: the real control node, and the inputs that wait for its next tick. */
public final class VirtualEntry {
    private static final long TICK_MS = 10;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final NodeIdentity mIdentity;
    private final ControlNode mNode;
    private final List<Input> mInputs = new ArrayList<>();
    private ProcessState mProcessState = ProcessState.RUNNING;
    private long mLastTickMs;
    private long mTicks;
    private long mTickNs;
    private long mSentBytes;
    private long mSentMessages;
    private long mStoreCalls;

    VirtualEntry(NodeIdentity identity, ControlSettings settings, long nowMs) {
        mIdentity = identity;
        mNode = ControlNode.create(identity, settings, nowMs);
    }

    /** Returns the member id. */
    public String id() {
        return mIdentity.id();
    }

    /** Returns who the process is. */
    public NodeIdentity identity() {
        return mIdentity;
    }

    /** Returns the tables, for reading between ticks. */
    public World world() {
        return mNode.world();
    }

    /** Returns whether the process runs, is paused, or has ended. */
    public ProcessState processState() {
        return mProcessState;
    }

    /** Returns how many ticks have run. */
    public long ticks() {
        return mTicks;
    }

    /** Returns the processor time that the ticks have taken, in nanoseconds. */
    public long tickNs() {
        return mTickNs;
    }

    /** Returns how many bytes of messages to peers have been sent, if the site measures that. */
    public long sentBytes() {
        return mSentBytes;
    }

    /** Returns how many messages to peers have been sent, if the site measures that. */
    public long sentMessages() {
        return mSentMessages;
    }

    /** Returns how many calls of the store have been made. */
    public long storeCalls() {
        return mStoreCalls;
    }

    void recordSentMessage(int bytes) {
        mSentMessages++;
        mSentBytes += bytes;
    }

    void recordStoreCall() {
        mStoreCalls++;
    }

    void setProcessState(ProcessState processState) {
        mProcessState = processState;
    }

    /** Adds an input for the next tick, unless the process has ended. */
    void receive(Input input) {
        if (mProcessState.acceptsInput()) {
            mInputs.add(input);
        }
    }

    /** Runs a tick if the process runs and one is due. */
    List<Output> tickIfDue(long nowMs) {
        boolean due = !mInputs.isEmpty() || nowMs - mLastTickMs >= TICK_MS;
        if (!mProcessState.isRunning() || !due) {
            return List.of();
        }
        mLastTickMs = nowMs;
        mTicks++;
        List<Input> inputs = List.copyOf(mInputs);
        mInputs.clear();
        long startNs = THREADS.getCurrentThreadCpuTime();
        List<Output> outputs = mNode.tick(nowMs, inputs);
        mTickNs += THREADS.getCurrentThreadCpuTime() - startNs;
        return outputs;
    }
}
