/** Versions of model weights that trainers name, and the orders that make engines load them. */
package io.yuccaswitch.core.modelversion;
