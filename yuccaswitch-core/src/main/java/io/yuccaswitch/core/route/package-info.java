/** Routes: which requests are served, by which pools and under which limits. */
package io.yuccaswitch.core.route;
