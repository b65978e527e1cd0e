package org.redwingladder.entry;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.redwingladder.steering.ServerCondition;
import org.redwingladder.steering.ServerConditionTable;

/**
 * Conditions of backend servers that hosts tell each other. Runs on the I/O thread.
 *
 * @param <T> the kind of condition
 */
final class ReplicatedConditions<T extends ServerCondition<T>> {
    private final ServerConditionTable<T> mTable;
    private final Consumer<T> mLog;
    private Runnable mOnChange = () -> {};
    private Consumer<List<T>> mForwarder = conditions -> {};

    /**
     * Creates the conditions of a table.
     *
     * @param log logs one change
     */
    ReplicatedConditions(ServerConditionTable<T> table, Consumer<T> log) {
        mTable = table;
        mLog = log;
    }

    /** Sets the action that applies changed conditions to the choice of servers. */
    void onChange(Runnable action) {
        mOnChange = action;
    }

    /** Sets the receiver of conditions that are new to this host, which others may not know. */
    void forwarder(Consumer<List<T>> forwarder) {
        mForwarder = forwarder;
    }

    /** Returns a hash of the conditions, which hosts compare before they send them. */
    long digest() {
        return mTable.digest();
    }

    /** Returns the conditions of the registered servers. */
    List<T> registered() {
        return mTable.registered();
    }

    /** Merges conditions that another host sent. */
    void merge(Collection<T> conditions) {
        List<T> changed = mTable.merge(conditions, System.nanoTime());
        if (!changed.isEmpty()) {
            changed(changed);
        }
    }

    /** Applies, logs and forwards conditions that the table has just taken in. */
    void changed(List<T> conditions) {
        conditions.forEach(mLog);
        mOnChange.run();
        mForwarder.accept(conditions);
    }
}
