package org.redwingladder.daemon;

import java.lang.reflect.Proxy;

/** Receives the signals of the process. */
public final class Signals {
    private Signals() {}

    /**
     * Calls {@code receiver} for each signal. The class of the platform is used by its name,
     * because the compiler warns of any direct use of it, and a shutdown hook sees no second
     * signal.
     *
     * @param name the signal's name without {@code SIG}
     * @throws ReflectiveOperationException if the platform offers no signals
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
