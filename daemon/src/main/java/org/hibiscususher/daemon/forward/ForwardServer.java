package org.hibiscususher.daemon.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.util.function.LongFunction;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HandoverOffered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RelinquishRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/** Takes requests that other entries pass on. */
public final class ForwardServer {
    private static final long RETRY_AFTER_MS = 1_000;

    private ForwardServer() {}

    /**
     * Starts to listen.
     *
     * @param group event loops; the owner closes them
     * @param address IP number and port
     * @param calls keeps where answers go
     * @param inbox takes the requests
     * @throws IOException if the address can't be bound
     */
    public static void listen(
            EventLoopGroup group, String address, PendingCalls calls, Inbox<SchedulerInput> inbox)
            throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        LinkPipeline.add(
                                                channel, (c, m) -> receive(c, m, calls, inbox));
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for entries on " + address, bound.cause());
        }
    }

    private static void receive(
            Channel channel,
            ForwardMessage message,
            PendingCalls calls,
            Inbox<SchedulerInput> inbox) {
        message.request()
                .ifPresent(
                        call ->
                                take(
                                        channel,
                                        message.callId(),
                                        id -> new RequestReceived(id, call),
                                        calls,
                                        inbox));
        message.relinquishTo()
                .ifPresent(
                        generation ->
                                take(
                                        channel,
                                        message.callId(),
                                        id -> new RelinquishRequested(id, generation),
                                        calls,
                                        inbox));
        message.handoverFrom()
                .ifPresent(
                        generation ->
                                take(
                                        channel,
                                        message.callId(),
                                        id -> new HandoverOffered(id, generation),
                                        calls,
                                        inbox));
    }

    private static void take(
            Channel channel,
            long remoteId,
            LongFunction<SchedulerInput> input,
            PendingCalls calls,
            Inbox<SchedulerInput> inbox) {
        long id =
                calls.register(
                        answer -> LinkPipeline.send(channel, ForwardMessage.of(remoteId, answer)));
        if (id == 0 || !inbox.offer(input.apply(id))) {
            JobResponse answer =
                    JobResponse.refusal(
                            JobResponseKind.OVERLOADED, RETRY_AFTER_MS, "too-many-requests");
            calls.complete(id, answer);
            LinkPipeline.send(channel, ForwardMessage.of(remoteId, answer));
        }
    }
}
