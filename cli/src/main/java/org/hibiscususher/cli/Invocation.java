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
 * One invocation of a command, with access to the daemon.
 *
 * @param daemon IP number and port of a daemon's operators' interface
 * @param daemonGiven whether the command line names the daemon; else it is the default
 * @param operands the command's operands, joined by spaces; empty if it has none
 * @param in standard input
 * @param out standard output
 */
record Invocation(
        String daemon, boolean daemonGiven, String operands, InputStream in, PrintStream out) {
    private static final int TIMEOUT_MS = 30_000;

    Invocation {
        requireNonNull(daemon);
        requireNonNull(operands);
        requireNonNull(in);
        requireNonNull(out);
    }

    /**
     * Sends a GET request.
     *
     * @param path path and query
     * @return body of the response, whatever its status
     */
    byte[] get(String path) throws IOException {
        return request(HttpMethod.GET, path, new byte[0]);
    }

    /**
     * Sends the content of a file by a POST request.
     *
     * @param path path without a query
     * @param file name of the file, which the daemon uses in the positions of findings
     * @param body content of the file
     * @return body of the response, whatever its status
     */
    byte[] post(String path, String file, String body) throws IOException {
        String query = "?file=" + URLEncoder.encode(file, StandardCharsets.UTF_8);
        return request(HttpMethod.POST, path + query, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a POST request.
     *
     * @param path path and query
     * @param body text to send
     * @return body of the response, whatever its status
     */
    byte[] post(String path, String body) throws IOException {
        return request(HttpMethod.POST, path, body.getBytes(StandardCharsets.UTF_8));
    }

    private byte[] request(HttpMethod method, String path, byte[] body) throws IOException {
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
