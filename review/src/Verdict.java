import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The check of the rule TWICE on what the executors have seen. */
final class Verdict {
    private Verdict() {}

    /**
     * Returns each start of a work item after a run of it ended as done, if that end was taken note
     * of at any time and the executor's lease did not lapse in between, and each two runs of a work
     * item at the same time.
     */
    static List<String> twice(List<Worker.Run> runs, long endMs) {
        List<String> found = new ArrayList<>();
        Map<String, List<Worker.Run>> byTask = new TreeMap<>();
        runs.forEach(r -> byTask.computeIfAbsent(r.mTask, t -> new ArrayList<>()).add(r));
        for (List<Worker.Run> ofTask : byTask.values()) {
            for (Worker.Run first : ofTask) {
                for (Worker.Run other : ofTask) {
                    if (first == other || other.mStartMs < first.mStartMs) {
                        continue;
                    }
                    long firstEndMs = first.mEndMs < 0 ? endMs : first.mEndMs;
                    boolean counts =
                            first.mHow.equals("done") && first.mNoted && !first.mLapsedSince;
                    if (counts && other.mStartMs > firstEndMs) {
                        found.add(first.mTask + " run=" + first.mNumber + " ended done at "
                                + first.mEndMs + " on " + first.mExecutor + ", noted at "
                                + first.mNotedMs + "; run=" + other.mNumber + " started at "
                                + other.mStartMs + " on " + other.mExecutor);
                    } else if (other.mStartMs < firstEndMs) {
                        found.add(first.mTask + " run=" + first.mNumber + " on "
                                + first.mExecutor + " until " + firstEndMs + " beside run="
                                + other.mNumber + " on " + other.mExecutor + " from "
                                + other.mStartMs);
                    }
                }
            }
        }
        return found;
    }
}
