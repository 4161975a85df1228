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

/** One cell of the fault matrix: a small site under load, a step, faults, and the checks. */
final class Scene {
    static final List<String> TEAMS = List.of("alpha", "beta", "gamma");
    static final String STRANGER = "stranger";
    static final int SLOTS = 4;
    static final int RUN_LIMIT_MS = 1_500;

    private static final long SETTLE_MS = 1_500;
    private static final long REACH_MS = 2_000;
    private static final long FAULT_MS = 3_000;
    private static final long AFTER_MS = 3_000;
    private static final long QUIET_MS = 9_000;
    private static final long PROBE_MS = 3_000;
    private static final long CHECK_EVERY_MS = 10;
    private static final long HOST_LIST_EVERY_MS = 500;
    private static final long WAVE_START_MS = 300;
    private static final int REBOOT_MS = 800;
    private static final long SECONDS_MS = 5_000;
    private static final Map<String, String> HOSTS =
            Map.of(
                    "h1", "quick", "h2", "quick", "h3", "quick", "h4", "quick", "h5", "long", "h6",
                    "long");

    private final VirtualSite mSite;
    private final SceneLoad mLoad;
    private final Map<Promise, String> mViolations = new EnumMap<>(Promise.class);
    private final Map<String, Long> mRevisions = new HashMap<>();
    private final Map<String, Integer> mAllowed = new HashMap<>();
    private final Map<String, Integer> mLimits = new HashMap<>();
    private final Map<String, Long> mLoweredMs = new HashMap<>();
    private final Map<String, Long> mDrainedMs = new HashMap<>();
    private List<PlatformHost> mHostList = new ArrayList<>();
    private long mWithdrawnMs = Long.MAX_VALUE;
    private int mRemembered;
    private int mNotes;
    private boolean mHostListFrozen;

    Scene(long seed) {
        mSite = VirtualSite.create(seed, ControlSettings.DEFAULT);
        mLoad = new SceneLoad(mSite, new Random(seed * 31 + 7));
    }

    /** The outcome of a scene. */
    record Outcome(boolean reached, Map<Promise, String> violations, List<String> stuck) {}

    /** Plays the step and the faults, and returns what was violated. */
    Outcome play(Step step, List<Fault> faults) {
        open();
        step.begin(this);
        long deadline = mSite.nowMs() + REACH_MS;
        Optional<String> entry = step.reached(this);
        while (entry.isEmpty() && mSite.nowMs() < deadline) {
            mSite.run(1);
            entry = step.reached(this);
        }
        String subject = entry.orElse("e1");
        faults.forEach(f -> f.inject(this, subject));
        mSite.run(FAULT_MS);
        mend();
        mSite.run(AFTER_MS);
        mLoad.stop();
        mSite.run(QUIET_MS);
        return new Outcome(entry.isPresent(), mViolations, stuck());
    }

    /** Starts the entries, the configuration, the load and the checks. */
    void open() {
        HOSTS.keySet().stream().sorted().forEach(mSite.platform()::addHost);
        mSite.platform().setRebootMs(REBOOT_MS);
        for (int i = 1; i <= 4; i++) {
            mSite.start("e" + i, "z" + (i % 2 + 1));
        }
        mSite.setAfterStep(this::afterStep);
        showHosts();
        mSite.run(SETTLE_MS);
        submit("e1", SceneNotes.opening(HOSTS));
        mSite.run(SETTLE_MS);
        mLoad.start();
        mSite.run(SETTLE_MS);
    }

    static String zoneOf(String host) {
        return "z" + (Integer.parseInt(host.substring(1)) % 2 + 1);
    }

    VirtualSite site() {
        return mSite;
    }

    VirtualEntry entry(String id) {
        return mSite.entries().get(id);
    }

    boolean alive(String id) {
        return entry(id).processState() == ProcessState.RUNNING;
    }

    List<String> others(String id) {
        return mSite.entries().keySet().stream().filter(e -> !e.equals(id)).toList();
    }

    List<String> hostsOf(String zone) {
        return HOSTS.keySet().stream().sorted().filter(h -> zoneOf(h).equals(zone)).toList();
    }

    void remember(int value) {
        mRemembered = value;
    }

    int remembered() {
        return mRemembered;
    }

    void kill(String id) {
        if (entry(id).processState() != ProcessState.DEAD) {
            mSite.kill(id);
        }
    }

    void restart(String id) {
        if (entry(id).processState() == ProcessState.DEAD) {
            mSite.start(id, entry(id).identity().zone());
        }
    }

    void breakTargets(TargetFault fault) {
        HOSTS.keySet().stream()
                .sorted()
                .filter(h -> zoneOf(h).equals("z1") && !mSite.platform().isDown(h))
                .forEach(h -> mSite.target(h).setFault(fault));
    }

    /** Ends every fault that does not end by itself. */
    void mend() {
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

    void freezeHostList() {
        mHostListFrozen = true;
    }

    private void showHosts() {
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
        mSite.clock().after(HOST_LIST_EVERY_MS, this::showHosts);
    }

    /** Plans and starts a wave over all pools. */
    void startWave(String entry) {
        mSite.sendWaveCommand(entry, WaveCommand.PLAN, List.of("quick", "long"));
        mSite.clock()
                .after(
                        WAVE_START_MS,
                        () -> mSite.sendWaveCommand(entry, WaveCommand.START, List.of()));
    }

    /** Returns the hosts of a pool that a wave has taken down and that are not back. */
    List<String> rebooting(String pool) {
        return HOSTS.keySet().stream()
                .sorted()
                .filter(h -> HOSTS.get(h).equals(pool))
                .filter(mSite.platform()::isDown)
                .toList();
    }

    void withdrawKey(String entry) {
        submit(entry, SceneNotes.withdrawal());
    }

    void moveHost(String entry, String host, String pool) {
        submit(entry, SceneNotes.move(host, pool));
    }

    void submit(String entry, String text) {
        ParsedNote parsed = NoteReader.read("note-" + ++mNotes, text);
        if (!parsed.findings().isEmpty()) {
            throw new IllegalArgumentException(parsed.findings().toString());
        }
        mSite.submitNote(entry, parsed.note());
    }

    /** Hands many requests of one team to an entry. */
    String burst(String entry, int count) {
        for (int i = 0; i < count; i++) {
            mLoad.call(entry, "alpha");
        }
        return entry;
    }

    Stream<VirtualRequest> recent() {
        return mLoad.recent();
    }

    int running(String team) {
        return mSite.targets().values().stream().mapToInt(t -> t.runningRequests(team)).sum();
    }

    int allowedRunning(String team) {
        return mAllowed.getOrDefault(team, 0);
    }

    boolean afterWithdrawal(VirtualRequest request) {
        return request.team().equals("beta")
                && mWithdrawnMs != Long.MAX_VALUE
                && request.startedMs() > mWithdrawnMs + SECONDS_MS;
    }

    Optional<String> startedOnDrained() {
        for (Map.Entry<String, Long> drained : mDrainedMs.entrySet()) {
            VirtualTarget target = mSite.target(drained.getKey());
            if (target.lastStartMs() > drained.getValue() + SECONDS_MS) {
                return Optional.of(target.id() + " got new work in graceful shutdown");
            }
        }
        return Optional.empty();
    }

    /** Notes the revision of a process and returns the highest noted before. */
    long noteRevision(String process, long revision) {
        Long before = mRevisions.merge(process, revision, Math::max);
        return before;
    }

    long acceptedRevision() {
        return mSite.noteReplies().values().stream()
                .filter(a -> a.result() == NoteResult.ACCEPTED)
                .mapToLong(a -> a.revision())
                .max()
                .orElse(0);
    }

    boolean admits(VirtualEntry entry) {
        return entry.processState() == ProcessState.RUNNING
                && entry.world().node().stage().admits();
    }

    private void afterStep() {
        if (mSite.nowMs() % CHECK_EVERY_MS != 0) {
            return;
        }
        mLoad.forgetOld();
        followConfiguration();
        followDrains();
        for (Promise promise : Promise.values()) {
            promise.violation(this)
                    .ifPresent(v -> mViolations.putIfAbsent(promise, mSite.nowMs() + " " + v));
        }
    }

    /** Follows the newest configuration that any entry knows. */
    private void followConfiguration() {
        Configuration newest = Configuration.EMPTY;
        for (VirtualEntry entry : mSite.entries().values()) {
            Configuration seen = entry.world().configuration();
            newest = seen.revision() > newest.revision() ? seen : newest;
        }
        if (newest.revision() > 0 && !newest.keys().containsKey("beta-key")) {
            mWithdrawnMs = Math.min(mWithdrawnMs, mSite.nowMs());
        }
        for (TeamSpec team : newest.teams().values()) {
            int limit = team.upperLimit();
            int before = mLimits.getOrDefault(team.id(), limit);
            if (limit < before) {
                mLoweredMs.put(team.id(), mSite.nowMs());
            }
            mLimits.put(team.id(), limit);
            boolean grace =
                    mSite.nowMs() - mLoweredMs.getOrDefault(team.id(), -SECONDS_MS) < SECONDS_MS;
            int allowed = mAllowed.getOrDefault(team.id(), limit);
            int kept = grace ? allowed : Math.min(allowed, running(team.id()));
            mAllowed.put(team.id(), Math.max(limit, kept));
        }
    }

    private void followDrains() {
        for (String host : HOSTS.keySet()) {
            boolean drained =
                    mSite.entries().values().stream()
                            .filter(e -> e.processState() != ProcessState.DEAD)
                            .anyMatch(e -> !takesWork(e, host));
            if (drained) {
                mDrainedMs.putIfAbsent(host, mSite.nowMs());
            } else {
                mDrainedMs.remove(host);
            }
        }
    }

    private static boolean takesWork(VirtualEntry entry, String host) {
        return entry.world()
                .hosts()
                .find(host)
                .map(HostRow::stage)
                .map(s -> s.acceptsWork())
                .orElse(true);
    }

    /** Returns what did not end or does not work again after the faults. */
    private List<String> stuck() {
        List<String> stuck = new ArrayList<>();
        mSite.requests().values().stream()
                .filter(r -> !r.isFinished())
                .limit(3)
                .forEach(r -> stuck.add("request " + r.arrival().requestId() + " never ends"));
        List<VirtualRequest> probes = new ArrayList<>();
        for (String entry : mSite.entries().keySet()) {
            if (alive(entry)) {
                probes.add(mSite.sendRequest(entry, "lookups", "gamma", 20));
                probes.add(mSite.sendRequest(entry, "reports", "gamma", 20));
            }
        }
        mSite.run(PROBE_MS);
        probes.stream()
                .filter(r -> !r.isAnswered())
                .limit(3)
                .forEach(
                        r ->
                                stuck.add(
                                        r.entry()
                                                + " "
                                                + r.arrival().queue()
                                                + " still fails: "
                                                + r.refusal()));
        return stuck;
    }
}
