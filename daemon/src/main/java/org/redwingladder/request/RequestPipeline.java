package org.redwingladder.request;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.List;
import java.util.function.Consumer;
import org.redwingladder.api.RefusalReason;
import org.redwingladder.http.AsyncHttpClient;
import org.redwingladder.once.TokenSigner;
import org.redwingladder.platform.PlatformClient;
import org.redwingladder.routing.SiteStatus;

/** Handles the requests on the client listener and the peer listener of an entry host. */
public final class RequestPipeline {
    private final PipelineContext mContext;
    private final SiteOwnerRegistry mOwners;
    private final InFlightCounter mInFlight = new InFlightCounter();
    private final HttpHandler mClientHandler;
    private final HttpHandler mPeerHandler;

    private RequestPipeline(PipelineContext context, TokenSigner signer, PlatformClient platform) {
        mContext = context;
        mOwners = new SiteOwnerRegistry(context);
        RequestReader reader = new RequestReader(context.view(), context.time());
        Ingress ingress = new Ingress(context, mOwners);
        AtMostOnceRequests once = new AtMostOnceRequests(context, ingress, signer, platform);
        mClientHandler =
                new ClientHandler(
                        context,
                        reader,
                        ingress,
                        new LookupHandler(context, once),
                        once,
                        mInFlight);
        PeerDispatchHandler dispatch = new PeerDispatchHandler(context, reader, mOwners, mInFlight);
        PeerTokenHandler onceHandler = new PeerTokenHandler(reader, once, mInFlight);
        mPeerHandler = exchange -> routePeer(exchange, dispatch, onceHandler);
    }

    /**
     * Returns the request pipeline of a host, registered as a listener of {@code view}.
     *
     * @param signer signs and verifies tokens with the deployment's key
     * @param metrics the registry for the pipeline's metrics
     */
    public static RequestPipeline create(
            ClusterView view,
            AsyncHttpClient caller,
            PlatformClient platform,
            TokenSigner signer,
            MetricRegistry metrics) {
        PipelineContext context =
                new PipelineContext(
                        view,
                        caller,
                        TimeSource.system(),
                        new RequestMetrics(metrics),
                        new RoutingTraceBuffer(),
                        new java.util.SplittableRandom());
        RequestPipeline pipeline = new RequestPipeline(context, signer, platform);
        view.addListener(pipeline.mOwners);
        pipeline.mOwners.changed();
        return pipeline;
    }

    private static void routePeer(
            HttpServerExchange exchange, HttpHandler dispatch, HttpHandler once) throws Exception {
        String uri = exchange.getRequestURI();
        if (uri.startsWith(PeerCall.DISPATCH_PATH_PREFIX)) {
            dispatch.handleRequest(exchange);
        } else if (uri.startsWith(PeerCall.ONCE_PATH_PREFIX)) {
            once.handleRequest(exchange);
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () ->
                            ExceptionMapper.run(
                                    exchange,
                                    (same, requestId) -> {
                                        throw RefusedException.notRun(
                                                RefusalReason.BAD_REQUEST, "unknown path");
                                    }));
        }
    }

    /** Returns the handler of all paths of the client listener. */
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

    /** Returns the number of requests in progress, which a planned stop waits for. */
    public int inFlight() {
        return mInFlight.count();
    }

    /** Returns the routing traces of a request; empty if it is not among the latest ones. */
    public List<RoutingTrace> traces(String requestId) {
        return mContext.traces().find(requestId);
    }

    /** Calls {@code receiver} with the status of each site that this host owns. */
    public void status(Consumer<SiteStatus> receiver) {
        mOwners.status(receiver);
    }
}
