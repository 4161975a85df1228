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

/** Frames and translates messages on a connection between entries. */
final class LinkPipeline {
    private static final int MAX_FRAME_BYTES = 1024 * 1024;
    private static final int LENGTH_BYTES = 4;

    private LinkPipeline() {}

    /** Adds the handlers to a connection; {@code receiver} takes its messages. */
    static void add(Channel channel, BiConsumer<Channel, ForwardMessage> receiver) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new Receiver(receiver));
    }

    /** Sends a message. */
    static ChannelFuture send(Channel channel, ForwardMessage message) {
        return channel.writeAndFlush(Unpooled.wrappedBuffer(ForwardCodec.encode(message)));
    }

    private static final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        private static final Logger LOG = System.getLogger(LinkPipeline.class.getName());

        private final BiConsumer<Channel, ForwardMessage> mReceiver;

        Receiver(BiConsumer<Channel, ForwardMessage> receiver) {
            mReceiver = receiver;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
                throws IOException {
            ForwardMessage message = ForwardCodec.decode(ByteBufUtil.getBytes(frame));
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
