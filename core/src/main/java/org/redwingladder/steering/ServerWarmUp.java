package org.redwingladder.steering;

/**
 * The warm-up of one incarnation of a backend server, as far as its registration does not tell it.
 * A server may start again under its id, or turn cold, before its registration is written or read.
 *
 * @param server the server's id
 * @param startedMillis the start time that the server has registered
 * @param state whether the warm-up lies ahead or has begun
 * @param version increases with each change of the state
 * @param source the name of the host that noticed the change
 */
public record ServerWarmUp(
        String server, long startedMillis, State state, long version, String source)
        implements ServerCondition<ServerWarmUp> {

    /** The state of a warm-up. */
    public sealed interface State {
        /** Nothing listens at the server's address; the server will be cold when it returns. */
        record Awaited() implements State {}

        /**
         * The server is cold until an instant, which may have passed.
         *
         * @param untilNanos on the monotonic clock of this host
         */
        record Begun(long untilNanos) implements State {}
    }

    /** Returns whether the server is cold, or will be with its next request. */
    boolean cold(long nowNanos) {
        return switch (state) {
            case State.Awaited awaited -> true;
            case State.Begun begun -> begun.untilNanos() - nowNanos > 0;
        };
    }

    boolean awaited() {
        return state instanceof State.Awaited;
    }

    /** Of two states that hosts noticed at the same time, the absence of the server is in force. */
    @Override
    public boolean supersedes(ServerWarmUp other) {
        return version != other.version ? version > other.version : awaited() && !other.awaited();
    }

    @Override
    public int statementHash() {
        // The end differs between hosts by the time for which the message was on its way.
        return awaited() ? 1 : 0;
    }
}
