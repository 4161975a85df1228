package org.hibiscususher.core.scheduler.world;

/**
 * How many submissions the owner answered and this entry refused lately. Both counts are halved
 * each second.
 *
 * @param halvedMs when they were last halved, in milliseconds of the steady clock
 * @param answered submissions that the owner answered
 * @param refused submissions that this entry refused because the limit was reached
 */
public record ForwardRates(long halvedMs, int answered, int refused) {
    /** Nothing answered and nothing refused. */
    public static final ForwardRates NONE = new ForwardRates(0, 0, 0);

    private static final long PERIOD_MS = 1_000;

    /** Returns these counts with one more answer. */
    public ForwardRates withAnswer(long nowMs) {
        ForwardRates current = at(nowMs);
        return new ForwardRates(current.halvedMs, current.answered + 1, current.refused);
    }

    /** Returns these counts with one more refusal. */
    public ForwardRates withRefusal(long nowMs) {
        ForwardRates current = at(nowMs);
        return new ForwardRates(current.halvedMs, current.answered, current.refused + 1);
    }

    /**
     * Returns in how many milliseconds the owner answers as many submissions as were refused, at
     * its recent rate.
     */
    public long catchUpMs() {
        return refused * PERIOD_MS / Math.max(1, answered);
    }

    private ForwardRates at(long nowMs) {
        long periods = Math.min(Integer.SIZE - 1, (nowMs - halvedMs) / PERIOD_MS);
        return periods == 0
                ? this
                : new ForwardRates(nowMs, answered >> periods, refused >> periods);
    }
}
