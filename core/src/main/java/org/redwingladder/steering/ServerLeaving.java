package org.redwingladder.steering;

/**
 * That one incarnation of a backend server leaves, as it said in an answer. It holds until the
 * incarnation ends.
 *
 * @param server the server's id
 * @param startedMillis the start time that the server has registered
 * @param source the name of the host that read the answer
 */
public record ServerLeaving(String server, long startedMillis, String source)
        implements ServerCondition<ServerLeaving> {
    @Override
    public long version() {
        return 1;
    }

    @Override
    public boolean supersedes(ServerLeaving other) {
        return false;
    }

    @Override
    public int statementHash() {
        return 1;
    }
}
