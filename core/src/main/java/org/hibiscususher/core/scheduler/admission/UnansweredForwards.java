package org.hibiscususher.core.scheduler.admission;

import java.util.HashMap;
import java.util.Map;
import org.hibiscususher.core.scheduler.world.PendingRequestRow;
import org.hibiscususher.core.scheduler.world.PendingRequestStage;
import org.hibiscususher.core.scheduler.world.SchedulerWorld;

/**
 * The submissions that this entry has forwarded to the present owner and that are unanswered.
 *
 * @param byTeam number of them by team; teams without any are left out
 */
record UnansweredForwards(Map<String, Integer> byTeam) {
    /** Copies the map. */
    UnansweredForwards {
        byTeam = Map.copyOf(byTeam);
    }

    /** Counts the submissions. */
    static UnansweredForwards count(SchedulerWorld world) {
        Map<String, Integer> byTeam = new HashMap<>();
        for (PendingRequestRow row : world.pendingRequests().group("")) {
            if (isUnanswered(world, row)) {
                byTeam.merge(row.team(), 1, Integer::sum);
            }
        }
        return new UnansweredForwards(byTeam);
    }

    /** Returns whether one of the submissions has a path, and so names the same job. */
    static boolean hasPath(SchedulerWorld world, String path) {
        return world.pendingRequests().group("").stream()
                .anyMatch(row -> isUnanswered(world, row) && row.request().path().equals(path));
    }

    private static boolean isUnanswered(SchedulerWorld world, PendingRequestRow row) {
        return row.stage() == PendingRequestStage.FORWARDED
                && row.isSubmission()
                && row.waitingSinceMs() >= world.forwardLimit().get().sinceMs();
    }

    /** Returns the number of submissions of all teams. */
    int total() {
        return totalWithin(Integer.MAX_VALUE);
    }

    /** Returns the number of submissions, of each team at most {@code part}. */
    int totalWithin(int part) {
        return byTeam.values().stream().mapToInt(n -> Math.min(n, part)).sum();
    }

    /** Returns the number of submissions of a team. */
    int of(String team) {
        return byTeam.getOrDefault(team, 0);
    }

    /** Returns the number of teams that have any, with the given team. */
    int teamsWith(String team) {
        return byTeam.size() + (byTeam.containsKey(team) ? 0 : 1);
    }
}
