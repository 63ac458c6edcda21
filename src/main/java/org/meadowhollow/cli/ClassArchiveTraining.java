package org.meadowhollow.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.meadowhollow.protocol.training.PlatformStub;
import org.meadowhollow.transport.HttpServer;
import org.meadowhollow.transport.XnioEventLoop;

/**
 * Training run for class data sharing. The build runs it once to load the classes that a controller
 * needs, so that the JVM can archive them. A start from the archive takes a fraction of the time of
 * a cold start, which shortens the recovery from a crash.
 */
final class ClassArchiveTraining {
    private static final String OWN_CLASS_PATH_PREFIX = "org/meadowhollow/";

    /**
     * Packages that are used only by tracing and by the operators' commands, so that a controller
     * without tracing never loads them.
     */
    private static final List<String> EXCLUDED_PATH_PREFIXES =
            List.of(
                    OWN_CLASS_PATH_PREFIX + "transport/tracing/",
                    OWN_CLASS_PATH_PREFIX + "cli/reservation/");

    private static final String CLASS_FILE_SUFFIX = ".class";

    private ClassArchiveTraining() {}

    /**
     * Runs a controller against stubs of the platform until it has become leader and run one job,
     * then loads the remaining classes of this project by name.
     */
    static void run()
            throws IOException, Settings.InvalidSettingsException, ClassNotFoundException {
        Path settingsFile = Files.createTempFile("meadowhollow", ".json");
        XnioEventLoop stubLoop = new XnioEventLoop();
        try (HttpServer platformStub =
                new HttpServer(
                        stubLoop,
                        Controller.newBufferPool(),
                        "127.0.0.1",
                        0,
                        0,
                        Duration.ofMinutes(1),
                        new PlatformStub())) {
            Files.writeString(
                    settingsFile,
                    """
                    {"member":"training","area":"z","listen":"127.0.0.1:0","back":"127.0.0.1:0",
                     "known":[{"member":"other","area":"z","addr":"127.0.0.1:9"}],
                     "external":{"cloud":"127.0.0.1:%1$d","state":"127.0.0.1:%1$d"},
                     "settings":{"size":1,"zones":["z"],"teams":[{"name":"t"}],
                      "objectives":[{"kind":"wait","class":"c","within_s":1.0}],
                      "workers":{"report_s":3.0,"lease_s":18.0,"gang_wait_s":30.0,"gang_peer_s":6.0,"cancel_s":48.0},
                      "state":{"rps":80.0,"write_rps":30.0,"value_kb":16.0,"txn_ops":12},
                      "cloud":{"rps":8.0,"list_lag_s":10.0}}}"""
                            .formatted(platformStub.port()));
            try (Controller controller = Controller.builder(Settings.read(settingsFile)).start()) {
                exerciseController(controller.port());
            }
        } finally {
            stubLoop.close();
            Files.delete(settingsFile);
        }
        loadOwnClasses();
    }

    private static void exerciseController(int port) throws IOException {
        sendRequest(port, "GET", "/ready", new byte[0]);
        // The controller responds once it is the leader.
        sendRequest(port, "POST", "/hello", PlatformStub.heartbeatBody(1, 0, null));
        sendRequest(port, "POST", "/submissions", PlatformStub.submissionBody());
        sendRequest(port, "GET", "/submissions/req-1", new byte[0]);
        // The responses to the next two requests are delayed until the task can start, or for a
        // bounded time.
        sendRequest(port, "POST", "/hello", PlatformStub.heartbeatBody(2, 1, null));
        sendRequest(port, "POST", "/hello", PlatformStub.heartbeatBody(3, 1, null));
        sendRequest(port, "POST", "/hello", PlatformStub.heartbeatBody(4, 1, "running"));
        sendRequest(port, "POST", "/hello", PlatformStub.heartbeatBody(5, 1, "ended"));
        sendRequest(port, "POST", "/submissions/req-1/cancel", new byte[0]);
        sendRequest(port, "POST", "/submissions", new byte[0]);
    }

    // The address is a literal: no name is resolved, so there is no choice between addresses.
    @SuppressWarnings("AddressSelection")
    private static void sendRequest(int port, String method, String path, byte[] body)
            throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write(
                            (method
                                            + ' '
                                            + path
                                            + " HTTP/1.1\r\nHost: training\r\n"
                                            + "Connection: close\r\nContent-Length: "
                                            + body.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            InputStream response = socket.getInputStream();
            response.readAllBytes();
        }
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        Path own =
                Path.of(
                        ClassArchiveTraining.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .getPath());
        try (JarFile jar = new JarFile(own.toFile())) {
            for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
                String name = entry.getName();
                if (name.startsWith(OWN_CLASS_PATH_PREFIX)
                        && EXCLUDED_PATH_PREFIXES.stream().noneMatch(name::startsWith)
                        && name.endsWith(CLASS_FILE_SUFFIX)) {
                    Class.forName(
                            name.substring(0, name.length() - CLASS_FILE_SUFFIX.length())
                                    .replace('/', '.'));
                }
            }
        }
    }
}
