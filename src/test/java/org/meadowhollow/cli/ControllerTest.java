package org.meadowhollow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.meadowhollow.protocol.MessagePackCodec;
import org.meadowhollow.protocol.MessageReader;

/** Tests a real controller on loopback whose key-value store and cloud are unreachable. */
class ControllerTest {
    private static final String SETTINGS =
            """
            {"member":"n0","area":"z","listen":"127.0.0.1:0","back":"127.0.0.1:0","known":[],"news":1,
             "external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:1"},
             "settings":{"size":1,"zones":["z"],"teams":[{"name":"t","gpus_max":4}],
              "objectives":[{"kind":"wait","class":"c","within_s":1.0}],
              "workers":{"report_s":3.0,"lease_s":18.0,"gang_wait_s":30.0,"gang_peer_s":6.0,"cancel_s":48.0},
              "state":{"rps":80.0,"write_rps":30.0,"value_kb":16.0,"txn_ops":12},
              "cloud":{"rps":8.0,"list_lag_s":10.0}}}""";

    @TempDir private Path folder;

    private Settings readSettings(String text)
            throws IOException, Settings.InvalidSettingsException {
        Path file = folder.resolve("settings.json");
        Files.writeString(file, text);
        return Settings.read(file);
    }

    private static String sendRequest(int port, String method, String path, byte[] body)
            throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(
                            (method
                                            + ' '
                                            + path
                                            + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                                            + "Content-Length: "
                                            + body.length
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            try {
                socket.getOutputStream().write(body);
            } catch (IOException refusedEarly) {
                // The server may respond before it has read a body that is too large.
            }
            InputStream response = socket.getInputStream();
            return new String(response.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String status(String response) {
        return response.split(" ", -1)[1];
    }

    @Test
    void malformedAndUnanswerableRequestsGetAnErrorStatus() throws Exception {
        try (Controller controller = Controller.builder(readSettings(SETTINGS)).start()) {
            int port = controller.port();
            byte[] emptyBody = new byte[0];
            assertEquals("503", status(sendRequest(port, "GET", "/ready", emptyBody)));
            assertEquals("404", status(sendRequest(port, "GET", "/elsewhere", emptyBody)));
            assertEquals(
                    "404", status(sendRequest(port, "GET", "/submissions/nonsense", emptyBody)));
            assertEquals("405", status(sendRequest(port, "PUT", "/submissions", emptyBody)));
            assertEquals("400", status(sendRequest(port, "POST", "/submissions", emptyBody)));
            assertEquals(
                    "400",
                    status(
                            sendRequest(
                                    port,
                                    "POST",
                                    "/hello",
                                    MessagePackCodec.encode(MessageReader.mapOf("stall", "m")))));
            assertEquals(
                    "400", status(sendRequest(port, "POST", "/submissions", new byte[70_000])));
            String later = sendRequest(port, "GET", "/submissions/req-1", emptyBody);
            assertEquals(
                    "503",
                    status(later),
                    "without the store, nothing shows that the job does not exist");
            assertTrue(later.contains("Retry-After: 1"));
        }
    }

    private static final String TOKEN_HASH =
            "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

    private TesOptions parseTesOptions(String listen, String token, Map<String, String> variables)
            throws Exception {
        return TesOptions.parse(
                listen,
                token == null ? List.of() : List.of(token),
                null,
                null,
                variables,
                readSettings(SETTINGS));
    }

    @Test
    void theTaskExecutionApiHasItsOwnPort() throws Exception {
        TesOptions options =
                parseTesOptions(
                        "127.0.0.1:0", null, Map.of(TesOptions.TOKENS_VARIABLE, "t=" + TOKEN_HASH));
        try (Controller controller =
                Controller.builder(readSettings(SETTINGS)).tes(options).start()) {
            int port = controller.tesPort();
            byte[] emptyBody = new byte[0];
            assertEquals(
                    "404",
                    status(
                            sendRequest(
                                    controller.port(),
                                    "GET",
                                    "/ga4gh/tes/v1/service-info",
                                    emptyBody)));
            String info = sendRequest(port, "GET", "/ga4gh/tes/v1/service-info", emptyBody);
            assertEquals("200", status(info));
            assertTrue(
                    info.contains("Content-Type: application/json") && info.contains("\"1.1.0\""),
                    info);
            String unknown = sendRequest(port, "GET", "/ga4gh/tes/v1/tasks", emptyBody);
            assertEquals("401", status(unknown));
            assertTrue(unknown.contains("WWW-Authenticate: Bearer"), unknown);
            assertEquals("404", status(sendRequest(port, "GET", "/submissions/req-1", emptyBody)));
            assertEquals(
                    "405",
                    status(sendRequest(port, "DELETE", "/ga4gh/tes/v1/service-info", emptyBody)));
            assertEquals(
                    "413",
                    status(sendRequest(port, "POST", "/ga4gh/tes/v1/tasks", new byte[70_000])));
        }
        try (Controller controller = Controller.builder(readSettings(SETTINGS)).start()) {
            assertEquals(-1, controller.tesPort(), "off by default");
        }
    }

    @Test
    void errorsNameTheInvalidFlagOfTheTaskExecutionApi() throws Exception {
        assertNull(parseTesOptions(null, null, Map.of()));
        assertEquals(
                List.of("t"),
                parseTesOptions("127.0.0.1:0", "t=" + TOKEN_HASH, Map.of()).tokens().teams());
        for (String[] wrong :
                new String[][] {
                    {null, "t=" + TOKEN_HASH, "--tes-listen"},
                    {"nowhere", "t=" + TOKEN_HASH, "--tes-listen"},
                    {"127.0.0.1:0", null, "--tes-token"},
                    {"127.0.0.1:0", "t=12", "TEAM=SHA256"},
                    {"127.0.0.1:0", "nobody=" + TOKEN_HASH, "nobody"}
                }) {
            Settings.InvalidSettingsException invalidSettingsException =
                    assertThrows(
                            Settings.InvalidSettingsException.class,
                            () -> parseTesOptions(wrong[0], wrong[1], Map.of()));
            assertTrue(
                    invalidSettingsException.getMessage().contains(wrong[2])
                            && !invalidSettingsException.getMessage().contains(TOKEN_HASH),
                    invalidSettingsException.getMessage());
        }
    }

    @Test
    void theReservationApiHasItsOwnPort() throws Exception {
        ReservationOptions options =
                ReservationOptions.fromFlags(
                        "127.0.0.1:0",
                        List.of("operator=" + TOKEN_HASH),
                        null,
                        null,
                        List.of("t=4", "t/z=2"),
                        Map.of());
        try (Controller controller =
                Controller.builder(readSettings(SETTINGS)).calendar(options).start()) {
            byte[] emptyBody = new byte[0];
            assertEquals(
                    "401",
                    status(
                            sendRequest(
                                    controller.calendarPort(),
                                    "GET",
                                    "/calendar/v1/plan",
                                    emptyBody)));
            assertEquals(
                    "404",
                    status(sendRequest(controller.port(), "GET", "/calendar/v1/plan", emptyBody)));
            assertEquals(
                    "413",
                    status(
                            sendRequest(
                                    controller.calendarPort(),
                                    "PUT",
                                    "/calendar/v1/windows/w",
                                    new byte[70_000])));
        }
        assertNull(ReservationOptions.fromFlags(null, List.of(), null, null, List.of(), Map.of()));
        for (String[] wrong :
                new String[][] {
                    {null, "operator=" + TOKEN_HASH, "t=4", "--calendar-listen"},
                    {"127.0.0.1:0", "t=" + TOKEN_HASH, "t=4", "--calendar-token"},
                    {"127.0.0.1:0", "operator=12", "t=4", "SHA256"},
                    {"127.0.0.1:0", "operator=" + TOKEN_HASH, "t=many", "--calendar-most"}
                }) {
            Settings.InvalidSettingsException invalidSettingsException =
                    assertThrows(
                            Settings.InvalidSettingsException.class,
                            () ->
                                    ReservationOptions.fromFlags(
                                            wrong[0],
                                            List.of(wrong[1]),
                                            null,
                                            null,
                                            List.of(wrong[2]),
                                            Map.of()));
            assertTrue(
                    invalidSettingsException.getMessage().contains(wrong[3]),
                    invalidSettingsException.getMessage());
        }
    }

    @Test
    void fileDescriptorsAreReservedForOutboundConnections() throws Exception {
        assertEquals(
                0,
                Listeners.maxCallerConnections(readSettings(SETTINGS)),
                "the settings file sets no file descriptor limit");
        String settingsWithLimit =
                SETTINGS.replace(
                        "\"state\":{\"rps\"", "\"quota\":{\"fd_limit\":2000},\"state\":{\"rps\"");
        int limit = Listeners.maxCallerConnections(readSettings(settingsWithLimit));
        assertTrue(limit >= 1500 && limit <= 1700, "a few hundred are reserved: " + limit);
        int lowLimit =
                Listeners.maxCallerConnections(
                        readSettings(settingsWithLimit.replace("2000", "300")));
        assertEquals(150, lowLimit, "callers get at least half");
    }

    @Test
    void invalidSettingsGiveAOneLineError() {
        for (String[] wrong :
                new String[][] {
                    {"127.0.0.1:0\",\"back", "nowhere\",\"back"},
                    {"\"lease_s\":18.0,", ""},
                    {"48.0", "18.0"},
                    {"\"rps\":80.0", "\"rps\":\"many\""},
                    {"\"size\":1", "\"quota\":{\"fd_limit\":-1}"},
                    {"{\"member\"", "[\"member\""}
                }) {
            String text = SETTINGS.replace(wrong[0], wrong[1]);
            Settings.InvalidSettingsException invalidSettingsException =
                    assertThrows(
                            Settings.InvalidSettingsException.class,
                            () -> readSettings(text),
                            wrong[1]);
            assertEquals(1, invalidSettingsException.getMessage().lines().count());
        }
    }
}
