package org.hibiscususher.core.control;

import org.hibiscususher.core.message.Input.StatusRequested;
import org.hibiscususher.core.message.Output.ReplyToStatus;
import org.hibiscususher.core.message.StatusReport;
import org.hibiscususher.core.rollout.Freshness;
import org.hibiscususher.core.world.MemberRow;
import org.hibiscususher.core.world.NodeRow;
import org.hibiscususher.core.world.RequestState;
import org.hibiscususher.core.world.Tick;
import org.hibiscususher.core.world.World;

/** Answers operators' queries about the state of this entry. */
final class StatusSystem {
    private StatusSystem() {}

    /** Answers the queries that have arrived since the last tick. */
    static void run(Tick tick) {
        for (StatusRequested query : tick.inputs(StatusRequested.class)) {
            tick.emit(new ReplyToStatus(query.callId(), report(tick)));
        }
    }

    private static StatusReport report(Tick tick) {
        World world = tick.world();
        NodeRow node = world.node();
        int waiting = 0;
        int running = 0;
        for (var request : world.requests().rows()) {
            waiting += request.state() == RequestState.WAITING ? 1 : 0;
            running += request.state() == RequestState.RUNNING ? 1 : 0;
        }
        return new StatusReport(
                node.identity().id(),
                node.stage().name().toLowerCase(java.util.Locale.ROOT),
                world.membership().record().epoch(),
                world.configuration().revision(),
                Math.max(world.freshness().knownRevision(), world.configuration().revision()),
                ageMs(tick, node.storeContactMs()),
                Freshness.ageMs(world, tick.nowMs()),
                node.stage().admits() && Freshness.isFresh(world, tick.nowMs()),
                waiting,
                running,
                world.members().rows().stream().map(m -> peer(tick, m)).toList());
    }

    private static StatusReport.Peer peer(Tick tick, MemberRow row) {
        return new StatusReport.Peer(
                row.member().id(),
                row.member().state(),
                row.member().zone(),
                row.revision(),
                ageMs(tick, row.lastHeardMs()),
                ageMs(tick, row.storeContactMs()));
    }

    /** Returns the time since the given one, in milliseconds, or -1 if the given one is -1. */
    private static long ageMs(Tick tick, long sinceMs) {
        return sinceMs < 0 ? -1 : tick.nowMs() - sinceMs;
    }
}
