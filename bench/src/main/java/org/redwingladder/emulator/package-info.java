/** Plays deployments in virtual time with the decisions of an entry host. */
@org.jspecify.annotations.NullMarked
package org.redwingladder.emulator;
