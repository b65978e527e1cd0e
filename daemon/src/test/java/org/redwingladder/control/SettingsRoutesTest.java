package org.redwingladder.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.redwingladder.http.Eventually.until;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.redwingladder.http.Json;
import org.redwingladder.standin.PlatformFaults;

class SettingsRoutesTest {
    private final HttpClient mClient = HttpClient.newHttpClient();
    private TestSettingsCluster mCluster;
    private TestSettingsCluster.Host mHost;

    @BeforeEach
    void start() throws Exception {
        mCluster = new TestSettingsCluster();
        mHost = mCluster.start("h1", 1, "suva", 0);
        mCluster.writeRoster("suva", 0, mHost);
        mHost.put("/deployment", TestSettingsCluster.deployment(1001), 0, "c1");
        until("the host has active settings", () -> mHost.activeVersion() == 1);
    }

    @AfterEach
    void stop() {
        mCluster.close();
    }

    private record Response(int status, JsonNode body) {
        String message() {
            return body.at("/error/message").asText();
        }
    }

    private Response send(HttpRequest.Builder request) throws Exception {
        HttpResponse<String> answer =
                mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
        return new Response(answer.statusCode(), Json.mapper().readTree(answer.body()));
    }

    private HttpRequest.Builder at(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + mHost.address() + path));
    }

    private Response put(String path, String value, String match, String id) throws Exception {
        return send(
                at("/v1/settings/tree" + path)
                        .header("If-Match", match)
                        .header("Redwing-Change-Id", id)
                        .header("Redwing-Team", "deployment")
                        .header("Redwing-Team-Key", "key")
                        .PUT(HttpRequest.BodyPublishers.ofString(value)));
    }

    @Nested
    class Puts {
        /** Guards against a put whose value a get, the history or the host does not show. */
        @Test
        void becomeActiveAndVisible() throws Exception {
            Response accepted = put("/deployment/lookupLifetimeMillis", "1500", "1", "c2");
            assertThat(accepted.status()).isEqualTo(200);
            assertThat(accepted.body().path("version").asLong()).isEqualTo(2);
            until("the change is active", () -> mHost.lookupLifetimeMillis() == 1500);

            Response shown = send(at("/v1/settings/tree/deployment/lookupLifetimeMillis"));
            assertThat(shown.body().path("value").asLong()).isEqualTo(1500);
            assertThat(shown.body().path("subtreeVersion").asLong()).isEqualTo(2);
            Response history = send(at("/v1/settings/history?after=1"));
            assertThat(history.body().at("/changes/0/changeId").asText()).isEqualTo("c2");
            assertThat(history.body().at("/changes/0/previous").asLong()).isEqualTo(1001);
        }

        /** Guards against a conflict response that does not name the accepted change. */
        @Test
        void conflictNamesTheAcceptedChange() throws Exception {
            put("/deployment/lookupLifetimeMillis", "1500", "1", "winner");

            Response conflict = put("/deployment/lookupLifetimeMillis", "1600", "1", "loser");

            assertThat(conflict.status()).isEqualTo(409);
            assertThat(conflict.message()).contains("change winner of /deployment/lookup");
            assertThat(conflict.body().path("subtreeVersion").asLong()).isEqualTo(2);
        }

        /** Guards against an invalid document of which only the first error is reported. */
        @Test
        void allValidationErrorsAreReported() throws Exception {
            Response invalid = put("/deployment", "{\"blockCount\":\"x\",\"colour\":1}", "1", "c2");

            assertThat(invalid.status()).isEqualTo(422);
            assertThat(invalid.body().path("errors").findValuesAsText("path"))
                    .contains("/deployment/blockCount", "/deployment/colour", "/deployment/teams");
        }

        /** Guards against malformed requests that fail without a typed error. */
        @Test
        void malformedRequestsReportEveryError() throws Exception {
            Response bad = put("/deployment", "{", "latest", "a b");
            assertThat(bad.status()).isEqualTo(400);
            assertThat(bad.body().path("errors").findValuesAsText("path"))
                    .containsExactly("Redwing-Change-Id", "If-Match", "/deployment");
            assertThat(put("/nowhere", "1", "0", "c2").message()).contains("no team owns this");
            assertThat(send(at("/v1/settings/tree/nowhere")).status()).isEqualTo(404);
            assertThat(send(at("/v1/settings/history?after=x")).status()).isEqualTo(400);
            assertThat(send(at("/v1/settings/tree").DELETE()).status()).isEqualTo(405);
        }
    }

    @Nested
    class ChangeState {
        /** Guards against a definite state of a change while the platform is unavailable. */
        @Test
        void isUnknownWhileThePlatformIsDown() throws Exception {
            mCluster.mPlatform.inject(PlatformFaults.NONE.withDown(true));

            Response response = send(at("/v1/settings/changes/c1"));

            assertThat(response.body().path("state").asText()).isEqualTo("unknown");
            assertThat(put("/deployment/lookupLifetimeMillis", "1500", "1", "c2").status())
                    .isEqualTo(503);
            assertThat(mHost.lookupLifetimeMillis()).isEqualTo(1001);
        }
    }
}
