package org.hibiscususher.standin.virtual;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hibiscususher.core.message.Input;
import org.hibiscususher.core.message.Input.RebootResponse;
import org.hibiscususher.core.message.Output.RebootHost;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.message.RebootResult;

/** The platform's power over target hosts in virtual time: reboots, losses, and a late list. */
public final class VirtualPlatform {
    private static final int LATENCY_MS = 2;
    private static final int TIMEOUT_MS = 2_000;

    private final VirtualClock mClock;
    private final Function<String, VirtualTarget> mTargets;
    private final Map<String, Integer> mBoots = new LinkedHashMap<>();
    private final Map<String, String> mTokens = new LinkedHashMap<>();
    private final Set<String> mGone = new HashSet<>();
    private final Set<String> mNeverBack = new HashSet<>();
    private final Map<String, Integer> mReboots = new LinkedHashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mRebootMs = 5_000;
    private boolean mLosesAnswers;

    VirtualPlatform(VirtualClock clock, Function<String, VirtualTarget> targets) {
        mClock = clock;
        mTargets = targets;
    }

    /** Adds a target host to the list. */
    public void addHost(String host) {
        mBoots.put(host, 1);
    }

    /** Sets how long a reboot takes, in milliseconds. */
    public void setRebootMs(int value) {
        mRebootMs = value;
    }

    /** Sets whether answers to reboots are lost after they took effect. */
    public void setDropsRebootResponses(boolean value) {
        mLosesAnswers = value;
    }

    /** Lets a host not come back from its next reboot. */
    public void setFailsNextReboot(String host) {
        mNeverBack.add(host);
    }

    /** Lets a host fail until {@link #restoreHost}. */
    public void failHost(String host) {
        mGone.add(host);
        mTargets.apply(host).setFault(TargetFault.UNREACHABLE);
    }

    /** Brings a lost host back, booted anew. */
    public void restoreHost(String host) {
        mGone.remove(host);
        mBoots.merge(host, 1, Integer::sum);
        mTargets.apply(host).setFault(TargetFault.NONE);
    }

    /** Returns whether a host is lost or reboots. */
    public boolean isDown(String host) {
        return mGone.contains(host);
    }

    /** Returns how many times each host was rebooted on demand. */
    public Map<String, Integer> rebootCounts() {
        return mReboots;
    }

    /** Returns the reboots that cut work short. */
    public List<String> violations() {
        return mViolations;
    }

    /** Returns the target hosts that are up, with their boot ids. */
    public List<PlatformHost> hosts() {
        return mBoots.entrySet().stream()
                .filter(e -> !mGone.contains(e.getKey()))
                .map(e -> new PlatformHost(e.getKey(), false, bootId(e.getKey())))
                .toList();
    }

    void reboot(RebootHost call, Consumer<Input> receiver) {
        mClock.after(
                LATENCY_MS,
                () -> {
                    RebootResult result = carryOut(call);
                    int delayMs = mLosesAnswers ? TIMEOUT_MS : LATENCY_MS;
                    RebootResult shown = mLosesAnswers ? RebootResult.UNKNOWN : result;
                    mClock.after(
                            delayMs,
                            () ->
                                    receiver.accept(
                                            new RebootResponse(call.host(), call.token(), shown)));
                });
    }

    private RebootResult carryOut(RebootHost call) {
        String host = call.host();
        if (Optional.ofNullable(mTokens.get(host)).filter(call.token()::equals).isPresent()) {
            return RebootResult.ACCEPTED;
        }
        if (!bootId(host).equals(call.bootId()) || mGone.contains(host)) {
            return RebootResult.MISMATCH;
        }
        VirtualTarget target = mTargets.apply(host);
        if (target.runningRequests() > 0) {
            mViolations.add(
                    host + " rebooted with " + target.runningRequests() + " requests running");
        }
        mTokens.put(host, call.token());
        mReboots.merge(host, 1, Integer::sum);
        failHost(host);
        if (!mNeverBack.remove(host)) {
            mClock.after(mRebootMs, () -> restoreHost(host));
        }
        return RebootResult.ACCEPTED;
    }

    private String bootId(String host) {
        return host + "-boot-" + mBoots.get(host);
    }
}
