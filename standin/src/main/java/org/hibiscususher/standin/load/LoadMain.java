package org.hibiscususher.standin.load;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Sends the same open-loop load directly to a target and through an entry, and prints the latency
 * that the entry adds and the processor time that it uses.
 */
public final class LoadMain {
    private static final int EXIT_USAGE = 2;
    private static final long MS_PER_S = 1_000;

    private LoadMain() {}

    /**
     * Runs the comparison and prints its result.
     *
     * @param args options {@code --rate}, {@code --seconds} and {@code --connections}
     */
    public static void main(String[] args)
            throws IOException, InterruptedException, ExecutionException {
        Options options =
                new Options()
                        .addOption(null, "rate", true, "requests a second (default 2000)")
                        .addOption(null, "seconds", true, "length of each run (default 10)")
                        .addOption(null, "connections", true, "connections (default 64)");
        LoadPlan plan;
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            plan =
                    new LoadPlan(
                            Integer.parseInt(line.getOptionValue("rate", "2000")),
                            Integer.parseInt(line.getOptionValue("seconds", "10")),
                            Integer.parseInt(line.getOptionValue("connections", "64")));
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("load: " + e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (LoadSite site = LoadSite.start(group)) {
            compare(group, plan, site);
        } finally {
            group.shutdownGracefully(0, MS_PER_S, TimeUnit.MILLISECONDS);
        }
    }

    private static void compare(EventLoopGroup group, LoadPlan plan, LoadSite site)
            throws InterruptedException, ExecutionException {
        System.out.println("plan: " + plan);
        // The first run of each warms up the JIT compilers; its result is discarded.
        runDirect(group, plan, site);
        runThroughEntry(group, plan, site);
        LoadResult direct = runDirect(group, plan, site);
        System.out.println("straight: " + direct.text());
        long cpuBeforeMs = site.daemonCpuMs();
        LoadResult throughEntry = runThroughEntry(group, plan, site);
        long usedMs = site.daemonCpuMs() - cpuBeforeMs;
        System.out.println("through:  " + throughEntry.text());
        System.out.printf(
                "added: p50=%dus p99=%dus; ratio of p50: %.2f%n",
                addedUs(direct, throughEntry, 50),
                addedUs(direct, throughEntry, 99),
                (double) throughEntry.latencyUs().getValueAtPercentile(50)
                        / Math.max(1, direct.latencyUs().getValueAtPercentile(50)));
        System.out.printf(
                "daemon: cpu=%dms cores=%.2f per-request=%.0fus requests-per-core=%.0f/s%n",
                usedMs,
                (double) usedMs / throughEntry.elapsedMs(),
                usedMs * 1_000.0 / Math.max(1, throughEntry.answered()),
                throughEntry.answered() * 1_000.0 / Math.max(1, usedMs));
    }

    /** Returns how much more latency a percentile has through the entry, in microseconds. */
    private static long addedUs(LoadResult direct, LoadResult throughEntry, double percentile) {
        return throughEntry.latencyUs().getValueAtPercentile(percentile)
                - direct.latencyUs().getValueAtPercentile(percentile);
    }

    private static LoadResult runDirect(EventLoopGroup group, LoadPlan plan, LoadSite site)
            throws InterruptedException, ExecutionException {
        return OpenLoopClient.run(group, plan, site.target(), "/x", LoadSite.SECRET).get();
    }

    private static LoadResult runThroughEntry(EventLoopGroup group, LoadPlan plan, LoadSite site)
            throws InterruptedException, ExecutionException {
        return OpenLoopClient.run(group, plan, site.entry(), "/load/x", LoadSite.SECRET).get();
    }
}
