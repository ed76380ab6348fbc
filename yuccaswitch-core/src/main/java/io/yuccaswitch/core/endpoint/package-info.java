/**
 * Endpoints as the decision core knows them: where they are, how loaded they say they are, and which weight versions
 * they hold.
 */
package io.yuccaswitch.core.endpoint;
