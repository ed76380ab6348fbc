/** Client accounts: identifies the account of a request by its API key, and determines its permissions. */
package io.yuccaswitch.core.account;
