package org.hibiscususher.core.scheduler.message;

/**
 * Until when an order may be sent.
 *
 * <p>An order may leave the process later than it was decided on: the process may be paused, or the
 * order may wait for a connection. Both clocks count, since the steady one may stand still while
 * the process is suspended.
 *
 * @param steadyMs end of the validity in milliseconds of the steady clock
 * @param wallMs end of the validity in milliseconds since the epoch
 */
public record OrderValidity(long steadyMs, long wallMs) {
    /** Returns whether an order may no longer be sent, at the given times of both clocks. */
    public boolean isOver(long nowSteadyMs, long nowWallMs) {
        return nowSteadyMs >= steadyMs || nowWallMs >= wallMs;
    }
}
