package org.hibiscususher.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.core.world.World;

/**
 * Counts the unsent requests of each queue, and of each team within a queue, during one tick.
 *
 * <p>Creation takes time linear in the number of unsent requests; every other method takes constant
 * time.
 */
final class WaitingCounts {
    /** A team may have this many times as many requests waiting as the queue has free places. */
    private static final int WAITING_PER_FREE_PLACE = 2;

    private final Map<String, Integer> mByQueue = new LinkedHashMap<>();
    private final Map<QueueTeam, Integer> mByTeam = new LinkedHashMap<>();

    private WaitingCounts() {}

    private record QueueTeam(String queue, String team) {}

    /** Counts the requests that are unsent now. */
    static WaitingCounts of(World world) {
        WaitingCounts counts = new WaitingCounts();
        for (SchedulingClass schedulingClass : world.requests().groups()) {
            if (schedulingClass.state().unsent()) {
                world.requests().group(schedulingClass).forEach(counts::add);
            }
        }
        return counts;
    }

    /** Counts a request that has been admitted since. */
    void add(RequestRow row) {
        String queue = row.arrival().queue();
        mByQueue.merge(queue, 1, Integer::sum);
        mByTeam.merge(new QueueTeam(queue, row.team()), 1, Integer::sum);
    }

    /** Returns how many unsent requests a team has in a queue. */
    int waiting(String queue, String team) {
        return mByTeam.getOrDefault(new QueueTeam(queue, team), 0);
    }

    /**
     * Returns whether a queue has a free place for one more request of a team.
     *
     * <p>A team may have up to twice as many requests waiting as the queue has free places. A team
     * alone thus gets two thirds of the queue, several teams get equal parts, and no team can fill
     * the queue and shut out a team that has nothing waiting.
     */
    boolean hasFreePlace(QueueSpec queue, String team) {
        int free = queue.maxWaiting() - mByQueue.getOrDefault(queue.id(), 0);
        return free > 0 && waiting(queue.id(), team) < WAITING_PER_FREE_PLACE * free;
    }
}
