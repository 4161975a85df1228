package org.hibiscususher.standin.scheduler;

import org.hibiscususher.core.scheduler.message.SchedulerInput;

/**
 * State of the network between an entry and an executor: what becomes of calls that are sent, that
 * arrive, and that are answered in it.
 *
 * <p>A connection that is open when a cut begins goes on to carry one call; no connection can be
 * opened until the cut ends.
 */
enum LinkState {
    /** Calls and their answers arrive. */
    OPEN {
        @Override
        void send(ExecutorLink link, ExecutorCall call) {
            link.transmit(call);
        }

        @Override
        void receive(ExecutorLink link, ExecutorCall call) {
            link.occupyOrOpen(call);
            link.giveUpAtTimeout(call);
            link.carryOut(call);
        }

        @Override
        void answer(ExecutorLink link, ExecutorCall call, SchedulerInput answer) {
            link.complete(call, answer);
        }
    },
    /** Calls that are sent are lost; the answers to those sent before arrive. */
    SILENT {
        @Override
        void send(ExecutorLink link, ExecutorCall call) {
            link.loseSilently(call);
        }

        @Override
        void receive(ExecutorLink link, ExecutorCall call) {
            OPEN.receive(link, call);
        }

        @Override
        void answer(ExecutorLink link, ExecutorCall call, SchedulerInput answer) {
            OPEN.answer(link, call, answer);
        }
    },
    /** Calls on open connections are carried out; the answers are lost. */
    ONE_WAY {
        @Override
        void send(ExecutorLink link, ExecutorCall call) {
            link.transmit(call);
        }

        @Override
        void receive(ExecutorLink link, ExecutorCall call) {
            if (link.occupy(call)) {
                link.giveUpAtTimeout(call);
                link.carryOut(call);
            }
        }

        @Override
        void answer(ExecutorLink link, ExecutorCall call, SchedulerInput answer) {
            link.giveUpAtTimeout(call);
        }
    },
    /** Calls on open connections, and answers, arrive when the cut ends, unless given up before. */
    HELD {
        @Override
        void send(ExecutorLink link, ExecutorCall call) {
            receive(link, call);
        }

        @Override
        void receive(ExecutorLink link, ExecutorCall call) {
            if (link.occupy(call)) {
                link.giveUpAtTimeout(call);
                link.hold(call, () -> link.carryOut(call));
            }
        }

        @Override
        void answer(ExecutorLink link, ExecutorCall call, SchedulerInput answer) {
            link.giveUpAtTimeout(call);
            link.hold(call, () -> link.complete(call, answer));
        }
    };

    /** Handles a call that an entry sends. */
    abstract void send(ExecutorLink link, ExecutorCall call);

    /** Handles a call that has been on its way for the latency of the link. */
    abstract void receive(ExecutorLink link, ExecutorCall call);

    /** Handles the answer to a call. */
    abstract void answer(ExecutorLink link, ExecutorCall call, SchedulerInput answer);
}
