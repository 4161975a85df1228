import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The policy service: allows every executor, handles one call at a time, and takes its time. */
final class Policy {
    static final int DECIDE_MS = 100;
    static final int EACH_MS = 10;
    static final int VALID_MS = 3_000;

    private final Web web;

    Policy(Site site) throws Exception {
        web = new Web(call -> handle(site, call));
    }

    String address() {
        return web.address();
    }

    private synchronized Web.Reply handle(Site site, Web.Call call) throws Exception {
        JsonNode workers = call.body().path("workers");
        Thread.sleep(DECIDE_MS + (long) EACH_MS * workers.size());
        ObjectNode out = Web.JSON.createObjectNode();
        ArrayNode allowed = out.putArray("allowed");
        workers.forEach(worker -> allowed.addArray().add(worker.asText()).add("t-" + worker.asText()));
        site.record.line("policy", "advises on " + call.body().path("step").asText());
        return new Web.Reply(200, out.put("valid_ms", VALID_MS));
    }
}
