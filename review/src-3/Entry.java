import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A process of the system, started with the command of the deploy file. */
final class Entry {
    final String name;
    final String ip;
    final int front;
    private final Path settings;
    private final Path log;
    private Process process;

    Entry(Site site, String name, String ip, int[] ports, List<String> seeds) throws IOException {
        this.name = name;
        this.ip = ip;
        front = ports[0];
        settings = site.folder.resolve(name + ".json");
        log = site.folder.resolve(name + ".log");
        ObjectNode node = Web.JSON.createObjectNode();
        node.put("node", name).put("role", "entry").put("class", "edge").put("ip", ip).put("zone", "gimhae");
        node.put("region", "gyeongnam").put("bootstrap", true).put("discovery", "platform").put("entry", "vip");
        node.putArray("serves").add("edge").add("control");
        node.putObject("zones").put("gimhae", "gyeongnam");
        node.putObject("listen")
                .put("front", ip + ":" + ports[0])
                .put("ready", ip + ":" + ports[1])
                .put("control", ip + ":" + ports[2]);
        node.putArray("port_range").add(ports[3]).add(ports[3]);
        seeds.forEach(node.putArray("seeds")::add);
        node.putObject("limits")
                .put("cpu_share", 0.75)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("max_fds", 4100)
                .put("link_mbps", 1000.0)
                .put("disk_mb", 0);
        node.put("heartbeat_ms", 1500).put("control_mode", "invoke");
        node.putObject("bounds")
                .put("max_hold_ms", Site.MAX_HOLD_MS)
                .put("kill_ms", Site.KILL_MS)
                .put("gang_wait_ms", Site.GANG_WAIT_MS)
                .put("cancel_ms", 3000)
                .put("lease_ms", 3000)
                .put("notice_ms", 4500)
                .put("grace_s", 6)
                .put("stable_ms", 3000);
        node.put("hint", site.policy.address());
        node.putObject("platform")
                .put("addr", site.store.address())
                .put("form", "kv")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2000)
                .put("history_s", 20)
                .put("value_bytes", 1048576)
                .put("min_ttl_ms", 1000);
        node.putObject("cloud").put("addr", site.cloud.address()).put("rate_per_s", 64.0).put("duty_per_s", 64.0);
        Files.write(settings, Web.JSON.writeValueAsBytes(node));
    }

    void start(Site site) throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        List<String> command =
                Arrays.stream(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "))
                        .collect(Collectors.toList());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HIBISCUSUSHER_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
        site.record.line(name, "process starts, id " + process.pid());
    }

    /** Returns the last line of the log that says that this process took the ownership; null if none. */
    String lastOwnerLine() throws IOException {
        String last = null;
        for (String line : Files.readAllLines(log)) {
            if (line.contains("owner-taken")) {
                last = line;
            }
        }
        return last;
    }

    void terminate(Site site) {
        site.record.line(name, "SIGTERM");
        process.destroy();
    }

    void kill(Site site) {
        site.record.line(name, "SIGKILL");
        process.destroyForcibly();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void await() throws InterruptedException {
        process.waitFor(10, TimeUnit.SECONDS);
    }
}
