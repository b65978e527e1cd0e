package review;

/** The manifest of the small deployment that the cases use. */
final class Manifest {
    /** The limits that {@code fleetbench wire} shows for tabua-orders. */
    static final int MAX_BODY_BYTES = 67108864;

    static final String READ = "/lepu270/";
    static final String COMMIT = "/xapu221/ny95/";
    static final String DOWNLOAD = "/fiti832/ti23/";
    static final int TIMEOUT_MILLIS = 800;

    private Manifest() {}

    /** Returns a manifest with a route of each kind. */
    static String json(int version, int timeoutMillis) {
        String timeout = "\"" + timeoutMillis + "ms\"";
        return "{\"version\":"
                + version
                + ",\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\","
                + "\"goal\",\"priority\",\"split\",\"attempts\",\"sticky\",\"home_regions\","
                + "\"service\"],\"rows\":["
                + route("r-read", READ, "idempotent", timeout, "250ms", 2, "huvo11a")
                + ","
                + route("r-commit", COMMIT, "non_idempotent", timeout, "400ms", 1, "wuno96b")
                + ","
                + route("r-download", DOWNLOAD, "download", timeout, "250ms", 2, "kafi81c")
                + "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_conns\","
                + "\"protocol\",\"tls\",\"cold\",\"cold_per_s\"],\"rows\":["
                + "[\"huvo11a\",\"/healthz\",815,\"h1\",false,\"3s\",9.5],"
                + "[\"kafi81c\",\"/healthz\",815,\"h1\",false,\"3s\",9.5],"
                + "[\"wuno96b\",\"/healthz\",815,\"h1\",false,\"3s\",9.5]]},"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
                + MAX_BODY_BYTES
                + ",\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
    }

    private static String route(
            String name,
            String prefix,
            String kind,
            String timeout,
            String goal,
            int priority,
            String service) {
        return String.format(
                "[\"%s\",\"%s\",\"%s\",\"%s\",%s,\"%s\",%d,null,2,true,[],\"%s\"]",
                name, Client.HOST, prefix, kind, timeout, goal, priority, service);
    }
}
