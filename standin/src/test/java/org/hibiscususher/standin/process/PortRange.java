package org.hibiscususher.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * A range of ports that belongs to one run of the tests on this machine until the run's process
 * ends, by a lock on a file. It lies below the ports that the operating system chooses for
 * connections, so that none of these takes a port between its draw and its use.
 */
final class PortRange implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 250;
    private static final int RANGES = 48;
    private static final Path FOLDER =
            Path.of(System.getProperty("java.io.tmpdir"), "hibiscususher-test-ports");

    private final int mFirstPort;
    private final FileLock mLock;
    private int mDrawn;

    private PortRange(int firstPort, FileLock lock) {
        mFirstPort = firstPort;
        mLock = lock;
    }

    /** Locks a range that no other run holds. */
    static PortRange lock() throws IOException {
        Files.createDirectories(FOLDER);
        for (int i = 0; i < RANGES; i++) {
            Optional<FileLock> lock = tryLock(FOLDER.resolve(i + ".lock"));
            if (lock.isPresent()) {
                return new PortRange(FIRST_PORT + i * PORTS, lock.get());
            }
        }
        throw new IOException("all ranges of ports are in use");
    }

    private static Optional<FileLock> tryLock(Path file) throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process holds the range already.
        }
        if (lock == null) {
            channel.close();
        }
        return Optional.ofNullable(lock);
    }

    /** Returns a free port, which is not drawn again before all others of the range. */
    synchronized int draw() throws IOException {
        for (int i = 0; i < PORTS; i++) {
            int port = mFirstPort + mDrawn++ % PORTS;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + mFirstPort);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        mLock.channel().close();
    }
}
