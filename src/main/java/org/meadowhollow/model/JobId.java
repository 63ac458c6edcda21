package org.meadowhollow.model;

import java.util.regex.Pattern;

/** A job's name, chosen by its user. */
public record JobId(String value) implements Comparable<JobId> {
    private static final Pattern VALID_FORM = Pattern.compile("req-[0-9]{1,19}");

    /** Whether users' ids always look like this; anything else can never have been accepted. */
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
