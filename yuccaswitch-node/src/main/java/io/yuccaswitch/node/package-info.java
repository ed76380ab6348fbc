/** The process that runs on every entry VM: the decision core and the shell that executes its effects. */
package io.yuccaswitch.node;
