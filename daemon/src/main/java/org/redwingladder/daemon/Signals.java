package org.redwingladder.daemon;

import java.lang.reflect.Proxy;

/** Installs handlers of POSIX signals. */
public final class Signals {
    private Signals() {}

    /**
     * Calls {@code receiver} for each signal of a name.
     *
     * <p>Uses {@code sun.misc.Signal} by reflection, because the compiler warns about direct uses.
     * A shutdown hook is no alternative: it is not notified of a second signal.
     *
     * @param name the signal's name without {@code SIG}
     * @throws ReflectiveOperationException if the Java runtime does not support signal handlers
     */
    public static void handle(String name, Runnable receiver) throws ReflectiveOperationException {
        Class<?> signals = Class.forName("sun.misc.Signal");
        Class<?> handlers = Class.forName("sun.misc.SignalHandler");
        Object handler =
                Proxy.newProxyInstance(
                        Signals.class.getClassLoader(),
                        new Class<?>[] {handlers},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "handle" -> {
                                        receiver.run();
                                        yield null;
                                    }
                                    case "hashCode" -> System.identityHashCode(proxy);
                                    case "equals" -> proxy == arguments[0];
                                    default -> "signal handler";
                                });
        Object signal = signals.getConstructor(String.class).newInstance(name);
        signals.getMethod("handle", signals, handlers).invoke(null, signal, handler);
    }
}
