/** End-to-end tests with separate processes, and architecture rules for all modules. */
@org.jspecify.annotations.NullMarked
package org.redwingladder.systemtest;
