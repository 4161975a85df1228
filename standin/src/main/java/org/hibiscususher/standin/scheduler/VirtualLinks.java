package org.hibiscususher.standin.scheduler;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardAnswered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.ForwardFailed;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HandoverOffered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.PredecessorRelinquished;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RelinquishRequested;
import org.hibiscususher.core.scheduler.message.SchedulerOutput;
import org.hibiscususher.core.scheduler.message.SchedulerOutput.Forward;

/** The links between the entries of a simulated site. */
final class VirtualLinks {
    /** Time for which a request to relinquish waits for its answer, in milliseconds. */
    private static final long RELINQUISH_TIMEOUT_MS = 1_450;

    /** Interval at which a message that waits in a cut is tried again, in milliseconds. */
    private static final long RETRY_MS = 50;

    private static final long LINK_LATENCY_MS = 1;

    /** Time without a response after which a forwarded request counts as lost, in milliseconds. */
    private static final long LINK_TIMEOUT_MS = 1_500;

    private final VirtualClock mClock;
    private final VirtualCallers mCallers;
    private final Map<String, VirtualNode> mNodes;

    /** Entries that exchange no messages with others. */
    private final Set<String> mIsolated = new HashSet<>();

    /**
     * Creates the links.
     *
     * @param nodes entries by name, to which the site may still add some
     */
    VirtualLinks(VirtualClock clock, VirtualCallers callers, Map<String, VirtualNode> nodes) {
        mClock = requireNonNull(clock);
        mCallers = requireNonNull(callers);
        mNodes = requireNonNull(nodes);
    }

    /** Cuts an entry off from all others, or connects it again. Messages on their way arrive. */
    void isolate(String node, boolean isolated) {
        if (isolated) {
            mIsolated.add(node);
        } else {
            mIsolated.remove(node);
        }
    }

    private boolean isCut(VirtualNode from, VirtualNode to) {
        return from != to && (mIsolated.contains(from.name()) || mIsolated.contains(to.name()));
    }

    /**
     * Forwards a request to another entry, or reports a failure if that entry's process has ended
     * or doesn't answer in time.
     */
    void forward(VirtualNode from, Forward forward) {
        VirtualNode to = mNodes.get(forward.address());
        if (!to.isUp() || isCut(from, to)) {
            mClock.after(
                    LINK_LATENCY_MS,
                    () -> from.receive(new ForwardFailed(forward.callId(), to.name(), false)));
        } else {
            long linkId =
                    mCallers.registerCall(
                            response -> {
                                if (!isCut(from, to)) {
                                    from.receive(new ForwardAnswered(forward.callId(), response));
                                }
                            });
            mClock.after(LINK_LATENCY_MS, () -> to.receiveRequest(linkId, forward.request()));
            mClock.after(
                    LINK_TIMEOUT_MS,
                    () -> {
                        if (mCallers.abandonCall(linkId)) {
                            from.receive(new ForwardFailed(forward.callId(), to.name(), true));
                        }
                    });
        }
    }

    /**
     * Asks an entry to relinquish the ownership; the request is lost if its process has ended, and
     * waits in a cut of the link, as in a connection, until the sender gives it up.
     *
     * @param sink gets the confirmation
     */
    void askToRelinquish(
            VirtualNode from, SchedulerOutput.AskRelinquish ask, Consumer<SchedulerInput> sink) {
        askToRelinquish(from, ask, sink, mClock.nowMs() + RELINQUISH_TIMEOUT_MS);
    }

    private void askToRelinquish(
            VirtualNode from,
            SchedulerOutput.AskRelinquish ask,
            Consumer<SchedulerInput> sink,
            long untilMs) {
        VirtualNode to = mNodes.get(ask.address());
        if (isCut(from, to)) {
            if (mClock.nowMs() < untilMs) {
                mClock.after(RETRY_MS, () -> askToRelinquish(from, ask, sink, untilMs));
            }
        } else if (to.isUp()) {
            long id =
                    mCallers.registerCall(
                            response -> {
                                if (!isCut(from, to)) {
                                    sink.accept(new PredecessorRelinquished(ask.generation()));
                                }
                            });
            mClock.after(
                    LINK_LATENCY_MS,
                    () -> to.receive(new RelinquishRequested(id, ask.generation())));
        }
    }

    /** Offers the ownership to an entry; the offer is lost if its process has ended. */
    void offerHandover(VirtualNode from, SchedulerOutput.OfferHandover offer) {
        VirtualNode to = mNodes.get(offer.address());
        if (to.isUp() && !isCut(from, to)) {
            long id = mCallers.registerCall(response -> {});
            mClock.after(
                    LINK_LATENCY_MS, () -> to.receive(new HandoverOffered(id, offer.generation())));
        }
    }
}
