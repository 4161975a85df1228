package org.hibiscususher.daemon;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.core.control.ControlNode;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Output;
import org.hibiscususher.core.message.RecordKey;
import org.hibiscususher.core.message.Refusal;
import org.hibiscususher.core.world.NodeIdentity;
import org.hibiscususher.daemon.admin.AdminServer;
import org.hibiscususher.daemon.admin.OperatorCalls;
import org.hibiscususher.daemon.control.ControlThread;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.daemon.control.MonotonicClock;
import org.hibiscususher.daemon.front.ExchangeTable;
import org.hibiscususher.daemon.front.FrontServer;
import org.hibiscususher.daemon.peer.PeerLinks;
import org.hibiscususher.daemon.settings.DaemonSettings;
import org.hibiscususher.daemon.store.EtcdStore;
import org.hibiscususher.daemon.store.StoreOutputHandler;

/** One running entry: all its parts, wired together. */
public final class Daemon implements AutoCloseable {
    private static final long TICK_MS = 10;

    private static final Logger LOG = System.getLogger(Daemon.class.getName());
    private static final long CLOSE_TIMEOUT_MS = 2_000;
    private static final long LEAVE_TIMEOUT_MS = 30_000;
    private static final long WRITE_TIMEOUT_MS = 5_000;
    private static final long POLL_MS = 20;
    private static final int MAX_EVENT_LOOPS = 4;

    private final EventLoopGroup mGroup;
    private final Inbox<Input> mInbox = new Inbox<>();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final CountDownLatch mDone = new CountDownLatch(1);
    private final ExchangeTable mExchanges;
    private final OperatorCalls mCalls;
    private final StoreOutputHandler mStore;
    private final PeerLinks mPeers;
    private final FrontServer mFront;
    private final ControlThread mControl;

    private Daemon(DaemonSettings settings) throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(eventLoops(), NioIoHandler.newFactory());
        mExchanges = ExchangeTable.create(mInbox, mMetrics);
        mCalls = OperatorCalls.create(mInbox);
        mStore = StoreOutputHandler.create(EtcdStore.create(mGroup, settings.platform()), mInbox);
        for (Refusal refusal : Refusal.values()) {
            mMetrics.counter("refusal." + refusal.code());
        }
        MonotonicClock clock = new MonotonicClock();
        long nowMs = clock.time();
        NodeIdentity identity =
                new NodeIdentity(settings.member(), nowMs, settings.peers(), settings.zone());
        mPeers = PeerLinks.listen(mGroup, settings.peers(), mInbox);
        mFront = FrontServer.listen(mGroup, settings.callers(), mExchanges);
        AdminServer.listen(mGroup, settings.operators(), mCalls, mMetrics);
        ControlNode node = ControlNode.create(identity, settings.control(), nowMs);
        mControl = ControlThread.start(node::tick, clock, mInbox, this::handle, TICK_MS);
        mStore.watch(RecordKey.HEAD);
        mStore.watch(RecordKey.MEMBERSHIP);
    }

    /** Returns how many threads carry traffic: few, so that each finds more to do at a time. */
    private static int eventLoops() {
        int processors = Runtime.getRuntime().availableProcessors();
        return Math.max(1, Math.min(MAX_EVENT_LOOPS, processors / 2));
    }

    /**
     * Starts an entry.
     *
     * @throws IOException if one of its addresses can't be bound
     */
    public static Daemon start(DaemonSettings settings) throws IOException {
        return new Daemon(settings);
    }

    private void handle(Output output) {
        if (output instanceof Output.StartAttempt start) {
            mExchanges.start(start);
        } else if (output instanceof Output.RefuseRequest refuse) {
            mExchanges.refuse(refuse);
        } else if (output instanceof Output.SendPeerMessage send) {
            mPeers.send(send);
        } else if (output instanceof Output.ReadHostList) {
            mStore.readHosts();
        } else if (output instanceof Output.ReadRecord read) {
            mStore.read(read);
        } else if (output instanceof Output.SwapRecord swap) {
            mStore.swap(swap);
        } else if (output instanceof Output.ReadFleetRecords read) {
            mStore.readFleet(read);
        } else if (output instanceof Output.RebootHost reboot) {
            mStore.reboot(reboot);
        } else if (output instanceof Output.ReplyToWave answer) {
            mCalls.complete(answer.callId(), answer);
        } else if (output instanceof Output.ReplyToNote answer) {
            mCalls.complete(answer.callId(), answer);
        } else if (output instanceof Output.ReplyToNoteCheck answer) {
            mCalls.complete(answer.callId(), answer);
        } else if (output instanceof Output.ReplyToHistory answer) {
            mCalls.complete(answer.callId(), answer);
        } else if (output instanceof Output.ReplyToExport answer) {
            mCalls.complete(answer.callId(), answer);
        } else if (output instanceof Output.ReplyToStatus answer) {
            mCalls.complete(answer.callId(), answer);
        } else if (output instanceof Output.Count count) {
            mMetrics.counter(count.counter()).inc();
        } else if (output instanceof Output.LogEvent log) {
            LOG.log(Level.INFO, log.event());
        } else if (output instanceof Output.ShutdownDone) {
            mDone.countDown();
        }
    }

    /**
     * Asks the entry to finish its work and leave, and waits until it has left.
     *
     * <p>It waits no longer than the longest run limit and some time to leave the membership
     * record.
     *
     * @return whether the entry has finished all and left
     */
    public boolean shutDown() throws InterruptedException {
        mFront.stopAccepting();
        mExchanges.setLeaving();
        mInbox.add(new Input.ShutdownRequested());
        long startNs = System.nanoTime();
        boolean left = mDone.await(POLL_MS, TimeUnit.MILLISECONDS);
        while (!left && msSince(startNs) < mExchanges.longestRunLimitMs() + LEAVE_TIMEOUT_MS) {
            left = mDone.await(POLL_MS, TimeUnit.MILLISECONDS);
        }
        long leftNs = System.nanoTime();
        while (mExchanges.size() > 0 && msSince(leftNs) < WRITE_TIMEOUT_MS) {
            Thread.sleep(POLL_MS);
        }
        boolean finished = left && mExchanges.size() == 0;
        close();
        return finished;
    }

    private static long msSince(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    @Override
    public void close() {
        mControl.close();
        mGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
