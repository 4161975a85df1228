package org.hibiscususher.standin.process;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Generates load on the entries until it is closed. Each thread sends non-idempotent requests one
 * after the other. A request is resent to the next entry only if an entry refused the connection or
 * reported that the request did not run, so that no resend can make a request run twice.
 */
final class LoadGenerator implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int MAX_ATTEMPTS = 50;
    private static final long RETRY_DELAY_MS = 100;

    private final ProcessSite mSite;
    private final List<String> mEntries;
    private final String mSecret;
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mRequestCount = new AtomicInteger();
    private final Map<String, String> mOutcomes = new ConcurrentSkipListMap<>();
    private final List<Thread> mThreads;
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    LoadGenerator(ProcessSite site, List<String> entries, String secret, int threads) {
        mSite = site;
        mEntries = entries;
        mSecret = secret;
        mThreads =
                IntStream.range(0, threads)
                        .mapToObj(i -> new Thread(this::sendUntilStopped, "caller-" + i))
                        .toList();
        mThreads.forEach(Thread::start);
    }

    /** Returns the outcome of each request by name: "answered", or a description of the failure. */
    Map<String, String> outcomes() {
        return mOutcomes;
    }

    private void sendUntilStopped() {
        while (!mStopped.get()) {
            int number = mRequestCount.incrementAndGet();
            String name = "request-" + number;
            try {
                mOutcomes.put(name, sendWithRetries(name, number));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private String sendWithRetries(String name, int number) throws InterruptedException {
        String lastFailure = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            String entry = mEntries.get((number + i) % mEntries.size());
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://" + mSite.callerAddress(entry) + "/lookups/x"))
                            .timeout(TIMEOUT)
                            .header("Authorization", "Bearer " + mSecret)
                            .header("Request-Name", name)
                            .header("Run-Ms", "20")
                            .POST(BodyPublishers.ofString(name))
                            .build();
            try {
                HttpResponse<String> response = mHttp.send(request, BodyHandlers.ofString());
                if (response.statusCode() == 200) {
                    return response.body().endsWith(name) ? "answered" : "wrong response";
                }
                if (!response.body().contains("\"not-run\"")) {
                    return response.body();
                }
                lastFailure = response.body();
            } catch (ConnectException e) {
                lastFailure = "connection refused";
            } catch (IOException e) {
                return "broken by " + entry + ": " + e;
            }
            Thread.sleep(RETRY_DELAY_MS);
        }
        return "abandoned: " + lastFailure;
    }

    @Override
    public void close() {
        mStopped.set(true);
        for (Thread thread : mThreads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
