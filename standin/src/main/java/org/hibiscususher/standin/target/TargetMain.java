package org.hibiscususher.standin.target;

import java.io.IOException;
import org.hibiscususher.standin.HttpServer;

/** Starts the stand-in for a target host as a process. */
public final class TargetMain {
    private TargetMain() {}

    /**
     * Serves until the process is killed, after printing the address that it listens on.
     *
     * @param args the address to listen on, and the host's name
     */
    public static void main(String[] args) throws IOException {
        System.out.println("listening " + listen(args[0], args[1]).address());
    }

    /**
     * Starts the stand-in within this process.
     *
     * @param address address to listen on
     * @param host host name that responses contain
     */
    public static HttpServer listen(String address, String host) throws IOException {
        RunCounter runCounter = new RunCounter();
        return HttpServer.listen(address, () -> new TargetHandler(host, runCounter));
    }
}
