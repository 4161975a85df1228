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
import org.hibiscususher.daemon.front.Exchanges;
import org.hibiscususher.daemon.front.FrontServer;
import org.hibiscususher.daemon.peer.PeerLinks;
import org.hibiscususher.daemon.settings.DaemonSettings;
import org.hibiscususher.daemon.store.EtcdStore;
import org.hibiscususher.daemon.store.StoreOutputs;

/** One running entry: all its parts, wired together. */
public final class Daemon implements AutoCloseable {
    private static final Logger LOG = System.getLogger(Daemon.class.getName());
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final EventLoopGroup mGroup;
    private final Inbox mInbox = new Inbox();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final CountDownLatch mDone = new CountDownLatch(1);
    private final Exchanges mExchanges;
    private final OperatorCalls mCalls;
    private final StoreOutputs mStore;
    private final PeerLinks mPeers;
    private final FrontServer mFront;
    private final ControlThread mControl;

    private Daemon(DaemonSettings settings) throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(0, NioIoHandler.newFactory());
        mExchanges = Exchanges.create(mInbox, mMetrics);
        mCalls = OperatorCalls.create(mInbox);
        mStore = StoreOutputs.create(EtcdStore.create(mGroup, settings.platform()), mInbox);
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
        mControl = ControlThread.start(node, clock, mInbox, this::handle);
        mStore.watch(RecordKey.HEAD);
        mStore.watch(RecordKey.MEMBERSHIP);
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
        } else if (output instanceof Output.Refuse refuse) {
            mExchanges.refuse(refuse);
        } else if (output instanceof Output.SendPeer send) {
            mPeers.send(send);
        } else if (output instanceof Output.ReadRecord read) {
            mStore.read(read);
        } else if (output instanceof Output.SwapRecord swap) {
            mStore.swap(swap);
        } else if (output instanceof Output.AnswerNote answer) {
            mCalls.answer(answer.callId(), answer);
        } else if (output instanceof Output.AnswerStatus answer) {
            mCalls.answer(answer.callId(), answer);
        } else if (output instanceof Output.Count count) {
            mMetrics.counter(count.counter()).inc();
        } else if (output instanceof Output.LogEvent log) {
            LOG.log(Level.INFO, log.event());
        } else if (output instanceof Output.ShutdownDone) {
            mDone.countDown();
        }
    }

    /** Asks the entry to finish its work and leave; returns when it has left. */
    public void shutDown() throws InterruptedException {
        mInbox.add(new Input.ShutdownAsked());
        mDone.await();
        mFront.stopAccepting();
        close();
    }

    @Override
    public void close() {
        mControl.close();
        mGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
