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
 * Callers on threads of their own that send non-idempotent requests, one after the other, and go to
 * the next entry when an entry takes no connection or says that a request did not run.
 */
final class LoadCaller implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int MAX_TRIES = 50;
    private static final long RETRY_MS = 100;

    private final Site mSite;
    private final List<String> mEntries;
    private final String mSecret;
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mNames = new AtomicInteger();
    private final Map<String, String> mOutcomes = new ConcurrentSkipListMap<>();
    private final List<Thread> mThreads;
    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    LoadCaller(Site site, List<String> entries, String secret, int threads) {
        mSite = site;
        mEntries = entries;
        mSecret = secret;
        mThreads =
                IntStream.range(0, threads)
                        .mapToObj(i -> new Thread(this::callOften, "caller-" + i))
                        .toList();
        mThreads.forEach(Thread::start);
    }

    /** Returns what became of each named request: "answered", or what went wrong. */
    Map<String, String> outcomes() {
        return mOutcomes;
    }

    private void callOften() {
        while (!mStopped.get()) {
            int number = mNames.incrementAndGet();
            String name = "request-" + number;
            try {
                mOutcomes.put(name, call(name, number));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private String call(String name, int number) throws InterruptedException {
        String last = "";
        for (int i = 0; i < MAX_TRIES; i++) {
            String entry = mEntries.get((number + i) % mEntries.size());
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://" + mSite.callers(entry) + "/lookups/x"))
                            .timeout(TIMEOUT)
                            .header("Authorization", "Bearer " + mSecret)
                            .header("Request-Name", name)
                            .header("Run-Ms", "20")
                            .POST(BodyPublishers.ofString(name))
                            .build();
            try {
                HttpResponse<String> answer = mHttp.send(request, BodyHandlers.ofString());
                if (answer.statusCode() == 200) {
                    return answer.body().endsWith(name) ? "answered" : "wrong answer";
                }
                if (!answer.body().contains("\"not-run\"")) {
                    return answer.body();
                }
                last = answer.body();
            } catch (ConnectException e) {
                last = "refused connection";
            } catch (IOException e) {
                return "broken by " + entry + ": " + e;
            }
            Thread.sleep(RETRY_MS);
        }
        return "given up: " + last;
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
