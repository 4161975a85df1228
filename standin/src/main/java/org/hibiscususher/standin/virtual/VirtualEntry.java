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

/**
 * Simulated process of an entry: the production {@link ControlNode}, and the inputs that wait for
 * its next tick.
 */
public final class VirtualEntry {
    private static final long TICK_INTERVAL_MS = 10;
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

    /** Returns the id of the entry within the membership. */
    public String id() {
        return mIdentity.id();
    }

    /** Returns the identity of the process, which includes its incarnation. */
    public NodeIdentity identity() {
        return mIdentity;
    }

    /** Returns the node's tables. Callers only read them, and only between ticks. */
    public World world() {
        return mNode.world();
    }

    /** Returns the state of the process. */
    public ProcessState processState() {
        return mProcessState;
    }

    /** Returns the number of ticks run. */
    public long ticks() {
        return mTicks;
    }

    /** Returns the CPU time used by the ticks, in nanoseconds. */
    public long tickNs() {
        return mTickNs;
    }

    /**
     * Returns the total size of the messages sent to peers, in bytes; 0 unless the site counts it.
     */
    public long sentBytes() {
        return mSentBytes;
    }

    /** Returns the number of messages sent to peers; 0 unless the site counts their bytes. */
    public long sentMessages() {
        return mSentMessages;
    }

    /** Returns the number of reads and writes of single records sent to the store. */
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

    /** Queues an input for the next tick, unless the process has ended. */
    void receive(Input input) {
        if (mProcessState.acceptsInput()) {
            mInputs.add(input);
        }
    }

    /**
     * Runs a tick if the process runs and has inputs or has not ticked for {@link
     * #TICK_INTERVAL_MS}.
     *
     * @return the tick's outputs; empty if no tick was due
     */
    List<Output> tickIfDue(long nowMs) {
        boolean due = !mInputs.isEmpty() || nowMs - mLastTickMs >= TICK_INTERVAL_MS;
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
        if (outputs.contains(new Output.Count(ControlNode.SYSTEM_FAILED))) {
            throw new IllegalStateException("a system failed: " + outputs);
        }
        return outputs;
    }
}
