/** Weight versions of trainers and their rollout to the engines. */
package io.yuccaswitch.core.weight;
