package org.hibiscususher.standin.target;

import java.io.IOException;
import org.hibiscususher.standin.HttpServer;

/** Runs the stand-in for a target host. */
public final class TargetMain {
    private TargetMain() {}

    /** Runs until the process is ended; the arguments are the address and the host's name. */
    public static void main(String[] args) throws IOException {
        System.out.println("listening " + listen(args[0], args[1]).address());
    }

    /** Starts the stand-in on an address. */
    public static HttpServer listen(String address, String host) throws IOException {
        RunCounter runs = new RunCounter();
        return HttpServer.listen(address, () -> new TargetHandler(host, runs));
    }
}
