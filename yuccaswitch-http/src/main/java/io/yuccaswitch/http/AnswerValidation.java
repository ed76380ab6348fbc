package io.yuccaswitch.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;
import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/** Validates the answers that a client receives over connections without TLS, before the client reads them. */
public final class AnswerValidation {

    /** This class has no instances. */
    private AnswerValidation() {}

    /**
     * Adds the validation to a client. It has to be added before other network interceptors.
     *
     * @param client The client, which uses cleartext HTTP/1.1 only.
     * @param observer Receives what is wrong with answers and connections.
     * @return The client.
     */
    public static OkHttpClient.Builder addTo(OkHttpClient.Builder client, AnswerObserver observer) {
        return client.socketFactory(new AnswerSocketFactory(observer)).addNetworkInterceptor(new ExchangeStart());
    }

    /** Prepares a connection for the answer to a request, right before the request is written. */
    private static final class ExchangeStart implements Interceptor {

        /** {@inheritDoc} */
        @Override
        public Response intercept(Chain chain) throws IOException {
            Connection connection = chain.connection();
            if (connection != null && connection.socket() instanceof AnswerSocket socket) {
                socket.condition();
                socket.expectAnswer(chain.request().method());
            }
            return chain.proceed(chain.request());
        }
    }

    /** Creates sockets that validate answers. */
    private static final class AnswerSocketFactory extends SocketFactory {

        /** Receives what is wrong with answers and connections. */
        private final AnswerObserver observer;

        /**
         * Creates a factory.
         *
         * @param observer Receives what is wrong with answers and connections.
         */
        AnswerSocketFactory(AnswerObserver observer) {
            this.observer = observer;
        }

        /** {@inheritDoc} */
        @Override
        public Socket createSocket() throws IOException {
            return new AnswerSocket(observer);
        }

        /** {@inheritDoc} */
        @Override
        public Socket createSocket(String _host, int _port) {
            throw new UnsupportedOperationException("The client connects its sockets itself.");
        }

        /** {@inheritDoc} */
        @Override
        public Socket createSocket(String _host, int _port, InetAddress _localHost, int _localPort) {
            throw new UnsupportedOperationException("The client connects its sockets itself.");
        }

        /** {@inheritDoc} */
        @Override
        public Socket createSocket(InetAddress _host, int _port) {
            throw new UnsupportedOperationException("The client connects its sockets itself.");
        }

        /** {@inheritDoc} */
        @Override
        public Socket createSocket(InetAddress _address, int _port, InetAddress _localAddress, int _localPort) {
            throw new UnsupportedOperationException("The client connects its sockets itself.");
        }
    }
}
