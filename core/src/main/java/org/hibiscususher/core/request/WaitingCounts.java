package org.hibiscususher.core.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hibiscususher.core.config.QueueSpec;
import org.hibiscususher.core.world.RequestRow;
import org.hibiscususher.core.world.SchedulingClass;
import org.hibiscususher.core.world.World;

/**
 * Counts unsent requests by queue and by team within a queue, for the length of one tick.
 *
 * <p>Counting takes one pass over those requests; each admission afterwards takes constant time.
 */
final class WaitingCounts {
    private static final int TEAM_FACTOR = 2;

    private final Map<String, Integer> mByQueue = new LinkedHashMap<>();
    private final Map<QueueTeam, Integer> mByTeam = new LinkedHashMap<>();

    private WaitingCounts() {}

    private record QueueTeam(String queue, String team) {}

    /** Counts the requests that are unsent now. */
    static WaitingCounts of(World world) {
        WaitingCounts counts = new WaitingCounts();
        for (SchedulingClass lane : world.requests().groups()) {
            if (lane.state().unsent()) {
                world.requests().group(lane).forEach(counts::add);
            }
        }
        return counts;
    }

    void add(RequestRow row) {
        String queue = row.arrival().queue();
        mByQueue.merge(queue, 1, Integer::sum);
        mByTeam.merge(new QueueTeam(queue, row.team()), 1, Integer::sum);
    }

    /** Returns how many requests of a team wait in a queue. */
    int waiting(String queue, String team) {
        return mByTeam.getOrDefault(new QueueTeam(queue, team), 0);
    }

    /**
     * Returns whether a queue takes one more request of a team.
     *
     * <p>A team may have waiting up to twice as many as there are free places. So a team alone gets
     * two thirds of the queue, several get equal parts, and some places are always free for a team
     * that has none waiting.
     */
    boolean hasFreePlace(QueueSpec queue, String team) {
        int free = queue.maxWaiting() - mByQueue.getOrDefault(queue.id(), 0);
        return free > 0 && waiting(queue.id(), team) < TEAM_FACTOR * free;
    }
}
