package org.meadowhollow.protocol.tes;

import com.google.errorprone.annotations.concurrent.GuardedBy;
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
import org.meadowhollow.protocol.Http;
import org.meadowhollow.protocol.JsonCodec;
import org.meadowhollow.protocol.MalformedMessageException;
import org.meadowhollow.protocol.MessageReader;
import org.meadowhollow.storage.KeyValueStore;
import org.meadowhollow.storage.KeyValueStore.RequestPriority;

/**
 * Lists a team's tasks, newest first. Each task has one list entry whose key never changes. A page
 * token encodes the last key of a page, so any node can serve the next page, and a task that exists
 * throughout is neither missed nor listed twice. Thread-safe: the lock guards the count of listings
 * in progress.
 */
final class TesTaskListing {
    static final String ID_PREFIX = "tes-";
    private static final Pattern ID_PATTERN = Pattern.compile("tes-[0-9a-f]{26}");
    private static final String ENTRY_KEY_PREFIX = "tesx/";

    /**
     * The number of hex digits of a team's hash in a key. The name itself is not used, because it
     * may contain characters that keys may not.
     */
    private static final int TEAM_HASH_DIGITS = 16;

    /**
     * The largest creation time. Keys hold this value less the creation time, so that newer tasks
     * sort first. It is the largest time of 13 digits, in the year 2286.
     */
    private static final long MAX_CREATED_MILLIS = 9_999_999_999_999L;

    private static final Pattern KEY_SUFFIX_PATTERN =
            Pattern.compile("[0-9]{13}-" + ID_PATTERN.pattern());
    private static final int DEFAULT_PAGE_SIZE = 256;
    private static final int MAX_PAGE_SIZE = 2048;

    /**
     * The most reads of the key-value store for one request, each of up to 1,000 entries. A page
     * may be shorter than requested because of this limit.
     */
    private static final int MAX_READS_PER_REQUEST = 4;

    /**
     * The most tasks on a page of a detailed view, each of which takes a separate read of the
     * store.
     */
    private static final int MAX_DETAILED_TASKS = 32;

    /**
     * The most listings in progress at a time. Further ones are told to retry, because the
     * key-value store also serves native users.
     */
    private static final int MAX_CONCURRENT_LISTINGS = 4;

    /**
     * The part of a task's list entry that never changes; the entry also holds the state and the
     * attempts.
     */
    record ListedTask(String id, String name, Map<String, Object> tags, long createdMillis) {
        Map<String, Object> encode() {
            return MessageReader.mapOf(
                    "id",
                    id,
                    "name",
                    name == null ? "" : name,
                    "tags",
                    tags,
                    "created",
                    createdMillis);
        }

        int encodedSize() {
            return JsonCodec.encode(encode()).length;
        }
    }

    private record Query(
            String team,
            String namePrefix,
            String state,
            Map<String, String> tags,
            TesTaskView view,
            int limit) {
        /**
         * Returns the number of entries to read next. Without a filter every entry matches, so no
         * more are read than fit on the page.
         */
        int nextReadSize(int found) {
            boolean unfiltered = namePrefix == null && state == null && tags.isEmpty();
            return unfiltered
                    ? Math.min(KeyValueStore.MAX_PAGE_SIZE, limit - found)
                    : KeyValueStore.MAX_PAGE_SIZE;
        }
    }

    private final TesTaskStore taskStore;
    private final KeyValueStore store;

    @GuardedBy("this")
    private int activeListings;

    TesTaskListing(TesTaskStore taskStore, KeyValueStore store) {
        this.taskStore = taskStore;
        this.store = store;
    }

    static boolean isId(String text) {
        return ID_PATTERN.matcher(text).matches();
    }

    private static String teamKeyPrefix(String team) {
        return ENTRY_KEY_PREFIX
                + HexFormat.of().formatHex(BearerTokens.sha256(team)).substring(0, TEAM_HASH_DIGITS)
                + '/';
    }

    static String entryKey(String team, long createdMillis, JobId id) {
        return teamKeyPrefix(team)
                + "%013d".formatted(MAX_CREATED_MILLIS - createdMillis)
                + '-'
                + id.value();
    }

    CompletableFuture<Http.Reply> list(String team, Map<String, List<String>> parameters)
            throws MalformedMessageException {
        TesTaskView view = TesTaskView.fromQuery(parameters);
        int pageSize = parsePageSize(parameters);
        Query query =
                new Query(
                        team,
                        firstValueOrNull(parameters, "name_prefix"),
                        parseStateFilter(parameters),
                        parseTagFilter(parameters),
                        view,
                        view == TesTaskView.MINIMAL
                                ? pageSize
                                : Math.min(pageSize, MAX_DETAILED_TASKS));
        String after = parsePageToken(team, firstValueOrNull(parameters, "page_token"));
        synchronized (this) {
            if (activeListings >= MAX_CONCURRENT_LISTINGS) {
                return CompletableFuture.completedFuture(
                        TesReplies.retryLater("too many lists are being made"));
            }
            activeListings++;
        }
        return collectMatches(query, after, new ArrayList<>(), MAX_READS_PER_REQUEST)
                .whenComplete(
                        (reply, failure) -> {
                            synchronized (this) {
                                activeListings--;
                            }
                        });
    }

    private static String firstValueOrNull(Map<String, List<String>> parameters, String key) {
        List<String> values = parameters.get(key);
        return values == null || values.get(0).isEmpty() ? null : values.get(0);
    }

    private static int parsePageSize(Map<String, List<String>> parameters)
            throws MalformedMessageException {
        String text = firstValueOrNull(parameters, "page_size");
        if (text == null) {
            return DEFAULT_PAGE_SIZE;
        }
        try {
            int size = Integer.parseInt(text);
            if (size >= 1 && size <= MAX_PAGE_SIZE) {
                return size;
            }
        } catch (NumberFormatException notANumber) {
            // Rejected below with the same message as a size out of range.
        }
        throw new MalformedMessageException("page_size is not from 1 to " + MAX_PAGE_SIZE);
    }

    private static String parseStateFilter(Map<String, List<String>> parameters)
            throws MalformedMessageException {
        String state = firstValueOrNull(parameters, "state");
        if (state != null && !TesTaskView.STATES.contains(state)) {
            throw new MalformedMessageException("state is none of " + TesTaskView.STATES);
        }
        return state;
    }

    /** Parses the tag filter. A key with no value or an empty value matches any value. */
    private static Map<String, String> parseTagFilter(Map<String, List<String>> parameters)
            throws MalformedMessageException {
        List<String> keys = parameters.getOrDefault("tag_key", List.of());
        List<String> values = parameters.getOrDefault("tag_value", List.of());
        if (values.size() > keys.size()) {
            throw new MalformedMessageException("tag_value comes without its tag_key");
        }
        Map<String, String> tags = new HashMap<>();
        for (int index = 0; index < keys.size(); index++) {
            tags.put(keys.get(index), index < values.size() ? values.get(index) : "");
        }
        return tags;
    }

    /**
     * Parses a page token into the key after which the page begins. A token holds the last key
     * without the team's prefix, so it cannot give access to another team's tasks.
     */
    private static String parsePageToken(String team, String token)
            throws MalformedMessageException {
        if (token == null) {
            return null;
        }
        try {
            String keySuffix =
                    new String(Base64.getUrlDecoder().decode(token), StandardCharsets.US_ASCII);
            if (KEY_SUFFIX_PATTERN.matcher(keySuffix).matches()) {
                return teamKeyPrefix(team) + keySuffix;
            }
        } catch (IllegalArgumentException invalidEncoding) {
            // Rejected below with the same message as any other invalid token.
        }
        throw new MalformedMessageException("page_token is not one that a list gave");
    }

    private CompletableFuture<Http.Reply> collectMatches(
            Query query, String after, List<Map<String, Object>> found, int remainingReads) {
        String prefix = teamKeyPrefix(query.team());
        return store.list(
                        prefix, after, query.nextReadSize(found.size()), RequestPriority.BACKGROUND)
                .thenCompose(
                        page -> {
                            String last = after;
                            for (KeyValueStore.Entry entry : page.entries()) {
                                if (found.size() == query.limit()) {
                                    return buildPage(query, found, last);
                                }
                                last = entry.key();
                                if (matches(entry.value(), query)) {
                                    found.add(entry.value());
                                }
                            }
                            if (!page.hasMore()) {
                                return buildPage(query, found, null);
                            }
                            return found.size() == query.limit() || remainingReads == 1
                                    ? buildPage(query, found, last)
                                    : collectMatches(query, last, found, remainingReads - 1);
                        });
    }

    @SuppressWarnings("unchecked")
    private static boolean matches(Map<String, Object> entry, Query query) {
        if (query.namePrefix() != null
                && !((String) entry.get("name")).startsWith(query.namePrefix())) {
            return false;
        }
        if (query.state() != null
                && !query.state().equals(TesTaskView.stateName(SecondaryRecord.phaseOf(entry)))) {
            return false;
        }
        Map<String, Object> tags = (Map<String, Object>) entry.get("tags");
        return query.tags().entrySet().stream()
                .allMatch(
                        tag ->
                                tags.containsKey(tag.getKey())
                                        && (tag.getValue().isEmpty()
                                                || tag.getValue().equals(tags.get(tag.getKey()))));
    }

    /** Renders one task of a page. A detailed view reads the task's record. */
    private CompletableFuture<Map<String, Object>> renderTask(
            Map<String, Object> entry, TesTaskView view) {
        if (view == TesTaskView.MINIMAL) {
            return CompletableFuture.completedFuture(TesTaskView.minimal(entry));
        }
        String id = (String) entry.get("id");
        return taskStore
                .load(id, RequestPriority.BACKGROUND)
                .thenApply(storedTask -> view.render(id, storedTask, entry));
    }

    /**
     * Returns the token of the page that begins after a key; {@link #parsePageToken} decodes it.
     */
    private static String pageToken(String team, String last) {
        String keySuffix = last.substring(teamKeyPrefix(team).length());
        return Base64.getUrlEncoder()
                .withoutPadding()
                .encodeToString(keySuffix.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Builds the response with one page of tasks.
     *
     * @param last the key after which the next page begins, or null if this is the last page
     */
    private CompletableFuture<Http.Reply> buildPage(
            Query query, List<Map<String, Object>> found, String last) {
        List<CompletableFuture<Map<String, Object>>> tasks = new ArrayList<>();
        for (Map<String, Object> entry : found) {
            tasks.add(renderTask(entry, query.view()));
        }
        return CompletableFuture.allOf(tasks.toArray(CompletableFuture[]::new))
                .thenApply(
                        unused -> {
                            Map<String, Object> body =
                                    MessageReader.mapOf(
                                            "tasks",
                                            tasks.stream().map(CompletableFuture::join).toList());
                            if (last != null) {
                                body.put("next_page_token", pageToken(query.team(), last));
                            }
                            return TesReplies.ok(body);
                        });
    }
}
