package org.redwingladder.systemtest;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ModuleRulesTest {
    private static final String BASE = "org.redwingladder";
    private static final String[] CORE = {
        BASE + ".api..",
        BASE + ".settings..",
        BASE + ".lookup..",
        BASE + ".limits..",
        BASE + ".routing..",
        BASE + ".retry..",
        BASE + ".membership..",
        BASE + ".once..",
        BASE + ".steering.."
    };
    private static final String[] SHIPPED_WITH_DAEMON = {
        BASE + ".http..",
        BASE + ".platform..",
        BASE + ".request..",
        BASE + ".control..",
        BASE + ".supervisor..",
        BASE + ".entry..",
        BASE + ".daemon.."
    };

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages(BASE);

    @Nested
    class Core {
        /** Guards against decision logic that cannot be replayed because it reads a clock. */
        @Test
        void readsNoClock() {
            noClasses()
                    .that()
                    .resideInAnyPackage(CORE)
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.time.Clock")
                    .check(CLASSES);
        }

        /** Guards against decision logic with a random source, a thread or a socket of its own. */
        @Test
        void hasNoRandomnessThreadsOrSockets() {
            noClasses()
                    .that()
                    .resideInAnyPackage(CORE)
                    .should()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.security.SecureRandom")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.Thread")
                    .orShould()
                    .dependOnClassesThat()
                    .resideInAnyPackage("java.net..", "java.nio.channels..", "io.undertow..")
                    .orShould()
                    .callMethod(Math.class, "random")
                    .check(CLASSES);
        }

        /** Guards against packages that can only be understood together. */
        @Test
        void hasNoPackageCycles() {
            slices().matching(BASE + ".(*)..").should().beFreeOfCycles().check(CLASSES);
        }
    }

    @Nested
    class Adapter {
        private static final String ADAPTER = BASE + ".adapter..";

        /** Guards against the platform's formats reaching the product. */
        @Test
        void isUsedByNobody() {
            noClasses()
                    .that()
                    .resideOutsideOfPackage(ADAPTER)
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(ADAPTER)
                    .check(CLASSES);
        }

        /** Guards against decisions in the adapter: it translates to types and calls only. */
        @Test
        void decidesNothing() {
            noClasses()
                    .that()
                    .resideInAPackage(ADAPTER)
                    .should()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("LoadBalancer")
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("Selector")
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("Spillover")
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("RetryBudget")
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("Choice")
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("Plan")
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("Share")
                    .check(CLASSES);
        }

        /** Guards against the platform's names in the sources of the product. */
        @Test
        void holdsThePlatformsNamesAlone() throws IOException {
            Path root = Path.of("..").toRealPath();
            List<String> found = new ArrayList<>();
            for (String module : List.of("core", "http", "daemon", "tool", "bench")) {
                try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main"))) {
                    for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                        String text = Files.readString(file);
                        for (String name : PLATFORM_NAMES) {
                            if (text.contains(name)) {
                                found.add(file + ": " + name);
                            }
                        }
                    }
                }
            }
            assertThat(found).isEmpty();
        }
    }

    private static final List<String> PLATFORM_NAMES =
            List.of(
                    "rows-tx",
                    "rows-feed",
                    "rows-get",
                    "Server-Stamp",
                    "Deadline-Ms",
                    "Expect-Instance",
                    "\"Not-Run\"",
                    "Affinity-Key",
                    "cold_per_s",
                    "/-/resolve");

    @Nested
    class Daemon {
        /** Guards against shipping stand-ins or the operators' tool with the daemon. */
        @Test
        void needsNoStandInOrTool() {
            noClasses()
                    .that()
                    .resideInAnyPackage(SHIPPED_WITH_DAEMON)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(BASE + ".standin..", BASE + ".tool..", BASE + ".bench..")
                    .check(CLASSES);
        }

        /** Guards against starting other processes and against Undertow's own proxy. */
        @Test
        void startsNoProcessAndUsesNoProxy() {
            noClasses()
                    .that()
                    .resideInAnyPackage(SHIPPED_WITH_DAEMON)
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("io.undertow.server.handlers.proxy..")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.ProcessBuilder")
                    .orShould()
                    .callMethod(Runtime.class, "exec", String.class)
                    .check(CLASSES);
        }
    }
}
