package org.hibiscususher.wire.scheduler;

import java.io.IOException;
import java.util.Optional;
import org.hibiscususher.core.job.JobRequest;
import org.hibiscususher.core.job.JobRequestKind;
import org.hibiscususher.core.job.JobResponse;
import org.hibiscususher.core.job.JobResponseKind;
import org.hibiscususher.core.job.JobState;
import org.hibiscususher.core.job.OwnerLoad;
import org.hibiscususher.wire.generated.SchedulerProto;

/** Encodes {@link ForwardMessage} as protobuf and decodes it. Thread-safe. */
public final class ForwardCodec {
    private ForwardCodec() {}

    /** Returns the protobuf encoding of a message. */
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

    private static SchedulerProto.Call encode(JobRequest request) {
        SchedulerProto.Call.Builder builder =
                SchedulerProto.Call.newBuilder()
                        .setKind(request.kind().ordinal())
                        .setHost(request.hostName())
                        .setPath(request.path())
                        .setKey(request.apiKey())
                        .setHops(request.hops());
        request.spec().ifPresent(spec -> builder.setSpec(SpecCodec.encode(spec)));
        return builder.build();
    }

    private static SchedulerProto.Answer encode(JobResponse response) {
        SchedulerProto.Answer.Builder builder =
                SchedulerProto.Answer.newBuilder()
                        .setKind(response.kind().ordinal())
                        .setState(response.state().ordinal())
                        .setPending(response.pending())
                        .setRetryAfterMs(response.retryAfterMs())
                        .setReason(response.reason());
        response.ownerLoad().ifPresent(load -> builder.setOwnerLoad(encode(load)));
        return builder.build();
    }

    private static SchedulerProto.OwnerLoad encode(OwnerLoad load) {
        return SchedulerProto.OwnerLoad.newBuilder()
                .setQueueMs(load.queueMs())
                .setRejectMs(load.rejectMs())
                .setMinWorkCoreMs(load.minWorkCoreMs())
                .build();
    }

    /**
     * Returns the message that protobuf bytes encode.
     *
     * @throws IOException if the bytes are malformed, or hold a type of message or an enum ordinal
     *     that this build doesn't know
     */
    public static ForwardMessage decode(byte[] bytes) throws IOException {
        SchedulerProto.Link message = SchedulerProto.Link.parseFrom(bytes);
        return switch (message.getBodyCase()) {
            case CALL -> ForwardMessage.of(message.getCallId(), decode(message.getCall()));
            case ANSWER -> ForwardMessage.of(message.getCallId(), decode(message.getAnswer()));
            case YIELD ->
                    ForwardMessage.relinquishRequest(
                            message.getCallId(), message.getYield().getGeneration());
            case OFFER ->
                    ForwardMessage.handoverOffer(
                            message.getCallId(), message.getOffer().getGeneration());
            default -> throw new IOException("message between entries has no known body");
        };
    }

    private static JobRequest decode(SchedulerProto.Call request) throws IOException {
        return new JobRequest(
                enumConstant(JobRequestKind.values(), request.getKind()),
                request.getHost(),
                request.getPath(),
                request.getKey(),
                request.hasSpec()
                        ? Optional.of(SpecCodec.decode(request.getSpec()))
                        : Optional.empty(),
                request.getHops());
    }

    private static JobResponse decode(SchedulerProto.Answer response) throws IOException {
        return new JobResponse(
                enumConstant(JobResponseKind.values(), response.getKind()),
                enumConstant(JobState.values(), response.getState()),
                response.getPending(),
                response.getRetryAfterMs(),
                response.getReason(),
                response.hasOwnerLoad()
                        ? Optional.of(decode(response.getOwnerLoad()))
                        : Optional.empty());
    }

    private static OwnerLoad decode(SchedulerProto.OwnerLoad load) {
        return new OwnerLoad(
                Math.max(0, load.getQueueMs()),
                Math.max(0, load.getRejectMs()),
                Math.max(0, load.getMinWorkCoreMs()));
    }

    /**
     * Returns the enum constant with an ordinal.
     *
     * @throws IOException if there is none, as when a newer build has added a constant
     */
    static <E> E enumConstant(E[] values, int ordinal) throws IOException {
        if (ordinal < 0 || ordinal >= values.length) {
            throw new IOException("unknown enum ordinal " + ordinal);
        }
        return values[ordinal];
    }
}
