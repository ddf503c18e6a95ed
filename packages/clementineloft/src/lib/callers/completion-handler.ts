/**
 * Handles completion requests: checks each one and starts a pipeline run for it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { computeDigest, createError, createIdentifier, ErrorKind } from '@clementineloft/kernel'
import type { CallerTeam } from './api-key-index.js'
import { parseCompletion } from './completion-request.js'
import type { CompletionForm } from './completion-request.js'
import { CompletionWriter } from './completion-writer.js'
import type { ProcessContext } from '../peers/process-context.js'
import type { RunManager } from '../endpoints/run-manager.js'

/** Handles completion requests of callers. */
export class CompletionHandler {
  private readonly inFlight = new Map<string, number>()

  /**
   * @param context - shared components of this process
   * @param manager - starts the pipeline runs
   * @param hasModel - whether a model is configured
   * @param deadlineMs - time limit of a request in milliseconds
   */
  constructor (
    private readonly context: ProcessContext,
    private readonly manager: RunManager,
    private readonly hasModel: (model: string) => boolean,
    private readonly deadlineMs: number
  ) {}

  /**
   * Starts one request, whose answer is written as its run proceeds.
   *
   * @param form - form of the request
   * @param team - the caller's team
   * @param body - the request's body
   * @throws the reason why the request cannot be started
   */
  handle (form: CompletionForm, team: CallerTeam, body: Buffer, incoming: IncomingMessage, response: ServerResponse): void {
    const completion = parseCompletion(form, body)
    if (!this.hasModel(completion.model)) {
      throw createError(ErrorKind.notFound, `model "${completion.model}" does not exist; GET /v1/models lists them`)
    }
    const request = createIdentifier()
    const { prompt, model, maxTokens } = completion
    const fingerprint = computeDigest(`${team.name} ${model} ${prompt}`)
    if (this.context.crashes.isQuarantined(fingerprint)) {
      throw createError(ErrorKind.quarantined, 'the same request has crashed several endpoints and is quarantined; change it before a retry')
    }
    this.checkInFlightLimit(team)
    const isSuspect = this.context.crashes.isSuspect(fingerprint)
    this.context.journal.record({ name: 'request-accepted', request, team: team.name, detail: `model ${model}` })
    const writers: CompletionWriter[] = []
    const run = this.manager.start(
      { request, team: team.name, model, prompt, fingerprint, isSuspect, maxTokens, deadlineMs: this.deadlineMs },
      (handleRunEnd) => {
        const handleEnd = (): void => {
          handleRunEnd()
          this.inFlight.set(team.name, this.countInFlight(team.name) - 1)
        }
        this.inFlight.set(team.name, this.countInFlight(team.name) + 1)
        const writer = new CompletionWriter(this.context, completion, request, team.name, fingerprint, incoming, response, handleEnd)
        writers.push(writer)
        return writer
      }
    )
    for (const writer of writers) writer.run = run
    response.on('close', () => {
      if (run.isEnded()) return
      this.context.metrics.count('requests_total{outcome="cancelled"}')
      this.context.journal.record({ name: 'request-cancelled', request, team: team.name })
      this.manager.cancel(request)
      for (const writer of writers) writer.handleCancelled()
    })
  }

  private countInFlight (team: string): number {
    return this.inFlight.get(team) ?? 0
  }

  private checkInFlightLimit (team: CallerTeam): void {
    const limit = team.terms.maxInFlight
    if (limit === undefined || this.countInFlight(team.name) < limit) return
    throw createError(ErrorKind.limited, `team "${team.name}" has reached its limit of ${limit} requests in flight at this entry`)
  }
}
