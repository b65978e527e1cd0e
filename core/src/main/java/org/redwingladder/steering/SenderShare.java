package org.redwingladder.steering;

/**
 * The share of a server's request rate that one host may use.
 *
 * @param fraction the share, 0 if the host must not send to the server, at most 1
 * @param position the host's position among the senders, from 0
 */
public record SenderShare(double fraction, int position) {
    static final SenderShare NONE = new SenderShare(0, 0);
}
