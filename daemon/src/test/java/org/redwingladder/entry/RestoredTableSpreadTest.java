package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Spreads the rows of a store that returns from copies over hosts, with lost and late messages. */
class RestoredTableSpreadTest {
    private static final int HOSTS = 5;
    private static final int STEPS = 300;
    private static final int SEEDS = 200;

    /** A store, hosts and the messages on their way between them. */
    private static final class Model {
        private final Random mRandom;
        private final boolean mErasKnown;
        private final List<TableReplica> mHosts = new ArrayList<>();
        private final List<Runnable> mMessages = new ArrayList<>();

        /** The rows of the store and the tombstones of deleted ones. */
        private Map<String, StoreRow> mRows = new TreeMap<>();

        private Map<String, StoreRow> mCopy = new TreeMap<>();
        private long mVersion = 1;
        private long mCopyVersion = 1;
        private long mEra = 1;

        /**
         * Creates a model.
         *
         * @param erasKnown whether hosts know the eras, or have versions alone
         */
        Model(long seed, boolean erasKnown) {
            mRandom = new Random(seed);
            mErasKnown = erasKnown;
            IntStream.range(0, HOSTS).forEach(i -> mHosts.add(new TableReplica()));
        }

        private StoreVersion position() {
            return new StoreVersion(mErasKnown ? mEra : 0, mVersion);
        }

        private List<StoreRow> rows() {
            return mRows.values().stream().filter(row -> row.value() != null).toList();
        }

        private TableReplica host() {
            return mHosts.get(mRandom.nextInt(HOSTS));
        }

        void step() {
            switch (mRandom.nextInt(10)) {
                case 0, 1, 2 -> write();
                case 3 -> read(host());
                case 4 -> poll(host());
                case 5, 6 -> copyFrom(host(), host());
                case 7 -> deliver();
                case 8 -> deliver();
                default -> {
                    if (mRandom.nextInt(4) == 0) {
                        restore();
                    } else if (mRandom.nextInt(3) == 0) {
                        mCopy = new TreeMap<>(mRows);
                        mCopyVersion = mVersion;
                    }
                }
            }
        }

        private void write() {
            String key = "k" + mRandom.nextInt(6);
            mVersion++;
            byte[] value = mRandom.nextInt(3) == 0 ? null : new byte[] {(byte) mVersion};
            mRows.put(key, new StoreRow(key, mVersion, value));
        }

        private void restore() {
            mRows = new TreeMap<>(mCopy);
            mVersion = mCopyVersion;
            mEra++;
        }

        /** Reads the whole table; the host pushes what changed to the others. */
        private void read(TableReplica host) {
            List<StoreRow> rows = rows();
            StoreVersion position = position();
            mMessages.add(() -> install(host, rows, position));
        }

        private void install(TableReplica host, List<StoreRow> rows, StoreVersion position) {
            StoreVersion after = host.position();
            List<StoreRow> changes = host.diff(rows, position);
            if (host.replace(rows, position, position) && !after.equals(StoreVersion.NONE)) {
                push(after, position, changes, true);
            }
        }

        /** Reads the changes after the host's position, or the table if there are none. */
        private void poll(TableReplica host) {
            StoreVersion after = host.position();
            StoreVersion position = position();
            if (after.number() > mVersion) {
                read(host);
                return;
            }
            List<StoreRow> changes =
                    mRows.values().stream().filter(row -> row.version() > after.number()).toList();
            mMessages.add(
                    () -> {
                        if (host.position().equals(after) && after.era() == position.era()) {
                            host.apply(changes, position);
                            push(after, position, changes, false);
                        } else if (host.position().equals(after)) {
                            read(host);
                        }
                    });
        }

        private void push(
                StoreVersion after,
                StoreVersion position,
                List<StoreRow> changes,
                boolean difference) {
            for (TableReplica host : mHosts) {
                mMessages.add(
                        () -> {
                            if (host.relationOf(after, position, difference)
                                    == TableReplica.Relation.APPLICABLE) {
                                host.apply(changes, position);
                            }
                        });
            }
        }

        private void copyFrom(TableReplica from, TableReplica to) {
            List<StoreRow> rows = from.rows();
            StoreVersion position = from.position();
            StoreVersion change = from.lastChange();
            mMessages.add(
                    () -> {
                        if (position.isNewerThan(to.position())) {
                            to.replace(rows, position, change);
                        }
                    });
        }

        /** Delivers, repeats or loses any of the messages. */
        private void deliver() {
            if (!mMessages.isEmpty()) {
                int index = mRandom.nextInt(mMessages.size());
                Runnable message = mMessages.get(index);
                int fate = mRandom.nextInt(10);
                if (fate != 0) {
                    mMessages.remove(index);
                }
                if (fate != 1) {
                    message.run();
                }
            }
        }

        /** Lets one host read the table and all others copy it, while old messages arrive late. */
        long outdatedHostsAfterQuiet() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            install(mHosts.get(0), rows(), position());
            for (int i = 1; i < HOSTS; i++) {
                copyFrom(mHosts.get(0), mHosts.get(i));
            }
            while (!mMessages.isEmpty()) {
                mMessages.remove(mRandom.nextInt(mMessages.size())).run();
            }
            return mHosts.stream().filter(host -> !hasRowsOfStore(host)).count();
        }

        private boolean hasRowsOfStore(TableReplica host) {
            return host.rows().size() == rows().size()
                    && host.rows().stream()
                            .allMatch(
                                    row -> {
                                        StoreRow kept = mRows.get(row.key());
                                        return kept != null
                                                && kept.version() == row.version()
                                                && Arrays.equals(kept.value(), row.value());
                                    });
        }
    }

    private static long failedSeeds(boolean erasKnown) {
        return IntStream.range(0, SEEDS)
                .filter(seed -> new Model(seed, erasKnown).outdatedHostsAfterQuiet() > 0)
                .count();
    }

    @Nested
    class AfterTheLastMessage {
        @Test
        void allHostsHaveTheRowsOfTheStore() {
            assertThat(failedSeeds(true)).isZero();
        }

        /** Shows that the model tells the rules apart: versions alone keep rows that are lost. */
        @Test
        void hostsThatCompareVersionsAloneDoNot() {
            assertThat(failedSeeds(false)).isPositive();
        }
    }
}
