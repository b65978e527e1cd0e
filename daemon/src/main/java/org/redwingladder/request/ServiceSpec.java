package org.redwingladder.request;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.redwingladder.routing.WorkClass;

/**
 * Holds what an ingress needs to know about a service.
 *
 * @param name the service's name
 * @param maxRequestMillis the longest time that a request may take
 * @param classes the classes that the settings state, the first match counts
 */
public record ServiceSpec(String name, long maxRequestMillis, List<ClassRule> classes) {

    /**
     * States the class of the paths with a prefix.
     *
     * @param pathPrefix the prefix, which starts with a slash
     * @param workClass the class
     */
    public record ClassRule(String pathPrefix, WorkClass workClass) {}

    public ServiceSpec {
        classes = List.copyOf(classes);
    }

    /** Returns the class that the settings state for a path; null if it has to be learned. */
    public @Nullable WorkClass classOf(String path) {
        for (ClassRule rule : classes) {
            if (path.startsWith(rule.pathPrefix())) {
                return rule.workClass();
            }
        }
        return null;
    }
}
