package org.redwingladder.request;

import static java.util.Comparator.comparingInt;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.WorkClass;
import org.redwingladder.settings.Service;

/**
 * The settings of a service that the ingress uses.
 *
 * @param name the service's name
 * @param maxRequestMillis the maximum duration of a request
 * @param classes the configured work classes by path prefix, longest prefix first
 */
public record ServiceSpec(String name, long maxRequestMillis, List<ClassRule> classes) {

    /**
     * Assigns a work class to the paths with a prefix.
     *
     * @param pathPrefix the prefix, which starts with a slash
     * @param workClass the work class
     */
    public record ClassRule(String pathPrefix, WorkClass workClass) {}

    /** Sorts the rules, so that the longest matching prefix applies. */
    public ServiceSpec {
        classes =
                classes.stream()
                        .sorted(comparingInt((ClassRule rule) -> -rule.pathPrefix().length()))
                        .toList();
    }

    /** Returns the specification of a service in the settings. */
    public static ServiceSpec of(String name, Service service) {
        return new ServiceSpec(
                name,
                service.maxRequestMillis(),
                service.classes().values().stream()
                        .map(
                                rule ->
                                        new ClassRule(
                                                rule.pathPrefix(),
                                                WorkClass.valueOf(rule.workClass().name())))
                        .toList());
    }

    /** Returns the work class configured for a path; null if it has to be learned. */
    public @Nullable WorkClass classOf(String path) {
        for (ClassRule rule : classes) {
            if (path.startsWith(rule.pathPrefix())) {
                return rule.workClass();
            }
        }
        return null;
    }
}
