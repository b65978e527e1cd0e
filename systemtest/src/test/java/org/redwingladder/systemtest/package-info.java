/** Tests over real processes and rules that hold across modules. */
@org.jspecify.annotations.NullMarked
package org.redwingladder.systemtest;
