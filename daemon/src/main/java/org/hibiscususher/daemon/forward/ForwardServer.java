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
import java.util.function.LongSupplier;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.scheduler.message.SchedulerInput;
import org.hibiscususher.core.scheduler.message.SchedulerInput.HandoverOffered;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RelinquishRequested;
import org.hibiscususher.core.scheduler.message.SchedulerInput.RequestReceived;
import org.hibiscususher.daemon.control.Inbox;
import org.hibiscususher.wire.http.Addresses;
import org.hibiscususher.wire.scheduler.ForwardMessage;

/** Server for requests that other entries forward. */
public final class ForwardServer {
    private static final long RETRY_AFTER_MS = 1_000;

    private ForwardServer() {}

    /**
     * Binds the server to an address.
     *
     * @param group event loops of the server's connections; the caller closes them
     * @param address IP number and port to listen on
     * @param calls registers where the response of each request is sent
     * @param inbox receives the requests
     * @param clockMs steady clock of the control thread, in milliseconds, by which requests arrive
     * @throws IOException if the address can't be bound
     */
    public static void listen(
            EventLoopGroup group,
            String address,
            PendingCalls calls,
            Inbox<SchedulerInput> inbox,
            LongSupplier clockMs)
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
                                        ForwardPipeline.addHandlers(
                                                channel,
                                                (c, m) -> dispatch(c, m, calls, inbox, clockMs));
                                    }
                                })
                        .bind(Addresses.parse(address))
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen for entries on " + address, bound.cause());
        }
    }

    private static void dispatch(
            Channel channel,
            ForwardMessage message,
            PendingCalls calls,
            Inbox<SchedulerInput> inbox,
            LongSupplier clockMs) {
        long arrivedMs = clockMs.getAsLong();
        message.request()
                .ifPresent(
                        request ->
                                submit(
                                        channel,
                                        message.callId(),
                                        id -> new RequestReceived(id, request, arrivedMs),
                                        calls,
                                        inbox));
        message.relinquishTo()
                .ifPresent(
                        generation ->
                                submit(
                                        channel,
                                        message.callId(),
                                        id -> new RelinquishRequested(id, generation),
                                        calls,
                                        inbox));
        message.handoverFrom()
                .ifPresent(
                        generation ->
                                submit(
                                        channel,
                                        message.callId(),
                                        id -> new HandoverOffered(id, generation),
                                        calls,
                                        inbox));
    }

    /**
     * Adds an input to the inbox and registers its response; responds that the entry is overloaded
     * if there are too many pending calls or inputs.
     *
     * @param remoteCallId call id of the other entry, which the response carries
     * @param input creates the input from the local call id
     */
    private static void submit(
            Channel channel,
            long remoteCallId,
            LongFunction<SchedulerInput> input,
            PendingCalls calls,
            Inbox<SchedulerInput> inbox) {
        long id =
                calls.register(
                        response ->
                                ForwardPipeline.send(
                                        channel, ForwardMessage.of(remoteCallId, response)));
        JobResponse overloaded =
                JobResponse.refusal(
                        JobResponseKind.OVERLOADED, RETRY_AFTER_MS, "too-many-requests");
        if (id == 0) {
            ForwardPipeline.send(channel, ForwardMessage.of(remoteCallId, overloaded));
        } else if (!inbox.offer(input.apply(id))) {
            calls.complete(id, overloaded);
        }
    }
}
