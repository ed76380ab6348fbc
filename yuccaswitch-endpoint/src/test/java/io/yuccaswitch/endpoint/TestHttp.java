package io.yuccaswitch.endpoint;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;

/** Sends requests to stand-ins without using the clients under test. */
final class TestHttp {

    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private TestHttp() {}

    static String get(String address, String path) throws IOException, InterruptedException {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address + path)).build());
    }

    static String post(String address, String path, String body) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create("http://" + address + path))
                .POST(BodyPublishers.ofString(body))
                .build());
    }

    private static String send(HttpRequest request) throws IOException, InterruptedException {
        return CLIENT.send(request, BodyHandlers.ofString()).body();
    }
}
