package org.meadowhollow.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import org.meadowhollow.protocol.Wire;
import org.meadowhollow.protocol.Fields;

/**
 * Run once by the build, to load the classes that a controller needs so that the JVM can archive them.
 * Starting from that archive costs a fraction of a cold start, which matters after a crash.
 */
final class Rehearsal {
    private static final String OWN_CLASSES = "org/meadowhollow/";
    private static final String CLASS = ".class";

    private Rehearsal() {
    }

    /** Starts a controller without any outside service, asks it a few things, and loads the rest by name. */
    static void run() throws IOException, Settings.Unusable, ClassNotFoundException {
        Path file = Files.createTempFile("meadowhollow", ".json");
        try {
            Files.writeString(file, """
                    {"member":"rehearsal","area":"z","listen":"127.0.0.1:0","back":"127.0.0.1:0","known":[],
                     "external":{"cloud":"127.0.0.1:9","state":"127.0.0.1:9"},
                     "settings":{"size":1,"zones":["z"],"teams":[{"name":"t"}],
                      "objectives":[{"kind":"wait","class":"c","within_s":1.0}],
                      "workers":{"report_s":3.0,"lease_s":18.0,"gang_wait_s":30.0,"gang_peer_s":6.0,"cancel_s":48.0},
                      "state":{"rps":80.0,"write_rps":30.0,"value_kb":16.0,"txn_ops":12},
                      "cloud":{"rps":8.0,"list_lag_s":10.0}}}""");
            try (Controller controller = Controller.builder(Settings.read(file)).start()) {
                ask(controller.port(), "GET", "/ready", new byte[0]);
                ask(controller.port(), "GET", "/submissions/req-1", new byte[0]);
                ask(controller.port(), "POST", "/submissions", Wire.encode(Fields.of("ref", "req-1")));
                ask(controller.port(), "POST", "/hello", Wire.encode(Fields.of("stall", "m-1")));
            }
        } finally {
            Files.delete(file);
        }
        loadOwnClasses();
    }

    private static void ask(int port, String method, String path, byte[] body) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write((method + ' ' + path + " HTTP/1.1\r\nHost: rehearsal\r\n"
                    + "Connection: close\r\nContent-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            InputStream answer = socket.getInputStream();
            answer.readAllBytes();
        }
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        Path own = Path.of(Rehearsal.class.getProtectionDomain().getCodeSource().getLocation().getPath());
        try (JarFile jar = new JarFile(own.toFile())) {
            for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
                String name = entry.getName();
                if (name.startsWith(OWN_CLASSES) && name.endsWith(CLASS)) {
                    Class.forName(name.substring(0, name.length() - CLASS.length()).replace('/', '.'));
                }
            }
        }
    }
}
