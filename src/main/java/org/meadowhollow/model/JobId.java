package org.meadowhollow.model;

import java.util.regex.Pattern;

/** The identifier of a job; the identifiers of native jobs are chosen by the user. */
public record JobId(String value) implements Comparable<JobId> {
    /** The key-value store limits the length of the keys that contain an identifier. */
    private static final Pattern VALID_FORM = Pattern.compile("req-[0-9]{1,150}");

    /**
     * Whether a text has the form of a native job's identifier; a native job with any other
     * identifier cannot have been admitted.
     */
    public static boolean isWellFormed(String text) {
        return VALID_FORM.matcher(text).matches();
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
