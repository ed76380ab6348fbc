/** A stand-in of a plain service that counts how often each request ran. */
package io.yuccaswitch.testkit.service;
