package org.hibiscususher.cli;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.hibiscususher.wire.http.OneShotHttpClient;

/**
 * One run of a command.
 *
 * @param daemon IP number and port of a daemon's operator interface
 * @param daemonGiven whether the command line names the daemon
 * @param operand the command's operand; empty if it has none
 * @param in standard input
 * @param out standard output
 */
record Invocation(
        String daemon, boolean daemonGiven, String operand, InputStream in, PrintStream out) {
    private static final int TIMEOUT_MS = 30_000;

    Invocation {
        requireNonNull(daemon);
        requireNonNull(operand);
        requireNonNull(in);
        requireNonNull(out);
    }

    /** Returns the body of the answer to a GET. */
    byte[] get(String path) throws IOException {
        return call(HttpMethod.GET, path, new byte[0]);
    }

    /** Returns the body of the answer to a POST of a file's text. */
    byte[] post(String path, String file, String body) throws IOException {
        String query = "?file=" + URLEncoder.encode(file, StandardCharsets.UTF_8);
        return call(HttpMethod.POST, path + query, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body of the answer to a POST. */
    byte[] post(String path, String body) throws IOException {
        return call(HttpMethod.POST, path, body.getBytes(StandardCharsets.UTF_8));
    }

    private byte[] call(HttpMethod method, String path, byte[] body) throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            return OneShotHttpClient.create(group, TIMEOUT_MS)
                    .send(daemon, method, path, body)
                    .get()
                    .body();
        } catch (ExecutionException e) {
            throw new IOException(daemon + ": " + e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            group.shutdownGracefully(0, TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }
}
