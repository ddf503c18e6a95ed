/**
 * Handles HTTP calls of plain services, under `/services/NAME/…`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { parseTicket } from '@clementineloft/coordination'
import { computeDigest, createError, createIdentifier, ErrorKind } from '@clementineloft/kernel'
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { CallerTeam } from './api-key-index.js'
import type { CallRouter } from '../endpoints/call-router.js'
import type { RoutedCall } from '../endpoints/routed-call.js'
import type { ServiceConfig } from '../operators/config-document.js'
import { sendJson } from './http-server.js'
import { findHeaderFault } from './message-text.js'
import type { ProcessContext } from '../peers/process-context.js'

const maxKeyLength = 255

/** Handles calls of plain services. */
export class ServiceHandler {
  private inFlight = 0

  /**
   * @param context - shared components of this process
   * @param router - routes the calls to endpoints
   * @param deadlineMs - time limit of a call in milliseconds
   */
  constructor (
    private readonly context: ProcessContext,
    private readonly router: CallRouter,
    private readonly deadlineMs: number
  ) {}

  /** @returns number of calls in flight */
  countCalls (): number {
    return this.inFlight
  }

  /**
   * Answers a call under `/services/NAME/…`.
   *
   * @param team - the caller's team
   * @param service - name of the service
   * @param path - path and query within the service
   * @param body - the request's body
   */
  async handle (
    team: CallerTeam,
    service: string,
    path: string,
    body: Buffer,
    incoming: IncomingMessage,
    response: ServerResponse
  ): Promise<void> {
    const config = this.context.replica.getDocument()?.services[service]
    if (config === undefined) throw createError(ErrorKind.notFound, `service "${service}" does not exist`)
    const call = this.createCall(team, service, config, path, body, incoming)
    this.inFlight++
    try {
      this.sendReply(response, await this.router.route(call), call.request)
    } finally {
      this.inFlight--
    }
  }

  /**
   * Issues an idempotency key that only one process may run.
   *
   * @param team - the caller's team
   * @param service - name of the service
   */
  async issueTicket (team: CallerTeam, service: string, response: ServerResponse): Promise<void> {
    sendJson(response, 201, { key: await this.router.issueTicket(team.name, service) })
  }

  private createCall (
    team: CallerTeam,
    service: string,
    config: ServiceConfig,
    path: string,
    body: Buffer,
    incoming: IncomingMessage
  ): RoutedCall {
    const method = incoming.method as string
    const fault = findHeaderFault(incoming.rawHeaders)
    if (fault !== undefined) throw createError(ErrorKind.badRequest, `the request cannot be forwarded: ${fault}`)
    const key = this.parseIdempotencyKey(incoming.headers['idempotency-key'])
    const isIdempotent = config.idempotentMethods.includes(method)
    const request = createIdentifier()
    const message: wire.ICallRequest = {
      request,
      service,
      team: team.name,
      method,
      path,
      headers: incoming.rawHeaders,
      body,
      key,
      isTicket: parseTicket(key) !== undefined,
      isIdempotent,
      deadlineMs: this.deadlineMs,
      fingerprint: computeDigest(`${method} ${path} ${computeDigest(body.toString('base64'))}`)
    }
    const deadlineMs = this.context.clock.now() + this.deadlineMs
    return { service, config, team: team.name, request, message, isIdempotent, key, deadlineMs }
  }

  /**
   * Parses the header `Idempotency-Key`: a string in the syntax of structured fields. A key without quotes is accepted
   * too.
   */
  private parseIdempotencyKey (header: string | string[] | undefined): string {
    if (header === undefined) return ''
    const text = Array.isArray(header) ? header.join(',') : header
    const key = text.replace(/^"(.*)"$/, '$1')
    if (/^[\x21\x23-\x7e]+$/.test(key) && key.length <= maxKeyLength) return key
    throw createError(ErrorKind.badRequest, `the header Idempotency-Key is invalid: expected 1 to ${maxKeyLength} visible ASCII characters other than the double quote`)
  }

  private sendReply (response: ServerResponse, reply: wire.CallReply, request: string): void {
    const headers: Record<string, string> = { 'x-request-id': request }
    for (let index = 0; index + 1 < reply.headers.length; index += 2) {
      headers[reply.headers[index] as string] = reply.headers[index + 1] as string
    }
    response.writeHead(reply.status, { ...headers, 'content-length': reply.body.byteLength })
    response.end(reply.body)
  }
}
