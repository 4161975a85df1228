package org.hibiscususher.standin.store;

import java.io.IOException;
import org.hibiscususher.standin.HttpServer;

/** Runs the stand-in for the platform's store. */
public final class StoreMain {
    private StoreMain() {}

    /** Runs until the process is ended; the one argument is the address. */
    public static void main(String[] args) throws IOException {
        System.out.println("listening " + listen(args[0]).address());
    }

    /** Starts the stand-in on an address. */
    public static HttpServer listen(String address) throws IOException {
        StoreState state = new StoreState();
        return HttpServer.listen(address, () -> new StoreHandler(state));
    }
}
