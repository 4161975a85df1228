package org.hibiscususher.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.Map;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.table.Table;

/** The platform's hosts; a reboot here is over at once. Belongs to the server's one thread. */
final class PlatformHosts {
    private final Table<String, PlatformHost> mHosts = Table.create();
    private final Map<String, String> mTokens = new HashMap<>();

    /** Replaces all hosts by those of a list. */
    void replace(JsonNode list) {
        mHosts.clear();
        for (JsonNode n : list) {
            String id = n.path("id").asText();
            mHosts.put(
                    id,
                    new PlatformHost(id, n.path("leaving").asBoolean(), n.path("bootId").asText()));
        }
    }

    /** Adds the hosts to a JSON list. */
    void writeTo(ArrayNode list) {
        for (PlatformHost host : mHosts.rows()) {
            list.addObject()
                    .put("id", host.id())
                    .put("leaving", host.leaving())
                    .put("bootId", host.bootId());
        }
    }

    /** Reboots a host if its boot id is as expected; a repeated token gives the same answer. */
    boolean reboot(String id, String bootId, String token) {
        if (token.equals(mTokens.get(id))) {
            return true;
        }
        boolean expected = mHosts.find(id).filter(h -> h.bootId().equals(bootId)).isPresent();
        if (expected) {
            mTokens.put(id, token);
            mHosts.put(id, new PlatformHost(id, false, bootId + "+"));
        }
        return expected;
    }
}
