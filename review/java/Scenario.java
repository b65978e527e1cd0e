package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** The frame of a case: temporary folder, record, exit code. */
abstract class Scenario {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption takes place; {@code TROUBLE=0} switches it off. */
    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    Record mRecord;
    Path mTemp;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the case; the argument is the folder for its record. */
    static void run(Scenario scenario, String[] arguments) {
        int code = NOT_RUN;
        try {
            scenario.mRecord = new Record(Path.of(arguments[0]));
            scenario.mTemp = Files.createTempDirectory("review");
            scenario.mRecord.line("disruption: %s", scenario.mTrouble ? "yes" : "no");
            code = scenario.play() ? HELD : BROKEN;
            scenario.mRecord.line(code == HELD ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
            if (scenario.mRecord != null) {
                scenario.mRecord.line("the case could not run: %s", e);
            }
        } finally {
            if (System.getenv("KEEP") == null) {
                delete(scenario.mTemp);
            }
        }
        System.out.println(
                new String[] {"held", "broken", "not run"}[code] + ", see record.txt");
        Runtime.getRuntime().halt(code);
    }

    private static void delete(Path folder) {
        if (folder == null) {
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            System.err.println("temporary folder not deleted: " + e);
        }
    }

    static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) ('a' + i % 26);
        }
        return bytes;
    }
}
