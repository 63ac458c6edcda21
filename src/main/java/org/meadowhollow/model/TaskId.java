package org.meadowhollow.model;

/**
 * The identifier of a task.
 *
 * @param index the task's position in its job, from 0
 */
public record TaskId(JobId jobId, int index) {
    /** The maximum number of digits in an index, so that parsing cannot overflow. */
    private static final int MAX_INDEX_DIGITS = 7;

    /** Parses the form {@code req-000412/3}; returns null for a text that is not of that form. */
    public static TaskId parse(String text) {
        int slash = text.indexOf('/');
        int digits = text.length() - slash - 1;
        if (slash < 1 || digits < 1 || digits > MAX_INDEX_DIGITS) {
            return null;
        }
        int index = 0;
        for (int position = slash + 1; position < text.length(); position++) {
            char digit = text.charAt(position);
            if (digit < '0' || digit > '9') {
                return null;
            }
            index = index * 10 + (digit - '0');
        }
        return new TaskId(new JobId(text.substring(0, slash)), index);
    }

    @Override
    public String toString() {
        return jobId.value() + '/' + index;
    }
}
