/** The process that runs on every entry VM: the shell around the decision core. */
package io.yuccaswitch.node;
