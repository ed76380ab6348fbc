/** Client accounts: whose API key a request bears, and what that lets it do. */
package io.yuccaswitch.core.account;
