/** A stand-in for a plain service that counts the runs of each request. */
package io.yuccaswitch.testkit.service;
