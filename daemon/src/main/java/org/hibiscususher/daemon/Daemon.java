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

/**
 * One entry: the servers, clients and control thread of its process, connected to each other.
 *
 * <p>All events reach the control thread through one inbox. Each output of a tick is dispatched to
 * the component that carries it out.
 */
public final class Daemon implements AutoCloseable {
    /** Longest time between two ticks without an input, in milliseconds. */
    private static final long TICK_INTERVAL_MS = 10;

    private static final Logger LOG = System.getLogger(Daemon.class.getName());
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    /** Time to leave the membership record once the last attempt has ended, in milliseconds. */
    private static final long LEAVE_TIMEOUT_MS = 30_000;

    /** Time for the last responses to be written and for requests read in part, in milliseconds. */
    private static final long CALLERS_CLOSE_TIMEOUT_MS = 5_000;

    /** Time for the control thread's last replies to operators, in milliseconds. */
    private static final long OPERATORS_REPLY_TIMEOUT_MS = 5_000;

    /** Time for the refusals at the end of a shutdown to be written, in milliseconds. */
    private static final long REFUSAL_WRITE_TIMEOUT_MS = 2_500;

    private static final long POLL_INTERVAL_MS = 20;
    private static final int MAX_EVENT_LOOPS = 4;

    private final EventLoopGroup mEventLoops;
    private final Inbox<Input> mInbox = new Inbox<>();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final CountDownLatch mShutdownDone = new CountDownLatch(1);
    private final ExchangeTable mExchanges;
    private final OperatorCalls mOperatorCalls;
    private final StoreOutputHandler mStoreOutputs;
    private final PeerLinks mPeerLinks;
    private final FrontServer mFrontServer;
    private final AdminServer mAdminServer;
    private final ControlThread mControlThread;

    private Daemon(DaemonSettings settings) throws IOException {
        mEventLoops = new MultiThreadIoEventLoopGroup(eventLoopCount(), NioIoHandler.newFactory());
        mExchanges = ExchangeTable.create(mInbox, mMetrics);
        mOperatorCalls = OperatorCalls.create(mInbox);
        mStoreOutputs =
                StoreOutputHandler.create(
                        EtcdStore.create(mEventLoops, settings.platform()), mInbox);
        // Registers every counter now, so that the metrics page lists refusals that have not
        // occurred with the value 0.
        for (Refusal refusal : Refusal.values()) {
            mMetrics.counter("refusal." + refusal.code());
        }
        MonotonicClock clock = new MonotonicClock();
        long nowMs = clock.time();
        NodeIdentity identity =
                new NodeIdentity(settings.member(), nowMs, settings.peers(), settings.zone());
        mPeerLinks = PeerLinks.listen(mEventLoops, settings.peers(), mInbox);
        mFrontServer = FrontServer.listen(mEventLoops, settings.callers(), mExchanges);
        mAdminServer =
                AdminServer.listen(mEventLoops, settings.operators(), mOperatorCalls, mMetrics);
        ControlNode node = ControlNode.create(identity, settings.control(), nowMs);
        mControlThread =
                ControlThread.start(node::tick, clock, mInbox, this::handle, TICK_INTERVAL_MS);
        mStoreOutputs.watch(RecordKey.HEAD);
        mStoreOutputs.watch(RecordKey.MEMBERSHIP);
    }

    /**
     * Returns the number of threads that carry traffic. Few threads handle more events each time
     * that they wake up.
     */
    private static int eventLoopCount() {
        int processors = Runtime.getRuntime().availableProcessors();
        return Math.max(1, Math.min(MAX_EVENT_LOOPS, processors / 2));
    }

    /**
     * Starts an entry.
     *
     * @param settings settings without findings
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
            mPeerLinks.send(send);
        } else if (output instanceof Output.ReadHostList) {
            mStoreOutputs.readHosts();
        } else if (output instanceof Output.ReadRecord read) {
            mStoreOutputs.read(read);
        } else if (output instanceof Output.SwapRecord swap) {
            mStoreOutputs.swap(swap);
        } else if (output instanceof Output.ReadFleetRecords read) {
            mStoreOutputs.readFleet(read);
        } else if (output instanceof Output.RebootHost reboot) {
            mStoreOutputs.reboot(reboot);
        } else if (output instanceof Output.ReplyToWave reply) {
            mOperatorCalls.complete(reply.callId(), reply);
        } else if (output instanceof Output.ReplyToNote reply) {
            mOperatorCalls.complete(reply.callId(), reply);
        } else if (output instanceof Output.ReplyToNoteCheck reply) {
            mOperatorCalls.complete(reply.callId(), reply);
        } else if (output instanceof Output.ReplyToHistory reply) {
            mOperatorCalls.complete(reply.callId(), reply);
        } else if (output instanceof Output.ReplyToExport reply) {
            mOperatorCalls.complete(reply.callId(), reply);
        } else if (output instanceof Output.ReplyToStatus reply) {
            mOperatorCalls.complete(reply.callId(), reply);
        } else if (output instanceof Output.Count count) {
            mMetrics.counter(count.counter()).inc();
        } else if (output instanceof Output.LogEvent log) {
            LOG.log(Level.INFO, log.event());
        } else if (output instanceof Output.ShutdownDone) {
            mShutdownDone.countDown();
        }
    }

    /**
     * Shuts the entry down in stages: it accepts no more connections, completes the requests that
     * it holds and leaves the membership record; then each connection closes as soon as every
     * request that was read from it has its complete response.
     *
     * <p>Each stage has a deadline. What is open at the last one is refused, or its connection is
     * reset if a response has started. Then closes the entry.
     *
     * @return whether all requests were completed and the entry has left the membership record
     */
    public boolean shutDown() throws InterruptedException {
        mFrontServer.stopAccepting();
        mExchanges.setLeaving();
        mInbox.add(new Input.ShutdownRequested());
        boolean hasLeft = awaitLeft();
        boolean answered = hasLeft && awaitCallersClosed(CALLERS_CLOSE_TIMEOUT_MS);
        if (!answered) {
            refuseOpenRequests();
        }
        answerOperators();
        close();
        return answered;
    }

    /**
     * Waits until the entry has left the membership record, which it does once it has no requests.
     *
     * @return false if it has not left some time after the last attempt has surely ended
     */
    private boolean awaitLeft() throws InterruptedException {
        long startNs = System.nanoTime();
        while (!mShutdownDone.await(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
            long lastEndNs = Math.max(0, mExchanges.attemptsEndNs() - startNs) + startNs;
            if (elapsedMs(lastEndNs) >= LEAVE_TIMEOUT_MS) {
                return false;
            }
        }
        return true;
    }

    /** Closes connections as they become idle; returns whether all closed within the timeout. */
    private boolean awaitCallersClosed(long timeoutMs) throws InterruptedException {
        long startNs = System.nanoTime();
        while (mFrontServer.connectionCount() > 0) {
            if (elapsedMs(startNs) >= timeoutMs) {
                return false;
            }
            mFrontServer.closeIdleConnections();
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return true;
    }

    /**
     * Refuses the open requests, and resets connections whose responses are not written in time.
     */
    private void refuseOpenRequests() throws InterruptedException {
        LOG.log(
                Level.WARNING,
                "event=shutdown-timeout requests="
                        + mExchanges.size()
                        + " connections="
                        + mFrontServer.connectionCount());
        mExchanges.refuseAll();
        awaitCallersClosed(REFUSAL_WRITE_TIMEOUT_MS);
        mFrontServer.resetIncompleteResponses();
    }

    /** Waits for the replies to operators' requests; those without one are told so. */
    private void answerOperators() throws InterruptedException {
        awaitOperatorsAnswered(OPERATORS_REPLY_TIMEOUT_MS);
        mOperatorCalls.failAll();
        awaitOperatorsAnswered(REFUSAL_WRITE_TIMEOUT_MS);
    }

    private void awaitOperatorsAnswered(long timeoutMs) throws InterruptedException {
        long startNs = System.nanoTime();
        while (mAdminServer.openRequests() > 0 && elapsedMs(startNs) < timeoutMs) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static long elapsedMs(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    @Override
    public void close() {
        mControlThread.close();
        mEventLoops
                .shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }
}
