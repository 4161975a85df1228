package org.hibiscususher.standin.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;

/**
 * Submissions of two teams to a site whose owner can decide on a limited number of them a second,
 * and the responses to them. Callers don't retry.
 */
final class SiteFlood {
    /** Team whose load is varied. */
    static final String FLOODING = VirtualCallers.TEAM;

    /** Team with the same load throughout. */
    static final String OTHER = "other";

    /** Time that the owner needs for each submission, so that it decides on 500 a second. */
    static final long DECISION_MS = 2;

    private static final int ENTRIES = 8;
    private static final int EXECUTORS = 12;
    private static final long TASK_MS = 50;
    private static final long WARM_UP_MS = 2_000;

    /** Submissions of either team in a second, at its usual load. */
    private static final Map<String, Integer> USUAL_LOAD = Map.of(FLOODING, 150, OTHER, 20);

    private final SchedulerSite mSite = SchedulerSite.create(ENTRIES, EXECUTORS, 1);
    private final Map<String, List<Answer>> mAnswers = new HashMap<>();

    /** A response, when its submission was sent, and how long it took. */
    record Answer(JobResponse response, long sentMs, long tookMs) {
        boolean isAccepted() {
            return response.kind() == JobResponseKind.ACCEPTED;
        }

        boolean isOverloaded() {
            return response.kind() == JobResponseKind.OVERLOADED;
        }
    }

    /** Creates a site that has an owner, and no load yet. */
    static SiteFlood create() {
        SiteFlood flood = new SiteFlood();
        flood.mSite.addTeam(OTHER);
        flood.mSite.setDecisionMs(DECISION_MS);
        flood.mSite.run(WARM_UP_MS);
        return flood;
    }

    SchedulerSite site() {
        return mSite;
    }

    /** Schedules the usual load of a team, or a multiple of it, from now on. */
    void submit(String team, int multiple, long forMs) {
        int number = (int) (USUAL_LOAD.get(team) * multiple * forMs / 1_000);
        for (int i = 0; i < number; i++) {
            mSite.schedule(i * forMs / number, () -> submitOnce(team));
        }
    }

    private void submitOnce(String team) {
        long sentMs = mSite.clock().nowMs();
        mSite.callers()
                .submitOnce(
                        team,
                        JobSpecs.small(1, TASK_MS),
                        response ->
                                answers(team)
                                        .add(
                                                new Answer(
                                                        response,
                                                        sentMs,
                                                        mSite.clock().nowMs() - sentMs)));
    }

    /** Returns the responses that a team got, in their order. */
    List<Answer> answers(String team) {
        return mAnswers.computeIfAbsent(team, t -> new ArrayList<>());
    }

    /** Returns the time within which all but a twentieth of a team's responses came. */
    long latencyP95Ms(String team) {
        List<Long> sorted = answers(team).stream().map(Answer::tookMs).sorted().toList();
        return sorted.get(sorted.size() * 19 / 20);
    }

    /** Returns how many of a team's submissions were accepted, in percent. */
    long acceptedPercent(String team) {
        List<Answer> answers = answers(team);
        return 100 * answers.stream().filter(Answer::isAccepted).count() / answers.size();
    }
}
