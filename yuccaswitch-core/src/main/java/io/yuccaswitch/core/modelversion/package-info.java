/** Versions of model weights that trainers name, and the orders that bring engines to them. */
package io.yuccaswitch.core.modelversion;
