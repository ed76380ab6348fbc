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
        return client.socketFactory(new AnswerSocketFactory(observer))
                .addInterceptor(new UnusableConnectionRetry())
                .addNetworkInterceptor(new ExchangeStart());
    }

    /**
     * Sends a request on another connection if a kept one can't be used. Each failure closes a kept connection, so that
     * the number of retries is bounded by their number.
     */
    private static final class UnusableConnectionRetry implements Interceptor {

        /** {@inheritDoc} */
        @Override
        public Response intercept(Chain chain) throws IOException {
            while (true) {
                try {
                    return chain.proceed(chain.request());
                } catch (UnusableConnectionException exception) {
                    if (!exception.isKept() || chain.call().isCanceled()) {
                        throw exception;
                    }
                }
            }
        }
    }

    /**
     * Prepares a connection for the answer to a request, right before the request is written. A connection that holds
     * bytes or has ended is not used: the bytes would be read as the answer, and the request would be lost.
     */
    private static final class ExchangeStart implements Interceptor {

        /** {@inheritDoc} */
        @Override
        public Response intercept(Chain chain) throws IOException {
            Connection connection = chain.connection();
            if (connection != null && connection.socket() instanceof AnswerSocket socket) {
                ConnectionCondition condition = socket.condition();
                if (condition != ConnectionCondition.IDLE) {
                    socket.close();
                    throw new UnusableConnectionException(condition, socket.isKept());
                }
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
