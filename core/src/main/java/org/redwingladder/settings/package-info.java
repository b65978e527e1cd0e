/** The settings document, its validation, its order of changes and the split of caps. */
@NullMarked
package org.redwingladder.settings;

import org.jspecify.annotations.NullMarked;
