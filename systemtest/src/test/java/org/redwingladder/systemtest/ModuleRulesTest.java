package org.redwingladder.systemtest;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
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
    private static final String[] CORE_PACKAGES = {
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
    private static final String[] DAEMON_PACKAGES = {
        BASE + ".http..",
        BASE + ".platform..",
        BASE + ".request..",
        BASE + ".control..",
        BASE + ".supervisor..",
        BASE + ".entry..",
        BASE + ".daemon.."
    };

    private static final String[] DECISION_PACKAGES = {
        BASE + ".lookup..",
        BASE + ".limits..",
        BASE + ".routing..",
        BASE + ".retry..",
        BASE + ".membership..",
        BASE + ".once..",
        BASE + ".request..",
        BASE + ".control..",
        BASE + ".tool.."
    };

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages(BASE);

    @Nested
    class Core {
        /** Guards against decision logic that is not deterministic because it reads a clock. */
        @Test
        void readsNoClock() {
            noClasses()
                    .that()
                    .resideInAnyPackage(CORE_PACKAGES)
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.time.Clock")
                    .check(CLASSES);
        }

        /** Guards against decision logic that depends on global randomness, threads or sockets. */
        @Test
        void usesNoGlobalRandomnessThreadsOrSockets() {
            noClasses()
                    .that()
                    .resideInAnyPackage(CORE_PACKAGES)
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

        /** Guards against cyclic dependencies, which make packages inseparable. */
        @Test
        void hasNoPackageCycles() {
            slices().matching(BASE + ".(*)..").should().beFreeOfCycles().check(CLASSES);
        }
    }

    @Nested
    class Adapter {
        private static final String ADAPTER = BASE + ".adapter..";

        /** Guards against a dependency of the other packages on the platform's wire formats. */
        @Test
        void hasNoDependents() {
            noClasses()
                    .that()
                    .resideOutsideOfPackage(ADAPTER)
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(ADAPTER)
                    .check(CLASSES);
        }

        /**
         * Guards against decision logic in the adapter, which only translates formats and calls.
         */
        @Test
        void dependsOnNoDecisionLogic() {
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
                    .orShould()
                    .dependOnClassesThat()
                    .haveSimpleNameEndingWith("Decision")
                    .orShould()
                    .dependOnClassesThat()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .orShould()
                    .dependOnClassesThat(areSteeringLogic())
                    .check(CLASSES);
        }

        /** Matches the classes of the steering package that are no data types. */
        private static DescribedPredicate<JavaClass> areSteeringLogic() {
            return JavaClass.Predicates.resideInAPackage(BASE + ".steering..")
                    .and(DescribedPredicate.not(isDataType()))
                    .as("steering classes that are no data types");
        }

        private static DescribedPredicate<JavaClass> isDataType() {
            return DescribedPredicate.describe(
                    "records, enums or sets of records",
                    type -> type.isRecord() || type.isEnum() || isSetOfRecords(type));
        }

        /** Returns whether a type is a sealed interface without methods that only records have. */
        private static boolean isSetOfRecords(JavaClass type) {
            return type.isInterface()
                    && type.getMethods().isEmpty()
                    && type.reflect().isSealed()
                    && Stream.of(type.reflect().getPermittedSubclasses()).allMatch(Class::isRecord);
        }

        /** Guards against wire names of the platform outside the adapter. */
        @Test
        void isTheOnlyModuleWithPlatformWireNames() throws IOException {
            Path root = Path.of("..").toRealPath();
            List<String> violations = new ArrayList<>();
            for (String module : List.of("core", "http", "daemon", "tool", "bench")) {
                try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main"))) {
                    for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                        String text = Files.readString(file);
                        for (String name : PLATFORM_WIRE_NAMES) {
                            if (text.contains(name)) {
                                violations.add(file + ": " + name);
                            }
                        }
                    }
                }
            }
            assertThat(violations).isEmpty();
        }
    }

    private static final List<String> PLATFORM_WIRE_NAMES =
            List.of(
                    "rows-tx",
                    "rows-feed",
                    "rows-get",
                    "Server-Stamp",
                    "Server-Limit",
                    "Deadline-Ms",
                    "Expect-Instance",
                    "\"Not-Run\"",
                    "Affinity-Key",
                    "cold_per_s",
                    "/-/resolve");

    @Nested
    class Daemon {
        /**
         * Guards against shipping the stand-ins, the command-line tool or the benchmarks with the
         * daemon.
         */
        @Test
        void dependsOnNoStandInToolOrBenchmark() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DAEMON_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(BASE + ".standin..", BASE + ".tool..", BASE + ".bench..")
                    .check(CLASSES);
        }

        /** Guards against a reader of responses besides the checked one of the HTTP client. */
        @Test
        void readsResponsesOnlyThroughItsHttpClient() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DAEMON_PACKAGES)
                    .or()
                    .resideInAnyPackage(BASE + ".adapter..", BASE + ".tool..")
                    .and()
                    .resideOutsideOfPackage(BASE + ".http..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.undertow.client..", "java.net.http..")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.net.Socket")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.net.URLConnection")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.nio.channels.SocketChannel")
                    .check(CLASSES);
        }

        /** Guards against child processes and the use of Undertow's proxy handler. */
        @Test
        void startsNoProcessAndUsesNoUndertowProxy() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DAEMON_PACKAGES)
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
