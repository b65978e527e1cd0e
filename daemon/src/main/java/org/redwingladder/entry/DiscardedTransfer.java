package org.redwingladder.entry;

import org.redwingladder.http.CallException;
import org.redwingladder.http.StreamedResponse;

/** The end of a response that is not used, as its request goes on without it. */
final class DiscardedTransfer implements StreamedResponse.TransferHandler {
    @Override
    public void transferred(long bytes) {
        throw new IllegalStateException("a discarded response was transferred");
    }

    @Override
    public void failed(CallException cause) {}
}
