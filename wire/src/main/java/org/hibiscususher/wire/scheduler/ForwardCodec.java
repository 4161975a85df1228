package org.hibiscususher.wire.scheduler;

import java.io.IOException;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.wire.generated.SchedulerProto;

/** Translates messages between entries. */
public final class ForwardCodec {
    private ForwardCodec() {}

    /** Returns a message's bytes. */
    public static byte[] encode(ForwardMessage message) {
        SchedulerProto.Link.Builder builder =
                SchedulerProto.Link.newBuilder().setCallId(message.callId());
        message.request().ifPresent(request -> builder.setCall(encode(request)));
        message.response().ifPresent(response -> builder.setAnswer(encode(response)));
        message.relinquishTo()
                .ifPresent(generation -> builder.getYieldBuilder().setGeneration(generation));
        message.handoverFrom()
                .ifPresent(generation -> builder.getOfferBuilder().setGeneration(generation));
        return builder.build().toByteArray();
    }

    private static SchedulerProto.Call encode(JobRequest call) {
        SchedulerProto.Call.Builder builder =
                SchedulerProto.Call.newBuilder()
                        .setKind(call.kind().ordinal())
                        .setHost(call.hostName())
                        .setPath(call.path())
                        .setKey(call.apiKey())
                        .setHops(call.hops());
        call.spec().ifPresent(spec -> builder.setSpec(SpecCodec.encode(spec)));
        return builder.build();
    }

    private static SchedulerProto.Answer encode(JobResponse answer) {
        return SchedulerProto.Answer.newBuilder()
                .setKind(answer.kind().ordinal())
                .setState(answer.state().ordinal())
                .setPending(answer.pending())
                .setRetryAfterMs(answer.retryAfterMs())
                .setReason(answer.reason())
                .build();
    }

    /**
     * Returns the message that bytes stand for.
     *
     * @throws IOException if they stand for none
     */
    public static ForwardMessage decode(byte[] bytes) throws IOException {
        SchedulerProto.Link link = SchedulerProto.Link.parseFrom(bytes);
        return switch (link.getBodyCase()) {
            case CALL -> ForwardMessage.of(link.getCallId(), decode(link.getCall()));
            case ANSWER -> ForwardMessage.of(link.getCallId(), decode(link.getAnswer()));
            case YIELD ->
                    ForwardMessage.relinquishRequest(
                            link.getCallId(), link.getYield().getGeneration());
            case OFFER ->
                    ForwardMessage.handoverOffer(link.getCallId(), link.getOffer().getGeneration());
            default -> throw new IOException("a message without a body");
        };
    }

    private static JobRequest decode(SchedulerProto.Call call) throws IOException {
        return new JobRequest(
                constant(JobRequestKind.values(), call.getKind()),
                call.getHost(),
                call.getPath(),
                call.getKey(),
                call.hasSpec() ? Optional.of(SpecCodec.decode(call.getSpec())) : Optional.empty(),
                call.getHops());
    }

    private static JobResponse decode(SchedulerProto.Answer answer) throws IOException {
        return new JobResponse(
                constant(JobResponseKind.values(), answer.getKind()),
                constant(JobState.values(), answer.getState()),
                answer.getPending(),
                answer.getRetryAfterMs(),
                answer.getReason());
    }

    static <E> E constant(E[] values, int number) throws IOException {
        if (number < 0 || number >= values.length) {
            throw new IOException("unknown constant " + number);
        }
        return values[number];
    }
}
