import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's list of machines, and its calls to move them and begin their upkeep. */
final class Cloud {
    private final Site site;
    private final Web web;

    /** When the list was read last, in milliseconds; -1 before the first time. */
    volatile long lastListMs = -1;

    Cloud(Site site) throws Exception {
        this.site = site;
        web = new Web(this::handle);
    }

    String address() {
        return web.address();
    }

    private Web.Reply handle(Web.Call call) throws Exception {
        Thread.sleep(4);
        if (call.path().equals("/api/machines")) {
            synchronized (site) {
                lastListMs = site.nowMs();
                ObjectNode out = Web.JSON.createObjectNode();
                ArrayNode list = out.putArray("machines");
                for (Machine machine : site.machines.values()) {
                    ObjectNode node = list.addObject();
                    node.put("machine", machine.name()).put("pool", Site.SERVICE).put("state", machine.state());
                    node.put("zone", "gimhae").put("id", machine.executor() == null ? "" : machine.executor().id);
                    site.labels(machine.name()).forEach(node.putArray("labels")::add);
                    node.putObject("capacity").put("cpu", machine.cpu()).put("mem_mb", 131072).put("gpu", 0);
                }
                out.putNull("next_token");
                site.record.line("cloud", "list of machines read");
                return new Web.Reply(200, out);
            }
        }
        if (call.path().equals("/api/machine-upkeep")) {
            return site.upkeep(
                    call.body().path("machine").asText(),
                    call.body().path("wave").asInt(),
                    call.header("Duty-Holder"),
                    call.header("Fence-Token"));
        }
        return Web.reply(400);
    }
}
