package org.hibiscususher.standin.store;

import java.io.IOException;
import org.hibiscususher.standin.HttpServer;

/** Starts the stand-in for the platform's key-value store and host list as a process. */
public final class StoreMain {
    private StoreMain() {}

    /**
     * Serves until the process is killed, after printing the address that it listens on.
     *
     * @param args the address to listen on
     */
    public static void main(String[] args) throws IOException {
        System.out.println("listening " + listen(args[0]).address());
    }

    /**
     * Starts the stand-in within this process.
     *
     * @param address address to listen on
     */
    public static HttpServer listen(String address) throws IOException {
        StoreState state = new StoreState();
        return HttpServer.listen(address, () -> new StoreHandler(state));
    }
}
