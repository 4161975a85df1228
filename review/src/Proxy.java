import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A proxy in front of one address. During a cut it passes nothing on; what it has read by then, it
 * delivers when the cut ends, as a network does with bytes that are sent again until they arrive.
 */
final class Proxy {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final String mTargetIp;
    private final int mTargetPort;
    private boolean mCut;

    Proxy(String ip, int port, String targetIp, int targetPort) throws IOException {
        mTargetIp = targetIp;
        mTargetPort = targetPort;
        ServerSocket server = new ServerSocket(port, 100, InetAddress.getByName(ip));
        daemon(() -> accept(server));
    }

    synchronized void setCut(boolean cut) {
        mCut = cut;
        notifyAll();
    }

    private synchronized void awaitLink() throws InterruptedException {
        while (mCut) {
            wait();
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // One of the two connections was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server) throws IOException {
        while (true) {
            Socket near = server.accept();
            daemon(() -> connect(near));
        }
    }

    private void connect(Socket near) throws Exception {
        awaitLink();
        Socket far = new Socket(mTargetIp, mTargetPort);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        daemon(() -> copy(near, far));
        daemon(() -> copy(far, near));
    }

    private void copy(Socket from, Socket to) throws Exception {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            awaitLink();
            out.write(buffer, 0, n);
        }
        awaitLink();
        to.shutdownOutput();
    }
}
