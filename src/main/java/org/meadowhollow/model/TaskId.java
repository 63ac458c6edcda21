package org.meadowhollow.model;

/** One task of a job, numbered from 0. */
public record TaskId(JobId jobId, int index) {
    /** Reads the form {@code req-000412/3}; null if the text is not of that form. */
    public static TaskId parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 1 || slash == text.length() - 1 || text.length() - slash > 8) {
            return null;
        }
        int index = 0;
        for (int at = slash + 1; at < text.length(); at++) {
            char digit = text.charAt(at);
            if (digit < '0' || digit > '9') {
                return null;
            }
            index = index * 10 + digit - '0';
        }
        return new TaskId(new JobId(text.substring(0, slash)), index);
    }

    @Override
    public String toString() {
        return jobId.value() + '/' + index;
    }
}
