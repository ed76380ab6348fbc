/** Clients of endpoints: model engines, plain services and scorers. */
package io.yuccaswitch.endpoint;
