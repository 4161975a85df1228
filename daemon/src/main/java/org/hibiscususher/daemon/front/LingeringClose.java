package org.hibiscususher.daemon.front;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a caller's connection in two steps: ends the output, then reads and drops what the caller
 * still sends until it closes as well, or the linger time is over.
 *
 * <p>The operating system resets a connection that is closed with unread bytes, and the caller
 * could then lose a response that it has not read yet.
 */
final class LingeringClose extends ChannelDuplexHandler {
    private static final long MAX_LINGER_MS = 2_000;

    private boolean mClosing;
    private Future<?> mTimer;

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        SocketChannel channel = (SocketChannel) context.channel();
        if (!channel.isActive() || resets(channel)) {
            context.close(promise);
        } else if (mClosing) {
            channel.closeFuture().addListener(closed -> promise.trySuccess());
        } else {
            mClosing = true;
            endOutput(context, channel, promise);
        }
    }

    private void endOutput(
            ChannelHandlerContext context, SocketChannel channel, ChannelPromise promise) {
        mTimer =
                context.executor()
                        .schedule(
                                () -> context.close(promise), MAX_LINGER_MS, TimeUnit.MILLISECONDS);
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
    }

    private static boolean resets(SocketChannel channel) {
        return channel.config().getOption(ChannelOption.SO_LINGER) == 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClosing) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        context.fireChannelInactive();
    }
}
