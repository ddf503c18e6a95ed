/**
 * Writes the answer to a completion request, as an event stream or as one JSON document.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { RunListener } from '@clementineloft/routing'
import type { PipelineRun, Token } from '@clementineloft/routing'
import { CompletionForm } from './completion-request.js'
import type { CompletionRequest } from './completion-request.js'
import { createProblem, sendError, sendJson } from './http-server.js'
import type { ProcessContext } from '../peers/process-context.js'

interface Progress {
  text: string
  tokens: number
  finishReason: 'stop' | 'length' | null
}

/** Writes the answer to one completion request and records its metrics and events. */
export class CompletionWriter extends RunListener {
  run: PipelineRun | undefined
  private readonly id: string
  private readonly created = Math.floor(Date.now() / 1000)
  private readonly progress: Progress = { text: '', tokens: 0, finishReason: null }
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
    this.lastTokenMs = context.clock.now()
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
    this.recordEvent('request-done', `${this.progress.tokens} tokens`)
    this.progress.finishReason ??= 'length'
    if (this.completion.isStream) {
      this.writeChunk({ ...this.formatDelta(''), finish_reason: this.progress.finishReason })
      this.response.end('data: [DONE]\n\n')
      return
    }
    sendJson(this.response, 200, this.formatCompletion(), { 'x-request-id': this.request })
  }

  override handleFailed (error: Error): void {
    this.handleEnd()
    const problem = createProblem(error)
    this.context.metrics.count(`requests_total{outcome="${problem.kind}"}`)
    this.recordEvent('request-failed', `${problem.kind}: ${error.message}`)
    if (!this.response.headersSent) {
      sendError(this.incoming, this.response, error)
      return
    }
    this.response.end(`event: error\ndata: ${JSON.stringify({ error: problem })}\n\n`)
  }

  /** Ends the answer to a caller that has disconnected. */
  handleCancelled (): void {
    this.handleEnd()
  }

  override handleStagesLost (lost: string[], cause: string): void {
    this.context.metrics.count('stages_replaced_total', lost.length)
    for (const endpoint of lost) this.context.journal.record({ name: 'stage-replaced', request: this.request, team: this.team, endpoint, detail: cause })
  }

  override handleCrash (endpoint: string): void {
    this.context.metrics.count('engine_crashes_total')
    this.context.journal.record({ name: 'engine-crashed', request: this.request, team: this.team, endpoint })
  }

  private recordEvent (name: string, detail: string): void {
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
    const canWriteMore = this.response.write(`data: ${JSON.stringify(chunk)}\n\n`)
    if (canWriteMore) return
    this.run?.pause()
    this.response.once('drain', () => { this.run?.resume() })
  }

  private formatDelta (text: string): object {
    if (this.completion.form === CompletionForm.text) return { text }
    const isFirst = this.progress.tokens === 1
    return { delta: isFirst ? { role: 'assistant', content: text } : { content: text } }
  }

  private formatCompletion (): object {
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
