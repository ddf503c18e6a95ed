/**
 * Definitions of the gRPC services between entries and sidecars, with the generated codec.
 */
import type { ServiceDefinition } from '@grpc/grpc-js'
import { clementineloft as wire } from '../../../generated/wire.js'

interface Codec<Input, Message extends Input> {
  encode (message: Input): { finish: () => Uint8Array }
  decode (bytes: Uint8Array): Message
}

const createMethod = <RequestInput, Request extends RequestInput, ResponseInput, Response extends ResponseInput> (
  path: string,
  request: Codec<RequestInput, Request>,
  response: Codec<ResponseInput, Response>,
  isStreaming: boolean
) => ({
    path: `/clementineloft.${path}`,
    requestStream: isStreaming,
    responseStream: isStreaming,
    requestSerialize: (message: RequestInput): Buffer => Buffer.from(request.encode(message).finish()),
    requestDeserialize: (bytes: Buffer): Request => request.decode(bytes),
    responseSerialize: (message: ResponseInput): Buffer => Buffer.from(response.encode(message).finish()),
    responseDeserialize: (bytes: Buffer): Response => response.decode(bytes)
  })

/** Service of sidecars: the stream of frames, and calls to plain services. */
export const sidecarService = {
  connect: createMethod('Sidecar/Connect', wire.Batch, wire.Batch, true),
  call: createMethod('Sidecar/Call', wire.CallRequest, wire.CallReply, false),
  resolve: createMethod('Sidecar/Resolve', wire.ResolveRequest, wire.CallReply, false),
  issueTicket: createMethod('Sidecar/IssueTicket', wire.TicketRequest, wire.TicketReply, false)
} satisfies ServiceDefinition

/** Service of every process: exchange of configuration revisions and crash reports. */
export const peerService = {
  exchange: createMethod('Peer/Exchange', wire.ExchangeRequest, wire.ExchangeReply, false)
} satisfies ServiceDefinition
