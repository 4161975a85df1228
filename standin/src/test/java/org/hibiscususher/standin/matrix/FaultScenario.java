package org.hibiscususher.standin.matrix;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.TeamSpec;
import org.hibiscususher.core.message.NoteResult;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.message.WaveCommand;
import org.hibiscususher.core.world.ControlSettings;
import org.hibiscususher.core.world.HostRow;
import org.hibiscususher.standin.store.StoreFault;
import org.hibiscususher.standin.virtual.ProcessState;
import org.hibiscususher.standin.virtual.TargetFault;
import org.hibiscususher.standin.virtual.VirtualEntry;
import org.hibiscususher.standin.virtual.VirtualRequest;
import org.hibiscususher.standin.virtual.VirtualSite;
import org.hibiscususher.standin.virtual.VirtualTarget;
import org.hibiscususher.wire.yaml.NoteReader;
import org.hibiscususher.wire.yaml.ParsedNote;

/**
 * One cell of the fault matrix: runs a simulated site of four entries, six hosts and two pools
 * under load to an injection point, injects the faults, clears them and lets the site recover. The
 * invariants are checked throughout; at the end all requests must have ended and new ones succeed.
 */
final class FaultScenario {
    static final List<String> TEAMS = List.of("alpha", "beta", "gamma");
    static final String UNKNOWN_TEAM = "stranger";
    static final int SLOTS_PER_HOST = 4;
    static final int RUN_LIMIT_MS = 1_500;

    /** Time after each stage of the start: entries, initial note, load. */
    private static final long SETTLE_MS = 1_500;

    private static final long REACH_TIMEOUT_MS = 2_000;
    private static final long FAULT_DURATION_MS = 3_000;
    private static final long RECOVERY_MS = 3_000;

    /** Time without load in which all requests must end. */
    private static final long DRAIN_MS = 9_000;

    private static final long PROBE_TIMEOUT_MS = 3_000;
    private static final long CHECK_INTERVAL_MS = 10;
    private static final long HOST_LIST_INTERVAL_MS = 500;
    private static final long WAVE_START_DELAY_MS = 300;
    private static final int REBOOT_DURATION_MS = 800;

    /** Time within which a new configuration or a drain must take effect on all entries. */
    private static final long PROPAGATION_LIMIT_MS = 5_000;

    /** Pool of each target host. */
    private static final Map<String, String> HOSTS =
            Map.of(
                    "h1", "quick", "h2", "quick", "h3", "quick", "h4", "quick", "h5", "long", "h6",
                    "long");

    private final VirtualSite mSite;
    private final ScenarioLoad mLoad;
    private final Map<Invariant, String> mViolations = new EnumMap<>(Invariant.class);
    private final Map<String, Long> mRevisions = new HashMap<>();
    private final Map<String, Integer> mAllowedRunning = new HashMap<>();
    private final Map<String, Integer> mUpperLimits = new HashMap<>();
    private final Map<String, Long> mLimitLoweredAtMs = new HashMap<>();
    private final Map<String, Long> mDrainedSinceMs = new HashMap<>();
    private List<PlatformHost> mHostList = new ArrayList<>();
    private long mKeyWithdrawnAtMs = Long.MAX_VALUE;
    private int mBaseline;
    private int mNoteCount;
    private boolean mHostListFrozen;

    FaultScenario(long seed) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        mLoad = new ScenarioLoad(mSite, new Random(seed * 31 + 7));
    }

    /**
     * The result of a scenario.
     *
     * @param reached whether the injection point was reached; if not, the faults hit {@code e1}
     * @param violations first violation of each invariant, with its virtual time
     * @param unrecovered requests that never ended and probes that failed after the recovery
     */
    record Result(boolean reached, Map<Invariant, String> violations, List<String> unrecovered) {}

    /** Runs the site to the injection point, injects the faults, and returns the result. */
    Result run(InjectionPoint point, List<Fault> faults) {
        startSite();
        point.begin(this);
        long deadline = mSite.nowMs() + REACH_TIMEOUT_MS;
        Optional<String> entry = point.reached(this);
        while (entry.isEmpty() && mSite.nowMs() < deadline) {
            mSite.run(1);
            entry = point.reached(this);
        }
        String faultyEntry = entry.orElse("e1");
        faults.forEach(f -> f.inject(this, faultyEntry));
        mSite.run(FAULT_DURATION_MS);
        clearFaults();
        mSite.run(RECOVERY_MS);
        mLoad.stop();
        mSite.run(DRAIN_MS);
        return new Result(entry.isPresent(), mViolations, unrecovered());
    }

    /** Starts the entries and the checks, applies the initial release note and starts the load. */
    void startSite() {
        HOSTS.keySet().stream().sorted().forEach(mSite.platform()::addHost);
        mSite.platform().setRebootMs(REBOOT_DURATION_MS);
        for (int i = 1; i <= 4; i++) {
            mSite.start("e" + i, "z" + (i % 2 + 1));
        }
        mSite.setAfterStep(this::checkInvariants);
        publishHostList();
        mSite.run(SETTLE_MS);
        submit("e1", ScenarioNotes.initial(HOSTS));
        mSite.run(SETTLE_MS);
        mLoad.start();
        mSite.run(SETTLE_MS);
    }

    /** Returns the zone of a target host: {@code z1} for even numbers, {@code z2} for odd. */
    static String zoneOf(String host) {
        return "z" + (Integer.parseInt(host.substring(1)) % 2 + 1);
    }

    VirtualSite site() {
        return mSite;
    }

    /** Returns the newest incarnation of an entry, dead or not. */
    VirtualEntry entry(String id) {
        return mSite.entries().get(id);
    }

    /** Returns whether the process of an entry is neither dead nor suspended. */
    boolean isRunning(String id) {
        return entry(id).processState() == ProcessState.RUNNING;
    }

    /** Returns the ids of all other entries, including dead ones. */
    List<String> others(String id) {
        return mSite.entries().keySet().stream().filter(e -> !e.equals(id)).toList();
    }

    /** Returns the target hosts of a zone. */
    List<String> hostsOf(String zone) {
        return HOSTS.keySet().stream().sorted().filter(h -> zoneOf(h).equals(zone)).toList();
    }

    /** Stores a value with which an injection point compares later values. */
    void saveBaseline(int value) {
        mBaseline = value;
    }

    int baseline() {
        return mBaseline;
    }

    /** Kills an entry, unless it is dead already. */
    void kill(String id) {
        if (entry(id).processState() != ProcessState.DEAD) {
            mSite.kill(id);
        }
    }

    /** Starts a dead entry as a new incarnation; does nothing if it is not dead. */
    void restart(String id) {
        if (entry(id).processState() == ProcessState.DEAD) {
            mSite.start(id, entry(id).identity().zone());
        }
    }

    /** Injects a fault into the targets of zone {@code z1} that are not rebooting. */
    void setTargetFault(TargetFault fault) {
        HOSTS.keySet().stream()
                .sorted()
                .filter(h -> zoneOf(h).equals("z1") && !mSite.platform().isDown(h))
                .forEach(h -> mSite.target(h).setFault(fault));
    }

    /** Ends every fault that does not end on its own. */
    void clearFaults() {
        mSite.store().setFault(StoreFault.NONE);
        mSite.network().restoreAllLinks();
        mSite.network().setLinkBehaviour(1, 0, 0, 0);
        mHostListFrozen = false;
        for (VirtualEntry entry : List.copyOf(mSite.entries().values())) {
            mSite.store().setReachable(entry.id(), true);
            if (entry.processState() == ProcessState.PAUSED) {
                mSite.resume(entry.id());
            }
        }
        mSite.targets().values().stream()
                .filter(t -> !mSite.platform().isDown(t.id()))
                .forEach(t -> t.setFault(TargetFault.NONE));
    }

    /** Makes the platform keep publishing its current host list. */
    void freezeHostList() {
        mHostListFrozen = true;
    }

    /** Sends the host list to the entries, the last one while it is frozen, at intervals. */
    private void publishHostList() {
        if (!mHostListFrozen) {
            mHostList = new ArrayList<>(mSite.platform().hosts());
            for (VirtualEntry entry : mSite.entries().values()) {
                if (entry.processState() != ProcessState.DEAD) {
                    String bootId = Long.toString(entry.identity().incarnation());
                    mHostList.add(new PlatformHost(entry.id(), false, bootId));
                }
            }
        }
        mSite.publishHosts(List.copyOf(mHostList));
        mSite.clock().after(HOST_LIST_INTERVAL_MS, this::publishHostList);
    }

    /** Plans a maintenance wave over all pools and starts it a little later. */
    void startWave(String entry) {
        mSite.sendWaveCommand(entry, WaveCommand.PLAN, List.of("quick", "long"));
        mSite.clock()
                .after(
                        WAVE_START_DELAY_MS,
                        () -> mSite.sendWaveCommand(entry, WaveCommand.START, List.of()));
    }

    /** Returns the hosts of a pool that a wave is rebooting. */
    List<String> rebooting(String pool) {
        return HOSTS.keySet().stream()
                .sorted()
                .filter(h -> HOSTS.get(h).equals(pool))
                .filter(mSite.platform()::isDown)
                .toList();
    }

    /** Submits a note that withdraws the key of the team {@code beta}. */
    void withdrawKey(String entry) {
        submit(entry, ScenarioNotes.withdrawKey());
    }

    /** Submits a note that moves a host to another pool. */
    void moveHost(String entry, String host, String pool) {
        submit(entry, ScenarioNotes.moveHost(host, pool));
    }

    /**
     * Submits a release note to an entry.
     *
     * @throws IllegalArgumentException if the text has findings
     */
    void submit(String entry, String text) {
        ParsedNote parsed = NoteReader.read("note-" + ++mNoteCount, text);
        if (!parsed.findings().isEmpty()) {
            throw new IllegalArgumentException(parsed.findings().toString());
        }
        mSite.submitNote(entry, parsed.note());
    }

    /** Sends requests of the team {@code alpha} to an entry and returns the entry. */
    String burst(String entry, int count) {
        for (int i = 0; i < count; i++) {
            mLoad.call(entry, "alpha");
        }
        return entry;
    }

    /** Returns the requests of the load that arrived within its retention. */
    Stream<VirtualRequest> recent() {
        return mLoad.recent();
    }

    /** Returns how many requests of a team run on all targets together. */
    int running(String team) {
        return mSite.targets().values().stream().mapToInt(t -> t.runningRequests(team)).sum();
    }

    /**
     * Returns how many requests of a team may run now. After its upper limit was lowered this is
     * more than the limit for a while: running requests are not cancelled.
     */
    int allowedRunning(String team) {
        return mAllowedRunning.getOrDefault(team, 0);
    }

    /** Returns whether a request started although its key had been withdrawn long enough. */
    boolean startedAfterKeyWithdrawal(VirtualRequest request) {
        return request.team().equals("beta")
                && mKeyWithdrawnAtMs != Long.MAX_VALUE
                && request.startedMs() > mKeyWithdrawnAtMs + PROPAGATION_LIMIT_MS;
    }

    /** Returns a drained host on which a request began after the propagation limit. */
    Optional<String> workStartedOnDrainedHost() {
        for (Map.Entry<String, Long> drained : mDrainedSinceMs.entrySet()) {
            VirtualTarget target = mSite.target(drained.getKey());
            if (target.lastStartMs() > drained.getValue() + PROPAGATION_LIMIT_MS) {
                return Optional.of(target.id() + " got a new request while drained");
            }
        }
        return Optional.empty();
    }

    /** Records the current revision of a process and returns the highest recorded so far. */
    long recordRevision(String process, long revision) {
        Long highest = mRevisions.merge(process, revision, Math::max);
        return highest;
    }

    /** Returns the highest revision reported to an operator as accepted, 0 if none. */
    long acceptedRevision() {
        return mSite.noteReplies().values().stream()
                .filter(a -> a.result() == NoteResult.ACCEPTED)
                .mapToLong(a -> a.revision())
                .max()
                .orElse(0);
    }

    /** Returns whether an entry runs and admits requests. */
    boolean admits(VirtualEntry entry) {
        return entry.processState() == ProcessState.RUNNING
                && entry.world().node().stage().admits();
    }

    private void checkInvariants() {
        if (mSite.nowMs() % CHECK_INTERVAL_MS != 0) {
            return;
        }
        mLoad.discardOld();
        updateAllowedRunning();
        updateDrainedHosts();
        for (Invariant invariant : Invariant.values()) {
            invariant
                    .violation(this)
                    .ifPresent(v -> mViolations.putIfAbsent(invariant, mSite.nowMs() + " " + v));
        }
    }

    /**
     * Updates the allowed counts and the time of the key withdrawal from the newest configuration
     * that any entry has. A lowered limit binds after {@link #PROPAGATION_LIMIT_MS}, and from then
     * on the allowed count may only shrink with the running requests.
     */
    private void updateAllowedRunning() {
        Configuration newest = Configuration.EMPTY;
        for (VirtualEntry entry : mSite.entries().values()) {
            Configuration current = entry.world().configuration();
            newest = current.revision() > newest.revision() ? current : newest;
        }
        if (newest.revision() > 0 && !newest.keys().containsKey("beta-key")) {
            mKeyWithdrawnAtMs = Math.min(mKeyWithdrawnAtMs, mSite.nowMs());
        }
        for (TeamSpec team : newest.teams().values()) {
            int limit = team.upperLimit();
            int before = mUpperLimits.getOrDefault(team.id(), limit);
            if (limit < before) {
                mLimitLoweredAtMs.put(team.id(), mSite.nowMs());
            }
            mUpperLimits.put(team.id(), limit);
            boolean propagating =
                    mSite.nowMs() - mLimitLoweredAtMs.getOrDefault(team.id(), -PROPAGATION_LIMIT_MS)
                            < PROPAGATION_LIMIT_MS;
            int allowed = mAllowedRunning.getOrDefault(team.id(), limit);
            int stillAllowed = propagating ? allowed : Math.min(allowed, running(team.id()));
            mAllowedRunning.put(team.id(), Math.max(limit, stillAllowed));
        }
    }

    /** Records since when at least one live entry has a host not accepting work. */
    private void updateDrainedHosts() {
        for (String host : HOSTS.keySet()) {
            boolean drained =
                    mSite.entries().values().stream()
                            .filter(e -> e.processState() != ProcessState.DEAD)
                            .anyMatch(e -> !acceptsWork(e, host));
            if (drained) {
                mDrainedSinceMs.putIfAbsent(host, mSite.nowMs());
            } else {
                mDrainedSinceMs.remove(host);
            }
        }
    }

    private static boolean acceptsWork(VirtualEntry entry, String host) {
        return entry.world()
                .hosts()
                .find(host)
                .map(HostRow::stage)
                .map(s -> s.acceptsWork())
                .orElse(true);
    }

    /**
     * Returns requests that have not ended and probes that fail after the faults, a few of each.
     */
    private List<String> unrecovered() {
        List<String> unrecovered = new ArrayList<>();
        mSite.requests().values().stream()
                .filter(r -> !r.isFinished())
                .limit(3)
                .forEach(
                        r -> unrecovered.add("request " + r.arrival().requestId() + " never ends"));
        List<VirtualRequest> probes = new ArrayList<>();
        for (String entry : mSite.entries().keySet()) {
            if (isRunning(entry)) {
                probes.add(mSite.sendRequest(entry, "lookups", "gamma", 20));
                probes.add(mSite.sendRequest(entry, "reports", "gamma", 20));
            }
        }
        mSite.run(PROBE_TIMEOUT_MS);
        probes.stream()
                .filter(r -> !r.isAnswered())
                .limit(3)
                .forEach(
                        r ->
                                unrecovered.add(
                                        r.entry()
                                                + " "
                                                + r.arrival().queue()
                                                + " still fails: "
                                                + r.refusal()));
        return unrecovered;
    }
}
