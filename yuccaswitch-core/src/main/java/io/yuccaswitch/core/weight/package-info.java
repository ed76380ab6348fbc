/** Weight versions of trainers and how they reach the engines. */
package io.yuccaswitch.core.weight;
