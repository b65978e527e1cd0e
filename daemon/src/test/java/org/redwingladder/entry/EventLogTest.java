package org.redwingladder.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventLogTest {
    /** Room for 512 characters in their longest escaped form, and for the other fields. */
    private static final int MAX_LINE_CHARACTERS = 4096;

    private final Logger mLogger = Logger.getLogger(EventLog.class.getName());
    private final Lines mLines = new Lines();

    /** Keeps the logged lines. */
    private static final class Lines extends Handler {
        private final List<String> mTexts = new ArrayList<>();

        @Override
        public void publish(LogRecord entry) {
            mTexts.add(entry.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @BeforeEach
    void observe() {
        mLogger.addHandler(mLines);
    }

    @AfterEach
    void stopObserving() {
        mLogger.removeHandler(mLines);
    }

    @Nested
    class LongValues {
        @Test
        void stayInTheQueueInFullLength() throws Exception {
            String id = "r-1" + "x".repeat(16_000);
            assertThat(log(id).get("id").asText()).startsWith("r-1").hasSizeLessThan(id.length());
        }

        @Test
        void ofEscapedCharactersStayInTheQueueInFullLength() throws Exception {
            assertThat(log("\u0001".repeat(16_000)).get("id").asText()).startsWith("\u0001");
        }

        private JsonNode log(String id) throws Exception {
            EventLog.of("h1").event("request", "refused").with("id", (Object) id).write();
            assertThat(mLines.mTexts).hasSize(1);
            String line = mLines.mTexts.get(0);
            assertThat(line).hasSizeLessThan(MAX_LINE_CHARACTERS);
            return new ObjectMapper().readTree(line);
        }
    }
}
