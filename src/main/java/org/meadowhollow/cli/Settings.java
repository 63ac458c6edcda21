package org.meadowhollow.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.meadowhollow.coordination.api.DeploymentSettings;
import org.meadowhollow.model.Resources;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Json;
import org.meadowhollow.protocol.Malformed;

/**
 * The platform's settings file, checked.
 *
 * @param skew how far the time of day may be off on either side, zero if the file does not say
 * @param zone that this node is in, empty if the file does not say
 * @param sockets how many sockets and files the process may have open, 0 if the file does not say
 */
public record Settings(
        Endpoint listen,
        Endpoint back,
        Map<String, String> peers,
        String cloud,
        String state,
        String zone,
        int sockets,
        DeploymentSettings platform,
        Duration skew) {

    /** An address of this machine. */
    public record Endpoint(String host, int port) {}

    /** The settings cannot be used; the text says why. */
    public static final class Unusable extends Exception {
        Unusable(String why) {
            super(why);
        }
    }

    public static Settings read(Path file) throws Unusable {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException unreadable) {
            throw new Unusable("cannot read the settings file " + file);
        }
        try {
            return of(new Fields(Json.decode(bytes)));
        } catch (Malformed wrong) {
            throw new Unusable(file + ": " + wrong.getMessage());
        }
    }

    private static Settings of(Fields file) throws Malformed {
        Map<String, String> peers = new LinkedHashMap<>();
        for (Fields peer : file.list("known")) {
            peers.put(peer.text("member"), address(peer.text("addr"), "known"));
        }
        Fields external = file.fields("external");
        Endpoint listen = endpoint(file.text("listen"), "listen");
        Endpoint back = endpoint(file.text("back"), "back");
        return new Settings(
                listen,
                back,
                peers,
                address(external.text("cloud"), "cloud"),
                address(external.text("state"), "state"),
                Objects.requireNonNullElse(file.textOrNull("area"), ""),
                sockets(file.fields("settings")),
                platform(file.text("member"), file.fields("settings")),
                Duration.ofNanos((long) (file.fields("settings").amountOr("skew_ms", 0) * 1e6)));
    }

    private static int sockets(Fields settings) throws Malformed {
        return settings.has("quota") && settings.fields("quota").has("fd_limit")
                ? (int) Math.min(Integer.MAX_VALUE, positive(settings.fields("quota"), "fd_limit"))
                : 0;
    }

    private static DeploymentSettings platform(String member, Fields settings) throws Malformed {
        Map<String, DeploymentSettings.TeamQuota> teams = new LinkedHashMap<>();
        for (Fields team : settings.list("teams")) {
            teams.put(
                    team.text("name"),
                    new DeploymentSettings.TeamQuota(
                            team.text("name"),
                            Resources.of(team.amountOr("cpus", 0), team.amountOr("gpus", 0), 0),
                            Resources.of(
                                    team.amountOr("cpus_max", 0),
                                    team.amountOr("gpus_max", 0),
                                    0)));
        }
        List<DeploymentSettings.ServiceLevelTarget> objectives = new ArrayList<>();
        for (Fields objective : settings.list("objectives")) {
            objectives.add(
                    new DeploymentSettings.ServiceLevelTarget(
                            objective.text("kind"),
                            objective.textOrNull("class"),
                            objective.amountOr("within_s", Double.NaN)));
        }
        List<String> zones = settings.textsOrNull("zones");
        Fields workers = settings.fields("workers");
        Fields state = settings.fields("state");
        Fields cloud = settings.fields("cloud");
        Duration lease = seconds(workers, "lease_s");
        Duration cancel = seconds(workers, "cancel_s");
        if (cancel.compareTo(lease) <= 0) {
            throw new Malformed("cancel_s must be longer than lease_s");
        }
        return new DeploymentSettings(
                member,
                zones == null ? List.of() : zones,
                teams,
                objectives,
                seconds(workers, "report_s"),
                lease,
                seconds(workers, "gang_wait_s"),
                cancel,
                positive(state, "rps"),
                positive(state, "write_rps"),
                (int) (positive(state, "value_kb") * 1024),
                (int) positive(state, "txn_ops"),
                positive(cloud, "rps"),
                seconds(cloud, "list_lag_s"));
    }

    private static Duration seconds(Fields fields, String key) throws Malformed {
        return Duration.ofNanos((long) (positive(fields, key) * 1e9));
    }

    private static double positive(Fields fields, String key) throws Malformed {
        double amount = fields.amount(key);
        if (amount <= 0) {
            throw new Malformed(key + " must be above 0");
        }
        return amount;
    }

    private static String address(String text, String key) throws Malformed {
        endpoint(text, key);
        return text;
    }

    static Endpoint endpoint(String text, String key) throws Malformed {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 65536) {
                return new Endpoint(text.substring(0, colon), port);
            }
        } catch (NumberFormatException notANumber) {
            // Falls through to the one message for every wrong address.
        }
        throw new Malformed(key + " is not an address of the form host:port");
    }
}
