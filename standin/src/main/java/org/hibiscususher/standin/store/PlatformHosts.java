package org.hibiscususher.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashMap;
import java.util.Map;
import org.hibiscususher.core.message.PlatformHost;
import org.hibiscususher.core.table.Table;

/**
 * Table of the hosts that the platform lists. A reboot completes immediately. Confined to the
 * server's event loop thread.
 */
final class PlatformHosts {
    private final Table<String, PlatformHost> mHosts = Table.create();

    /** Token of the last accepted reboot, by host id. */
    private final Map<String, String> mTokens = new HashMap<>();

    /** Replaces all hosts with those of a JSON array. */
    void replace(JsonNode list) {
        mHosts.clear();
        for (JsonNode host : list) {
            String id = host.path("id").asText();
            mHosts.put(
                    id,
                    new PlatformHost(
                            id, host.path("leaving").asBoolean(), host.path("bootId").asText()));
        }
    }

    /** Appends the hosts to a JSON array. */
    void writeTo(ArrayNode list) {
        for (PlatformHost host : mHosts.rows()) {
            list.addObject()
                    .put("id", host.id())
                    .put("leaving", host.leaving())
                    .put("bootId", host.bootId());
        }
    }

    /**
     * Reboots a host if its boot id is the expected one. A call that repeats the token of the last
     * accepted reboot is accepted without a second reboot, so that a caller may retry a call whose
     * response was lost.
     *
     * @param id host id
     * @param bootId boot id that the caller expects the host to have
     * @param token idempotency token of the order
     * @return whether the order is accepted
     */
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
