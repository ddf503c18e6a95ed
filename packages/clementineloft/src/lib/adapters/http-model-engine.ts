/**
 * Adapter of a model engine over HTTP. Steps of the same turn of the event loop are sent in one call, so that the engine
 * can batch them.
 */
import * as z from 'zod'
import { createError, ErrorKind, getErrorKind, getErrorMessage, getErrorOutcome, Outcome } from '@clementineloft/kernel'
import { ModelEngine } from '@clementineloft/routing'
import type { EngineStep, StageOutput } from '@clementineloft/routing'
import { modelEngines } from './adapters.js'
import { HttpClient } from './http-client.js'
import type { HttpReply } from './http-client.js'

interface PendingStep {
  step: EngineStep
  resolve: (outputs: StageOutput[]) => void
  reject: (error: unknown) => void
}

const encodeReplySchema = z.object({ rows: z.array(z.base64()) })

const stepResultSchema = z.object({
  session: z.string(),
  position: z.int(),
  /** Activations. */
  rows: z.array(z.base64()).optional(),
  tokens: z.array(z.object({ row: z.base64(), text: z.string(), isLast: z.boolean() })).optional(),
  error: z.string().optional()
})
const stepsReplySchema = z.object({ results: z.array(stepResultSchema) })

/** Result of one step, as encoded by the engine's API. */
type StepResult = z.infer<typeof stepResultSchema>

const decodeRow = (row: string): Uint8Array => Buffer.from(row, 'base64')

const encodeRow = (row: Uint8Array): string => Buffer.from(row).toString('base64')

/** Parses a response. A malformed one is an internal error of the engine, not a crash that the request caused. */
const parseReply = <T>(reply: HttpReply, schema: z.ZodType<T>): T => {
  try {
    return schema.parse(JSON.parse(reply.body.toString()))
  } catch (error) {
    throw createError(ErrorKind.internal, 'engine response is not valid JSON of the expected schema', { outcome: Outcome.unknown, cause: error })
  }
}

/** Client of `POST /v1/encode`, `/v1/steps` and `/v1/end`, and of `GET /v1/health`. */
export class HttpModelEngine extends ModelEngine {
  private readonly client = new HttpClient()
  private pending: PendingStep[] = []

  constructor (
    private readonly url: string,
    private readonly timeoutMs: number
  ) {
    super()
  }

  override async encode (model: string, text: string): Promise<Uint8Array[]> {
    const reply = await this.post('/v1/encode', { model, text })
    return parseReply(reply, encodeReplySchema).rows.map(decodeRow)
  }

  override runStep (step: EngineStep): Promise<StageOutput[]> {
    return new Promise((resolve, reject) => {
      this.pending.push({ step, resolve, reject })
      if (this.pending.length === 1) setImmediate(() => { void this.sendPending() })
    })
  }

  override async check (): Promise<void> {
    await this.client.send({ method: 'GET', url: new URL('/v1/health', this.url), headers: {}, timeoutMs: this.timeoutMs })
  }

  override endSession (session: string): void {
    this.post('/v1/end', { session }).catch(() => {
      // The session is gone with the engine if the engine cannot be reached.
    })
  }

  private async sendPending (): Promise<void> {
    const batch = this.pending
    this.pending = []
    const steps = batch.map(({ step }) => ({ ...step, rows: step.rows.map(encodeRow) }))
    try {
      const reply = await this.post('/v1/steps', { steps })
      const { results } = parseReply(reply, stepsReplySchema)
      batch.forEach((pending, index) => { this.settle(pending, results[index]) })
    } catch (error) {
      const failure = createError(getErrorKind(error), `engine steps failed: ${getErrorMessage(error)}`, {
        outcome: getErrorOutcome(error), cause: error
      })
      for (const pending of batch) pending.reject(failure)
    }
  }

  private settle (pending: PendingStep, result: StepResult | undefined): void {
    const { step } = pending
    if (result?.session !== step.session || result.position !== step.position) {
      pending.reject(createError(ErrorKind.internal, 'engine response is missing or has another session or position than the step'))
      return
    }
    if (result.error !== undefined) {
      pending.reject(createError(ErrorKind.badRequest, `engine rejected the step: ${result.error}`))
      return
    }
    const tokens = result.tokens?.map((token): StageOutput => ({ ...token, row: decodeRow(token.row) }))
    pending.resolve(tokens ?? (result.rows ?? []).map(decodeRow))
  }

  private async post (path: string, body: unknown): Promise<HttpReply> {
    const reply = await this.client.sendJson('POST', new URL(path, this.url), body, this.timeoutMs)
    if (reply.status === 200) return reply
    throw createError(ErrorKind.endpointFailed, `engine answered with status ${reply.status} to POST ${path}`, { outcome: Outcome.unknown })
  }
}

modelEngines.register('http', (url, timeoutMs) => new HttpModelEngine(url, timeoutMs))
