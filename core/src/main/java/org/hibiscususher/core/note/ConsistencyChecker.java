package org.hibiscususher.core.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hibiscususher.core.config.Configuration;
import org.hibiscususher.core.config.ConfigurationDelta;
import org.hibiscususher.core.config.HostSpec;
import org.hibiscususher.core.config.KeyDigest;
import org.hibiscususher.core.config.KeySpec;
import org.hibiscususher.core.config.PoolSpec;
import org.hibiscususher.core.config.QueueSpec;

/**
 * Checks that the declarations of a configuration are consistent with each other, and reports each
 * finding at the location of the release note that is most likely its cause.
 *
 * <p>Guards against references to undeclared objects, hosts with the same address, keys with the
 * same digest, and pools that maintenance or the reserve for quick requests could leave without a
 * usable slot.
 */
final class ConsistencyChecker {
    private final Configuration mBefore;
    private final Configuration mAfter;
    private final ConfigurationDelta mDelta;

    /** Locations of the objects that the note names, by type and id as in {@code host h1}. */
    private final Map<String, SourceLocation> mLocations;

    /** The objects that the note withdraws, by type and id. */
    private final Set<String> mWithdrawn;

    /** Start of the note; the location of findings about objects that the note does not name. */
    private final SourceLocation mNoteLocation;

    private final List<Finding> mFindings = new ArrayList<>();

    private ConsistencyChecker(
            ReleaseNote note,
            Configuration before,
            Configuration after,
            Map<String, SourceLocation> locations,
            Set<String> withdrawn) {
        mBefore = before;
        mAfter = after;
        mDelta = ConfigurationDelta.between(before, after);
        mLocations = locations;
        mWithdrawn = withdrawn;
        String file =
                locations.values().stream().findFirst().map(SourceLocation::file).orElse(note.id());
        mNoteLocation = new SourceLocation(file, 1, 1);
    }

    /**
     * Checks a configuration in linear time and returns the findings, in no particular order.
     *
     * @param note the note that leads to the configuration
     * @param before the configuration that the note applies to
     * @param after the configuration with the note applied
     * @param locations locations of the objects that the note names, by type and id
     * @param withdrawn the objects that the note withdraws, by type and id
     */
    static List<Finding> check(
            ReleaseNote note,
            Configuration before,
            Configuration after,
            Map<String, SourceLocation> locations,
            Set<String> withdrawn) {
        ConsistencyChecker checker =
                new ConsistencyChecker(note, before, after, locations, withdrawn);
        checker.checkNotEmpty();
        checker.checkHosts();
        checker.checkKeys();
        checker.checkQueues();
        checker.checkPools();
        return checker.mFindings;
    }

    private void checkNotEmpty() {
        if (mLocations.isEmpty()) {
            addError(
                    mNoteLocation,
                    "the note changes nothing; expected \"added\", \"changed\" or \"withdrawn\"");
        }
    }

    private void checkHosts() {
        Map<String, String> hostsByAddress = new LinkedHashMap<>();
        for (HostSpec host : mAfter.hosts().values()) {
            String name = "host " + host.id();
            requireDeclared(mAfter.pools(), "pool", host.pool(), name);
            String other = hostsByAddress.putIfAbsent(host.address(), host.id());
            if (other != null) {
                addError(
                        locationOf(name, "host " + other),
                        "hosts "
                                + other
                                + " and "
                                + host.id()
                                + " have the same address "
                                + host.address()
                                + "; expected one host per address");
            }
        }
    }

    private void checkKeys() {
        Map<KeyDigest, String> keysByDigest = new LinkedHashMap<>();
        for (KeySpec key : mAfter.keys().values()) {
            String name = "key " + key.id();
            requireDeclared(mAfter.teams(), "team", key.team(), name);
            String other = keysByDigest.putIfAbsent(key.digest(), key.id());
            if (other != null) {
                addError(
                        locationOf(name, "key " + other),
                        "keys "
                                + other
                                + " and "
                                + key.id()
                                + " have the same digest; expected a different secret for"
                                + " each key");
            }
        }
    }

    private void checkQueues() {
        Set<String> poolsWithHosts = new LinkedHashSet<>();
        mAfter.hosts().values().forEach(h -> poolsWithHosts.add(h.pool()));
        for (QueueSpec queue : mAfter.queues().values()) {
            String name = "queue " + queue.id();
            requireDeclared(mAfter.pools(), "pool", queue.pool(), name);
            queue.openTeam().ifPresent(t -> requireDeclared(mAfter.teams(), "team", t, name));
            boolean affected =
                    mLocations.containsKey(name) || mLocations.containsKey("pool " + queue.pool());
            if (affected && !poolsWithHosts.contains(queue.pool())) {
                addWarning(
                        locationOf(name, "pool " + queue.pool()),
                        name + " runs on pool " + queue.pool() + ", which has no host yet");
            }
        }
    }

    private void checkPools() {
        Map<String, List<HostSpec>> hostsByPool = new LinkedHashMap<>();
        for (HostSpec host : mAfter.hosts().values()) {
            hostsByPool.computeIfAbsent(host.pool(), p -> new ArrayList<>()).add(host);
        }
        Set<String> affected = affectedPools();
        for (PoolSpec pool : mAfter.pools().values()) {
            if (affected.contains(pool.id())) {
                checkPool(pool, hostsByPool.getOrDefault(pool.id(), List.of()));
            }
        }
    }

    /** Returns the ids of the pools that the note declares, or that gain, lose or change a host. */
    private Set<String> affectedPools() {
        Set<String> affected = new LinkedHashSet<>();
        mDelta.pools().put().forEach(p -> affected.add(p.id()));
        for (HostSpec host : mDelta.hosts().put()) {
            affected.add(host.pool());
            addPreviousPool(affected, host.id());
        }
        mDelta.hosts().removed().forEach(id -> addPreviousPool(affected, id));
        return affected;
    }

    private void addPreviousPool(Set<String> affected, String hostId) {
        HostSpec before = mBefore.hosts().get(hostId);
        if (before != null) {
            affected.add(before.pool());
        }
    }

    private void checkPool(PoolSpec pool, List<HostSpec> hosts) {
        SourceLocation location = locationOf("pool " + pool.id());
        int maxOut = pool.budget().maxUnavailable();
        int maxOutPerZone = pool.budget().maxUnavailablePerZone();
        if (maxOutPerZone > maxOut) {
            addError(
                    location,
                    "pool "
                            + pool.id()
                            + " may have "
                            + maxOutPerZone
                            + " hosts out per zone and "
                            + maxOut
                            + " in all; expected no more per zone than in all");
        }
        if (hosts.isEmpty()) {
            return;
        }
        if (hosts.size() == 1) {
            addWarning(
                    location,
                    "pool " + pool.id() + " has one host; maintenance of that host stops the pool");
        } else if (maxOut >= hosts.size()) {
            addError(
                    location,
                    "pool "
                            + pool.id()
                            + " has "
                            + hosts.size()
                            + " hosts and may have "
                            + maxOut
                            + " out; expected "
                            + (hosts.size() - 1)
                            + " out at most");
        }
        checkZones(pool, hosts, location);
        int slots = hosts.stream().mapToInt(HostSpec::slots).sum();
        if (pool.quickReserve() >= slots) {
            addError(
                    location,
                    "pool "
                            + pool.id()
                            + " reserves "
                            + pool.quickReserve()
                            + " slots for quick requests and has "
                            + slots
                            + "; expected a reserve below that");
        }
    }

    private void checkZones(PoolSpec pool, List<HostSpec> hosts, SourceLocation location) {
        SortedMap<String, Integer> hostCounts = new TreeMap<>();
        hosts.forEach(h -> hostCounts.merge(h.zone(), 1, Integer::sum));
        int maxOutPerZone = pool.budget().maxUnavailablePerZone();
        hostCounts.forEach(
                (zone, count) -> {
                    if (count > 1 && maxOutPerZone >= count) {
                        addWarning(
                                location,
                                "pool "
                                        + pool.id()
                                        + " may have all its "
                                        + count
                                        + " hosts in zone "
                                        + zone
                                        + " out of service at once");
                    }
                });
    }

    /**
     * Reports a reference to an object that is not declared.
     *
     * @param declared the declared objects of the type, by id
     * @param type type of the object referred to
     * @param id id of the object referred to
     * @param referrer type and id of the object with the reference
     */
    private void requireDeclared(
            SortedMap<String, ?> declared, String type, String id, String referrer) {
        if (declared.containsKey(id)) {
            return;
        }
        String referent = type + " " + id;
        if (mWithdrawn.contains(referent)) {
            addError(
                    locationOf(referent),
                    referent + " is withdrawn, but " + referrer + " still needs it");
        } else {
            addError(
                    locationOf(referrer),
                    referrer + " needs " + referent + ", which is not declared");
        }
    }

    /** Returns the location of the first of the objects that the note names. */
    private SourceLocation locationOf(String... names) {
        for (String name : names) {
            SourceLocation location = mLocations.get(name);
            if (location != null) {
                return location;
            }
        }
        return mNoteLocation;
    }

    private void addError(SourceLocation location, String message) {
        mFindings.add(new Finding(location, message));
    }

    private void addWarning(SourceLocation location, String message) {
        mFindings.add(new Finding(location, Severity.WARNING, message));
    }
}
