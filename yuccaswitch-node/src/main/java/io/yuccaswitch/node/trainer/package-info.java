/** The HTTP interface for trainers, and what the shell shows of samples. */
package io.yuccaswitch.node.trainer;
