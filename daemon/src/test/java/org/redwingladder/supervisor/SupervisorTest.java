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
    private final List<Long> mDelaysMillis = new ArrayList<>();
    private final List<Runnable> mScheduledTasks = new ArrayList<>();
    private final List<String> mPermanentFailures = new ArrayList<>();
    private long mNowMillis;

    private final ScheduledThreadPoolExecutor mExecutor =
            new ScheduledThreadPoolExecutor(1) {
                @Override
                public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
                    mDelaysMillis.add(unit.toMillis(delay));
                    mScheduledTasks.add(task);
                    return null;
                }
            };

    private final Supervisor mSupervisor =
            Supervisor.create(mExecutor, () -> mNowMillis, mPermanentFailures::add);

    /** A component whose next starts fail. */
    private static final class TestComponent implements Component {
        private int mStartFailuresLeft;
        private int mStarts;
        private int mStops;
        private FailureListener mFailures = cause -> {};

        @Override
        public String name() {
            return "component";
        }

        @Override
        public void start(FailureListener failures) throws IOException {
            mStarts++;
            mFailures = failures;
            if (mStartFailuresLeft > 0) {
                mStartFailuresLeft--;
                throw new IOException("start failed");
            }
        }

        @Override
        public void stop() {
            mStops++;
        }
    }

    private void runNextScheduledTask() {
        mScheduledTasks.remove(0).run();
    }

    @Nested
    class FailedComponent {
        /** Guards against a component that is never restarted, or without a delay. */
        @Test
        void isRestartedWithExponentialBackoff() throws Exception {
            TestComponent component = new TestComponent();
            mSupervisor.start(component);
            component.mStartFailuresLeft = 2;
            component.mFailures.failed(new IllegalStateException("broken"));
            assertThat(mSupervisor.status().get(0).running()).isFalse();
            runNextScheduledTask();
            runNextScheduledTask();
            runNextScheduledTask();
            assertThat(mDelaysMillis).containsExactly(100L, 200L, 400L);
            assertThat(mSupervisor.status())
                    .containsExactly(
                            new Supervisor.ComponentStatus(
                                    "component", true, 3, "java.io.IOException: start failed"));
            assertThat(component.mStops).isEqualTo(3);
        }

        /** Guards against endless restarts of a component that has failed permanently. */
        @Test
        void isNotRestartedAfterMaxConsecutiveFailures() throws Exception {
            TestComponent component = new TestComponent();
            mSupervisor.start(component);
            component.mStartFailuresLeft = 100;
            component.mFailures.failed(new IllegalStateException("broken"));
            while (!mScheduledTasks.isEmpty()) {
                runNextScheduledTask();
            }
            assertThat(mPermanentFailures).containsExactly("component");
            assertThat(component.mStarts).isEqualTo(Supervisor.MAX_CONSECUTIVE_FAILURES);
        }

        /** Guards against rare failures, months apart, that are counted as consecutive. */
        @Test
        void hasFailureCountResetAfterRunningLongEnough() throws Exception {
            TestComponent component = new TestComponent();
            mSupervisor.start(component);
            for (int i = 0; i < 2 * Supervisor.MAX_CONSECUTIVE_FAILURES; i++) {
                mNowMillis += 100_000;
                component.mFailures.failed(new IllegalStateException("broken"));
                runNextScheduledTask();
            }
            assertThat(mPermanentFailures).isEmpty();
            assertThat(mDelaysMillis).containsOnly(100L);
        }

        /** Guards against a delayed failure report that restarts the component a second time. */
        @Test
        void ignoresStaleFailureReports() throws Exception {
            TestComponent component = new TestComponent();
            mSupervisor.start(component);
            Component.FailureListener first = component.mFailures;
            first.failed(new IllegalStateException("broken"));
            first.failed(new IllegalStateException("broken"));
            runNextScheduledTask();
            first.failed(new IllegalStateException("broken"));
            assertThat(mSupervisor.status().get(0).running()).isTrue();
            assertThat(mSupervisor.status().get(0).restarts()).isEqualTo(1);
        }
    }

    @Nested
    class FirstStart {
        /** Guards against a process that runs although a component could not start. */
        @Test
        void propagatesTheFailure() {
            TestComponent component = new TestComponent();
            component.mStartFailuresLeft = 1;
            assertThatThrownBy(() -> mSupervisor.start(component)).isInstanceOf(IOException.class);
            assertThat(mSupervisor.status()).isEmpty();
        }
    }
}
