package org.hibiscususher.standin.scheduler;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hibiscususher.core.scheduler.message.SchedulerInput;

/**
 * A call of an entry to an executor.
 *
 * @param kind kind of the connections that carry it
 * @param sentMs when the entry sent it
 * @param timeoutMs time after which the entry gives it up
 * @param maySend whether it may still be sent once a connection is open
 * @param execution carries it out, and gives the answer to its argument
 * @param noAnswer what the entry sees if no answer arrives
 * @param notSent what the entry sees if no connection carried it
 * @param sink gets what the entry sees
 */
record ExecutorCall(
        CallKind kind,
        long sentMs,
        long timeoutMs,
        BooleanSupplier maySend,
        Consumer<Consumer<SchedulerInput>> execution,
        SchedulerInput noAnswer,
        SchedulerInput notSent,
        Consumer<SchedulerInput> sink) {
    /** Returns when the entry gives it up. */
    long giveUpMs() {
        return sentMs + timeoutMs;
    }

    /** Returns this call, sent at another time. */
    ExecutorCall sentAt(long newSentMs) {
        return new ExecutorCall(
                kind, newSentMs, timeoutMs, maySend, execution, noAnswer, notSent, sink);
    }
}
