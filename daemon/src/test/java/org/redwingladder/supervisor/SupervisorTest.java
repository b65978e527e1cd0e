package org.redwingladder.supervisor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SupervisorTest {
    private final List<Long> mDelays = new ArrayList<>();
    private final List<Runnable> mScheduled = new ArrayList<>();
    private final List<String> mGivenUp = new ArrayList<>();
    private long mNow;

    private final ScheduledThreadPoolExecutor mExecutor =
            new ScheduledThreadPoolExecutor(1) {
                @Override
                public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
                    mDelays.add(unit.toMillis(delay));
                    mScheduled.add(task);
                    return null;
                }
            };

    private final Supervisor mSupervisor = Supervisor.create(mExecutor, () -> mNow, mGivenUp::add);

    /** Fails at its next starts. */
    private static final class TestComponent implements Component {
        private int mFailingStarts;
        private int mStarts;
        private int mStops;
        private FailureListener mFailures = cause -> {};

        @Override
        public String name() {
            return "part";
        }

        @Override
        public void start(FailureListener failures) throws IOException {
            mStarts++;
            mFailures = failures;
            if (mFailingStarts > 0) {
                mFailingStarts--;
                throw new IOException("no start");
            }
        }

        @Override
        public void stop() {
            mStops++;
        }
    }

    private void runScheduled() {
        mScheduled.remove(0).run();
    }

    @Nested
    class FailedParts {
        /** Guards against a part that stays dead, or is restarted without a pause. */
        @Test
        void areRestartedWithABackOff() throws Exception {
            TestComponent part = new TestComponent();
            mSupervisor.start(part);
            part.mFailingStarts = 2;
            part.mFailures.failed(new IllegalStateException("broken"));
            assertThat(mSupervisor.status().get(0).running()).isFalse();
            runScheduled();
            runScheduled();
            runScheduled();
            assertThat(mDelays).containsExactly(100L, 200L, 400L);
            assertThat(mSupervisor.status())
                    .containsExactly(
                            new Supervisor.ComponentStatus(
                                    "part", true, 3, "java.io.IOException: no start"));
            assertThat(part.mStops).isEqualTo(3);
        }

        /** Guards against a process that goes on with a part that cannot work. */
        @Test
        void areGivenUpAfterTooManyFailures() throws Exception {
            TestComponent part = new TestComponent();
            mSupervisor.start(part);
            part.mFailingStarts = 100;
            part.mFailures.failed(new IllegalStateException("broken"));
            while (!mScheduled.isEmpty()) {
                runScheduled();
            }
            assertThat(mGivenUp).containsExactly("part");
            assertThat(part.mStarts).isEqualTo(Supervisor.MAX_FAILURES);
        }

        /** Guards against rare failures that add up over months. */
        @Test
        void beginAnewAfterAWhile() throws Exception {
            TestComponent part = new TestComponent();
            mSupervisor.start(part);
            for (int i = 0; i < 2 * Supervisor.MAX_FAILURES; i++) {
                mNow += 100_000;
                part.mFailures.failed(new IllegalStateException("broken"));
                runScheduled();
            }
            assertThat(mGivenUp).isEmpty();
            assertThat(mDelays).containsOnly(100L);
        }

        /** Guards against a late failure report of an earlier run that stops the new one. */
        @Test
        void doNotCountTwice() throws Exception {
            TestComponent part = new TestComponent();
            mSupervisor.start(part);
            Component.FailureListener first = part.mFailures;
            first.failed(new IllegalStateException("broken"));
            first.failed(new IllegalStateException("broken"));
            runScheduled();
            first.failed(new IllegalStateException("broken"));
            assertThat(mSupervisor.status().get(0).running()).isTrue();
            assertThat(mSupervisor.status().get(0).restarts()).isEqualTo(1);
        }
    }

    @Nested
    class FirstStart {
        /** Guards against a process that runs although it cannot listen. */
        @Test
        void fails() {
            TestComponent part = new TestComponent();
            part.mFailingStarts = 1;
            assertThatThrownBy(() -> mSupervisor.start(part)).isInstanceOf(IOException.class);
            assertThat(mSupervisor.status()).isEmpty();
        }
    }
}
