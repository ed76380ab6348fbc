/** When work is tried again: the retry budget, back-off and the ejection of failing endpoints. */
package io.yuccaswitch.core.retry;
