package org.meadowhollow.protocol.tes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.meadowhollow.model.JobId;
import org.meadowhollow.model.SecondaryRecord;
import org.meadowhollow.protocol.Fields;
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.Json;
import org.meadowhollow.protocol.Malformed;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * Lists a team's tasks, the newest first, from one entry a task whose key never changes. A page
 * ends at a key, so the next one goes on from there at any node, and no task that is there all the
 * while is missed or told twice.
 */
final class TesListing {
    static final String PREFIX = "tes-";
    private static final Pattern ID = Pattern.compile("tes-[0-9a-f]{26}");
    private static final String ENTRIES = "tesx/";

    /** Hex digits of a team's hash in a key; names may hold what keys may not. */
    private static final int TEAM_DIGITS = 16;

    /**
     * Later times come first: keys count down from the largest time of this many digits, far in the
     * future.
     */
    private static final long LATEST = 9_999_999_999_999L;

    private static final Pattern REST_OF_KEY = Pattern.compile("[0-9]{13}-" + ID.pattern());
    private static final int DEFAULT_PAGE = 256;
    private static final int MOST_ON_PAGE = 2048;

    /**
     * Reads of the state service for one request, each of up to 1,000 entries; a page may come out
     * shorter for it.
     */
    private static final int MOST_READS = 4;

    /** Tasks told with more than their state on a page, each of which takes a read of its own. */
    private static final int MOST_WHOLE = 32;

    /**
     * Lists at a time; others are told to come back, for the state service serves native users as
     * well.
     */
    private static final int MOST_LISTS = 4;

    /** What the list keeps of a task; its state and its attempts come beside it. */
    record Entry(String id, String name, Map<String, Object> tags, long createdMillis) {
        Map<String, Object> encode() {
            return Fields.of(
                    "id",
                    id,
                    "name",
                    name == null ? "" : name,
                    "tags",
                    tags,
                    "created",
                    createdMillis);
        }

        int bytes() {
            return Json.encode(encode()).length;
        }
    }

    private record Query(
            String team,
            String namePrefix,
            String state,
            Map<String, String> tags,
            TesApi.View view,
            int most) {
        /**
         * Without a filter every entry is told, so that no more need be read than go onto the page.
         */
        int toRead(int found) {
            boolean all = namePrefix == null && state == null && tags.isEmpty();
            return all
                    ? Math.min(KeyValueStore.MAX_PAGE_SIZE, most - found)
                    : KeyValueStore.MAX_PAGE_SIZE;
        }
    }

    private final TesApi api;
    private final KeyValueStore store;
    private int lists;

    TesListing(TesApi api, KeyValueStore store) {
        this.api = api;
        this.store = store;
    }

    static boolean isId(String text) {
        return ID.matcher(text).matches();
    }

    private static String prefix(String team) {
        return ENTRIES
                + HexFormat.of().formatHex(TesTokens.sha256(team)).substring(0, TEAM_DIGITS)
                + '/';
    }

    static String key(String team, long createdMillis, JobId id) {
        return prefix(team) + "%013d".formatted(LATEST - createdMillis) + '-' + id.value();
    }

    CompletableFuture<Http.Reply> list(String team, Map<String, List<String>> parameters)
            throws Malformed {
        TesApi.View view = TesApi.View.of(parameters);
        int most = pageSize(parameters);
        Query query =
                new Query(
                        team,
                        first(parameters, "name_prefix"),
                        state(parameters),
                        tags(parameters),
                        view,
                        view == TesApi.View.MINIMAL ? most : Math.min(most, MOST_WHOLE));
        String after = after(team, first(parameters, "page_token"));
        synchronized (this) {
            if (lists >= MOST_LISTS) {
                return CompletableFuture.completedFuture(
                        TesApi.comeBack("too many lists are being made"));
            }
            lists++;
        }
        return read(query, after, new ArrayList<>(), MOST_READS)
                .whenComplete(
                        (reply, failure) -> {
                            synchronized (this) {
                                lists--;
                            }
                        });
    }

    private static String first(Map<String, List<String>> parameters, String key) {
        List<String> values = parameters.get(key);
        return values == null || values.get(0).isEmpty() ? null : values.get(0);
    }

    private static int pageSize(Map<String, List<String>> parameters) throws Malformed {
        String text = first(parameters, "page_size");
        if (text == null) {
            return DEFAULT_PAGE;
        }
        try {
            int size = Integer.parseInt(text);
            if (size >= 1 && size <= MOST_ON_PAGE) {
                return size;
            }
        } catch (NumberFormatException notANumber) {
            // One message for every wrong size.
        }
        throw new Malformed("page_size is not from 1 to " + MOST_ON_PAGE);
    }

    private static String state(Map<String, List<String>> parameters) throws Malformed {
        String state = first(parameters, "state");
        if (state != null && !TesApi.STATES.contains(state)) {
            throw new Malformed("state is none of " + TesApi.STATES);
        }
        return state;
    }

    /** A key without a value, or with an empty one, asks for any value. */
    private static Map<String, String> tags(Map<String, List<String>> parameters) throws Malformed {
        List<String> keys = parameters.getOrDefault("tag_key", List.of());
        List<String> values = parameters.getOrDefault("tag_value", List.of());
        if (values.size() > keys.size()) {
            throw new Malformed("tag_value comes without its tag_key");
        }
        Map<String, String> tags = new HashMap<>();
        for (int at = 0; at < keys.size(); at++) {
            tags.put(keys.get(at), at < values.size() ? values.get(at) : "");
        }
        return tags;
    }

    /**
     * A token is the end of the last page's key without the team, so it leads into no other team's
     * tasks.
     */
    private static String after(String team, String token) throws Malformed {
        if (token == null) {
            return null;
        }
        try {
            String rest =
                    new String(Base64.getUrlDecoder().decode(token), StandardCharsets.US_ASCII);
            if (REST_OF_KEY.matcher(rest).matches()) {
                return prefix(team) + rest;
            }
        } catch (IllegalArgumentException notOurs) {
            // One message for every wrong token.
        }
        throw new Malformed("page_token is not one that a list gave");
    }

    private CompletableFuture<Http.Reply> read(
            Query query, String after, List<Map<String, Object>> found, int reads) {
        String prefix = prefix(query.team());
        return store.list(prefix, after, query.toRead(found.size()), RequestPriority.BACKGROUND)
                .thenCompose(
                        page -> {
                            String last = after;
                            for (KeyValueStore.Entry entry : page.entries()) {
                                if (found.size() == query.most()) {
                                    return told(query, found, last);
                                }
                                last = entry.key();
                                if (matches(entry.value(), query)) {
                                    found.add(entry.value());
                                }
                            }
                            if (!page.hasMore()) {
                                return told(query, found, null);
                            }
                            return found.size() == query.most() || reads == 1
                                    ? told(query, found, last)
                                    : read(query, last, found, reads - 1);
                        });
    }

    @SuppressWarnings("unchecked")
    private static boolean matches(Map<String, Object> entry, Query query) {
        if (query.namePrefix() != null
                        && !((String) entry.get("name")).startsWith(query.namePrefix())
                || query.state() != null
                        && !query.state()
                                .equals(TesApi.stateName(SecondaryRecord.phaseOf(entry)))) {
            return false;
        }
        Map<String, Object> tags = (Map<String, Object>) entry.get("tags");
        return query.tags().entrySet().stream()
                .allMatch(
                        asked ->
                                tags.containsKey(asked.getKey())
                                        && (asked.getValue().isEmpty()
                                                || asked.getValue()
                                                        .equals(tags.get(asked.getKey()))));
    }

    /**
     * @param last the key that the next page begins after, or null if there is none
     */
    private CompletableFuture<Http.Reply> told(
            Query query, List<Map<String, Object>> found, String last) {
        List<CompletableFuture<Map<String, Object>>> tasks = new ArrayList<>();
        for (Map<String, Object> entry : found) {
            tasks.add(
                    query.view() == TesApi.View.MINIMAL
                            ? CompletableFuture.completedFuture(TesApi.minimal(entry))
                            : api.kept((String) entry.get("id"), RequestPriority.BACKGROUND)
                                    .thenApply(
                                            kept ->
                                                    TesApi.whole(
                                                            (String) entry.get("id"),
                                                            kept,
                                                            entry,
                                                            query.view())));
        }
        return CompletableFuture.allOf(tasks.toArray(CompletableFuture[]::new))
                .thenApply(
                        unused -> {
                            Map<String, Object> body =
                                    Fields.of(
                                            "tasks",
                                            tasks.stream().map(CompletableFuture::join).toList());
                            if (last != null) {
                                body.put(
                                        "next_page_token",
                                        Base64.getUrlEncoder()
                                                .withoutPadding()
                                                .encodeToString(
                                                        last.substring(
                                                                        prefix(query.team())
                                                                                .length())
                                                                .getBytes(
                                                                        StandardCharsets
                                                                                .US_ASCII)));
                            }
                            return TesApi.ok(body);
                        });
    }
}
