/**
 * Completions in the form of the OpenAI API, streamed or whole.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { computeDigest, createError, createIdentifier, ErrorKind } from '@clementineloft/kernel'
import { RunListener } from '@clementineloft/routing'
import type { PipelineRun, Token } from '@clementineloft/routing'
import type { CallerTeam } from './authenticate.js'
import { createProblem, parseJson, sendError, sendJson } from './http-server.js'
import type { ProcessContext } from './process-context.js'
import type { RunManager } from './run-manager.js'

const defaultMaxTokens = 256
const maxMaxTokens = 32_768
const maxNesting = 32

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() })).transform((parts) => parts.map((part) => part.text).join(''))
])
const commonShape = {
  model: z.string(),
  stream: z.boolean().nullish(),
  max_tokens: z.int().min(1).max(maxMaxTokens).nullish()
}
const chatSchema = z.object({
  ...commonShape,
  max_completion_tokens: z.int().min(1).max(maxMaxTokens).nullish(),
  messages: z.array(z.object({ role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']), content: contentSchema })).min(1)
})
const textSchema = z.object({ ...commonShape, prompt: z.string().min(1) })

/** The two forms of a completion. */
export const CompletionForm = {
  chat: 'chat',
  text: 'text'
} as const
export type CompletionForm = typeof CompletionForm[keyof typeof CompletionForm]

interface CompletionRequest {
  form: CompletionForm
  model: string
  prompt: string
  isStream: boolean
  maxTokens: number
}

/** Refuses values nested so deeply that working through them would exhaust the stack. */
const checkNesting = (value: unknown, depth = 0): void => {
  if (depth > maxNesting) throw createError(ErrorKind.badRequest, `the body is nested deeper than ${maxNesting} levels`)
  if (typeof value !== 'object' || value === null) return
  for (const child of Object.values(value)) checkNesting(child, depth + 1)
}

const parseWith = <T>(schema: z.ZodType<T>, body: unknown): T => {
  const result = schema.safeParse(body)
  if (result.success) return result.data
  const faults = result.error.issues.map((issue) => `"${issue.path.join('.')}": ${issue.message}`)
  throw createError(ErrorKind.badRequest, `the body has faults: ${faults.join('; ')}`)
}

/**
 * @param form - form of the request
 * @param bytes - its body
 * @returns the request that it makes
 * @throws `bad-request` that names every fault
 */
export const parseCompletion = (form: CompletionForm, bytes: Buffer): CompletionRequest => {
  const body = parseJson(bytes)
  checkNesting(body)
  if (form === CompletionForm.text) {
    const { model, prompt, stream, max_tokens: maxTokens } = parseWith(textSchema, body)
    return { form, model, prompt, isStream: stream ?? false, maxTokens: maxTokens ?? defaultMaxTokens }
  }
  const chat = parseWith(chatSchema, body)
  const prompt = chat.messages.map((message) => `${message.role}: ${message.content}`).join('\n')
  const maxTokens = chat.max_completion_tokens ?? chat.max_tokens ?? defaultMaxTokens
  return { form, model: chat.model, prompt, isStream: chat.stream ?? false, maxTokens }
}

interface Progress {
  text: string
  tokens: number
  finishReason: 'stop' | 'length' | null
}

/** Writes one answer. */
class CompletionWriter extends RunListener {
  run: PipelineRun | undefined
  private readonly id: string
  private readonly created = Math.floor(Date.now() / 1000)
  private readonly progress: Progress = { text: '', tokens: 0, finishReason: null }
  private readonly startedMs: number
  private lastTokenMs: number

  constructor (
    private readonly context: ProcessContext,
    private readonly completion: CompletionRequest,
    private readonly request: string,
    private readonly team: string,
    private readonly fingerprint: string,
    private readonly incoming: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly handleEnd: () => void
  ) {
    super()
    this.id = `${completion.form === CompletionForm.chat ? 'chatcmpl' : 'cmpl'}-${request}`
    this.startedMs = context.clock.now()
    this.lastTokenMs = this.startedMs
  }

  override handleToken (token: Token): void {
    const { metrics, clock } = this.context
    const nowMs = clock.now()
    metrics.observe(this.progress.tokens === 0 ? 'first_token_ms' : 'token_interval_ms', nowMs - this.lastTokenMs)
    metrics.count('tokens_total')
    this.lastTokenMs = nowMs
    this.progress.tokens++
    if (token.isLast) this.progress.finishReason = 'stop'
    if (!this.completion.isStream) {
      this.progress.text += token.text
      return
    }
    this.writeChunk({ ...this.formatDelta(token.text), finish_reason: null })
  }

  override handleDone (): void {
    this.handleEnd()
    this.context.crashes.clear(this.fingerprint)
    this.context.metrics.count('requests_total{outcome="ok"}')
    this.record('request-done', `${this.progress.tokens} tokens`)
    this.progress.finishReason ??= 'length'
    if (this.completion.isStream) {
      this.writeChunk({ ...this.formatDelta(''), finish_reason: this.progress.finishReason })
      this.response.end('data: [DONE]\n\n')
      return
    }
    sendJson(this.response, 200, this.formatWhole(), { 'x-request-id': this.request })
  }

  override handleFailed (error: Error): void {
    this.handleEnd()
    const problem = createProblem(error)
    this.context.metrics.count(`requests_total{outcome="${problem.kind}"}`)
    this.record('request-failed', `${problem.kind}: ${error.message}`)
    if (!this.response.headersSent) {
      sendError(this.incoming, this.response, error)
      return
    }
    this.response.end(`event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`)
  }

  /** Ends the answer of a caller that has gone. */
  handleCancelled (): void {
    this.handleEnd()
  }

  override handleReplaced (lost: string[], cause: string): void {
    this.context.metrics.count('stages_replaced_total', lost.length)
    for (const endpoint of lost) this.context.journal.record({ name: 'stage-replaced', request: this.request, team: this.team, endpoint, detail: cause })
  }

  override handleCrash (endpoint: string): void {
    this.context.metrics.count('engine_crashes_total')
    this.context.journal.record({ name: 'engine-crashed', request: this.request, team: this.team, endpoint })
  }

  private record (name: string, detail: string): void {
    this.context.journal.record({ name, request: this.request, team: this.team, detail })
  }

  private writeChunk (choice: object): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, {
        'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': this.request
      })
    }
    const object = this.completion.form === CompletionForm.chat ? 'chat.completion.chunk' : 'text_completion'
    const chunk = { id: this.id, object, created: this.created, model: this.completion.model, choices: [{ index: 0, ...choice }] }
    const hasRoom = this.response.write(`data: ${JSON.stringify(chunk)}\n\n`)
    if (hasRoom) return
    this.run?.pause()
    this.response.once('drain', () => { this.run?.resume() })
  }

  private formatDelta (text: string): object {
    if (this.completion.form === CompletionForm.text) return { text }
    const isFirst = this.progress.tokens === 1
    return { delta: isFirst ? { role: 'assistant', content: text } : { content: text } }
  }

  private formatWhole (): object {
    const { text, tokens, finishReason } = this.progress
    const isChat = this.completion.form === CompletionForm.chat
    const choice = isChat ? { message: { role: 'assistant', content: text } } : { text }
    return {
      id: this.id,
      object: isChat ? 'chat.completion' : 'text_completion',
      created: this.created,
      model: this.completion.model,
      choices: [{ index: 0, ...choice, finish_reason: finishReason }],
      usage: { completion_tokens: tokens }
    }
  }
}

/** Answers completion requests. */
export class CompletionHandler {
  private readonly inFlight = new Map<string, number>()

  /**
   * @param context - parts of this process
   * @param manager - starts the runs
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
   * Answers one request.
   *
   * @param form - form of the request
   * @param team - the caller's team
   * @param body - the request's body
   * @throws what makes the request impossible to start
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
      throw createError(ErrorKind.quarantined, 'the same request crashed several endpoints before; change it')
    }
    this.checkLimit(team)
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

  private checkLimit (team: CallerTeam): void {
    const limit = team.terms.maxInFlight
    if (limit === undefined || this.countInFlight(team.name) < limit) return
    throw createError(ErrorKind.limited, `team "${team.name}" has ${limit} requests in flight at this entry, which is its limit`)
  }
}
