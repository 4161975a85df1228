package org.hibiscususher.daemon.forward;

import static java.util.Objects.requireNonNull;

import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/**
 * A message to another entry that awaits a response. Exactly one of the callbacks is called, once,
 * on the event loop.
 *
 * @param message creates the message from the id that names the call on its connection
 * @param onResponse receives the response
 * @param onFailure called if there is no response; receives whether the other entry may have
 *     received the message
 */
record ForwardCall(
        LongFunction<ForwardMessage> message,
        Consumer<JobResponse> onResponse,
        Consumer<Boolean> onFailure) {
    /** Rejects null components. */
    ForwardCall {
        requireNonNull(message);
        requireNonNull(onResponse);
        requireNonNull(onFailure);
    }
}
