/** Retries: the retry budget, backoff, hedging and the ejection of failing endpoints. */
package io.yuccaswitch.core.retry;
