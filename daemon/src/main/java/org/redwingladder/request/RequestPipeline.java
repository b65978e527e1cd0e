package org.redwingladder.request;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.List;
import java.util.function.Consumer;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.HttpCaller;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.routing.SiteStatus;

/** Serves requests on the client listener and the peer listener of an entry host. */
public final class RequestPipeline {
    private final RequestParts mParts;
    private final SiteOwners mOwners;
    private final InFlight mInFlight = new InFlight();
    private final HttpHandler mClientHandler;
    private final HttpHandler mPeerHandler;

    private RequestPipeline(RequestParts parts, TokenSigner signer, PlatformClient platform) {
        mParts = parts;
        mOwners = new SiteOwners(parts);
        RequestReader reader = new RequestReader(parts.view(), parts.time());
        Ingress ingress = new Ingress(parts, mOwners);
        OnceRequests once = new OnceRequests(parts, ingress, signer, platform);
        mClientHandler =
                new ClientHandler(
                        parts, reader, ingress, new LookupHandler(parts, once), once, mInFlight);
        PeerHandler dispatch = new PeerHandler(parts, reader, mOwners, mInFlight);
        PeerOnceHandler onceHandler = new PeerOnceHandler(reader, once, mInFlight);
        mPeerHandler = exchange -> routePeer(exchange, dispatch, onceHandler);
    }

    /**
     * Returns the request path of a host and lets it follow {@code view}.
     *
     * @param signer signs and checks tokens with the deployment's key
     * @param metrics receives the counters
     */
    public static RequestPipeline create(
            ClusterView view,
            HttpCaller caller,
            PlatformClient platform,
            TokenSigner signer,
            MetricRegistry metrics) {
        RequestParts parts =
                new RequestParts(
                        view,
                        caller,
                        TimeSource.system(),
                        new RequestMetrics(metrics),
                        new RoutingTraceBuffer(),
                        new java.util.SplittableRandom());
        RequestPipeline path = new RequestPipeline(parts, signer, platform);
        view.addListener(path.mOwners);
        path.mOwners.changed();
        return path;
    }

    private static void routePeer(
            HttpServerExchange exchange, HttpHandler dispatch, HttpHandler once) throws Exception {
        String uri = exchange.getRequestURI();
        if (uri.startsWith(PeerCall.DISPATCH)) {
            dispatch.handleRequest(exchange);
        } else if (uri.startsWith(PeerCall.ONCE)) {
            once.handleRequest(exchange);
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () ->
                            Guard.run(
                                    exchange,
                                    (same, requestId) -> {
                                        throw RefusedException.notRun(
                                                RefusalReason.BAD_REQUEST, "unknown path");
                                    }));
        }
    }

    /** Returns the handler of the whole client listener. */
    public HttpHandler clientHandler() {
        return mClientHandler;
    }

    /**
     * Returns the handler of the paths {@code /peer/v1/dispatch/} and {@code /peer/v1/once/} of the
     * peer listener; it refuses any other path.
     */
    public HttpHandler peerHandler() {
        return mPeerHandler;
    }

    /** Returns how many requests have no whole answer yet, for a planned stop. */
    public int inFlight() {
        return mInFlight.count();
    }

    /** Returns what is known about a request among the latest ones. */
    public List<RoutingTrace> traces(String requestId) {
        return mParts.traces().find(requestId);
    }

    /** Calls {@code receiver} with the figures of each site that this host owns. */
    public void status(Consumer<SiteStatus> receiver) {
        mOwners.status(receiver);
    }
}
