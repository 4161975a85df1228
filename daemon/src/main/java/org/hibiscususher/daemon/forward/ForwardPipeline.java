package org.hibiscususher.daemon.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.function.BiConsumer;
import org.hibiscususher.wire.scheduler.ForwardCodec;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/** Channel handlers that frame, encode and decode messages between entries. */
final class ForwardPipeline {
    private static final int MAX_FRAME_BYTES = 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private ForwardPipeline() {}

    /**
     * Adds the handlers to a new connection.
     *
     * @param channel connection to or from another entry
     * @param receiver called on the connection's event loop with each message
     */
    static void addHandlers(Channel channel, BiConsumer<Channel, ForwardMessage> receiver) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new Receiver(receiver));
    }

    /** Encodes and sends a message, without waiting. */
    static ChannelFuture send(Channel channel, ForwardMessage message) {
        return channel.writeAndFlush(Unpooled.wrappedBuffer(ForwardCodec.encode(message)));
    }

    private static final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private static final Logger LOG = System.getLogger(ForwardPipeline.class.getName());

        private final BiConsumer<Channel, ForwardMessage> mReceiver;

        Receiver(BiConsumer<Channel, ForwardMessage> receiver) {
            mReceiver = receiver;
        }

        /** Passes a message on; drops a malformed one, whose frame ends where the next begins. */
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            ForwardMessage message;
            try {
                message = ForwardCodec.decode(ByteBufUtil.getBytes(frame));
            } catch (IOException | RuntimeException e) {
                LOG.log(
                        Level.WARNING,
                        "event=message-malformed peer={0} cause=\"{1}\"",
                        context.channel().remoteAddress(),
                        e);
                return;
            }
            mReceiver.accept(context.channel(), message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.log(
                    Level.INFO,
                    "event=link-broken peer={0} cause=\"{1}\"",
                    context.channel().remoteAddress(),
                    cause);
            context.close();
        }
    }
}
