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
 * The command {@code load}: the same open-loop load straight to a target and through an entry, in
 * one run, and what the entry adds and costs.
 */
public final class LoadMain {
    private static final int EXIT_USAGE = 2;
    private static final long MS_PER_S = 1_000;

    private LoadMain() {}

    /** Runs the comparison and prints it. */
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
        straight(group, plan, site);
        through(group, plan, site);
        LoadResult straight = straight(group, plan, site);
        System.out.println("straight: " + straight.text());
        long cpuMs = site.daemonCpuMs();
        LoadResult through = through(group, plan, site);
        long usedMs = site.daemonCpuMs() - cpuMs;
        System.out.println("through:  " + through.text());
        System.out.printf(
                "added: p50=%dus p99=%dus; ratio of p50: %.2f%n",
                added(straight, through, 50),
                added(straight, through, 99),
                (double) through.latencyUs().getValueAtPercentile(50)
                        / Math.max(1, straight.latencyUs().getValueAtPercentile(50)));
        System.out.printf(
                "daemon: cpu=%dms cores=%.2f per-request=%.0fus requests-per-core=%.0f/s%n",
                usedMs,
                (double) usedMs / through.elapsedMs(),
                usedMs * 1_000.0 / Math.max(1, through.answered()),
                through.answered() * 1_000.0 / Math.max(1, usedMs));
    }

    private static long added(LoadResult straight, LoadResult through, double percentile) {
        return through.latencyUs().getValueAtPercentile(percentile)
                - straight.latencyUs().getValueAtPercentile(percentile);
    }

    private static LoadResult straight(EventLoopGroup group, LoadPlan plan, LoadSite site)
            throws InterruptedException, ExecutionException {
        return OpenLoop.run(group, plan, site.target(), "/x", LoadSite.SECRET).get();
    }

    private static LoadResult through(EventLoopGroup group, LoadPlan plan, LoadSite site)
            throws InterruptedException, ExecutionException {
        return OpenLoop.run(group, plan, site.entry(), "/load/x", LoadSite.SECRET).get();
    }
}
