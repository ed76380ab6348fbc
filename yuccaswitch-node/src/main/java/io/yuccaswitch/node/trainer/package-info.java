/** The HTTP interface for trainers, and the status, metrics and drain step of samples. */
package io.yuccaswitch.node.trainer;
