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

/**
 * Simulated platform: its list of target hosts, their reboots and their failures. Records a
 * violation if a host is rebooted while it runs requests, as a reboot would kill them.
 */
public final class VirtualPlatform {
    private static final int LATENCY_MS = 2;

    /** Time after which the caller of a reboot stops waiting for the response. */
    private static final int TIMEOUT_MS = 2_000;

    private final VirtualClock mClock;
    private final Function<String, VirtualTarget> mTargets;

    /** Number of times each host was booted; part of its boot id. */
    private final Map<String, Integer> mBootNumbers = new LinkedHashMap<>();

    /** Token of the last accepted reboot, by host. */
    private final Map<String, String> mRebootTokens = new LinkedHashMap<>();

    private final Set<String> mDownHosts = new HashSet<>();
    private final Set<String> mFailsNextReboot = new HashSet<>();
    private final Map<String, Integer> mRebootCounts = new LinkedHashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mRebootDurationMs = 5_000;
    private boolean mDropsRebootResponses;

    VirtualPlatform(VirtualClock clock, Function<String, VirtualTarget> targets) {
        mClock = clock;
        mTargets = targets;
    }

    /** Adds a target host that is up to the list. */
    public void addHost(String host) {
        mBootNumbers.put(host, 1);
    }

    /** Sets the duration of a reboot, in milliseconds. */
    public void setRebootMs(int durationMs) {
        mRebootDurationMs = durationMs;
    }

    /** Sets whether responses to reboot orders are lost although the orders take effect. */
    public void setDropsRebootResponses(boolean drops) {
        mDropsRebootResponses = drops;
    }

    /** Makes a host stay down after its next reboot, until it is restored. */
    public void setFailsNextReboot(String host) {
        mFailsNextReboot.add(host);
    }

    /** Takes a host down until {@link #restoreHost}. */
    public void failHost(String host) {
        mDownHosts.add(host);
        mTargets.apply(host).setFault(TargetFault.UNREACHABLE);
    }

    /** Brings a host up with a new boot id and no fault. */
    public void restoreHost(String host) {
        mDownHosts.remove(host);
        mBootNumbers.merge(host, 1, Integer::sum);
        mTargets.apply(host).setFault(TargetFault.NONE);
    }

    /** Returns whether a host is down, after a failure or for a reboot. */
    public boolean isDown(String host) {
        return mDownHosts.contains(host);
    }

    /** Returns the number of accepted reboot orders, by host. */
    public Map<String, Integer> rebootCounts() {
        return mRebootCounts;
    }

    /** Returns a description of each reboot that interrupted running requests. */
    public List<String> violations() {
        return mViolations;
    }

    /** Returns the platform's list: the target hosts that are up, with their boot ids. */
    public List<PlatformHost> hosts() {
        return mBootNumbers.entrySet().stream()
                .filter(e -> !mDownHosts.contains(e.getKey()))
                .map(e -> new PlatformHost(e.getKey(), false, bootId(e.getKey())))
                .toList();
    }

    /**
     * Handles an order to reboot a host.
     *
     * @param receiver gets the response
     */
    void reboot(RebootHost order, Consumer<Input> receiver) {
        mClock.after(
                LATENCY_MS,
                () -> {
                    RebootResult result = applyReboot(order);
                    int delayMs = mDropsRebootResponses ? TIMEOUT_MS : LATENCY_MS;
                    RebootResult reported = mDropsRebootResponses ? RebootResult.UNKNOWN : result;
                    mClock.after(
                            delayMs,
                            () ->
                                    receiver.accept(
                                            new RebootResponse(
                                                    order.host(), order.token(), reported)));
                });
    }

    /** Applies a reboot order once for each token, and only to the boot that it names. */
    private RebootResult applyReboot(RebootHost order) {
        String host = order.host();
        if (Optional.ofNullable(mRebootTokens.get(host))
                .filter(order.token()::equals)
                .isPresent()) {
            return RebootResult.ACCEPTED;
        }
        if (!bootId(host).equals(order.bootId()) || mDownHosts.contains(host)) {
            return RebootResult.MISMATCH;
        }
        VirtualTarget target = mTargets.apply(host);
        if (target.runningRequests() > 0) {
            mViolations.add(
                    host + " rebooted with " + target.runningRequests() + " requests running");
        }
        mRebootTokens.put(host, order.token());
        mRebootCounts.merge(host, 1, Integer::sum);
        failHost(host);
        if (!mFailsNextReboot.remove(host)) {
            mClock.after(mRebootDurationMs, () -> restoreHost(host));
        }
        return RebootResult.ACCEPTED;
    }

    private String bootId(String host) {
        return host + "-boot-" + mBootNumbers.get(host);
    }
}
