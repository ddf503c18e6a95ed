/**
 * HTTP client of the demo system: streams completions and verifies them, and calls plain services and operators' routes.
 */
import { computeAnswer } from './model-fold.js'
import { demoKey, demoModel } from './demo-fleet.js'

/** A streamed answer as received by the caller. */
export interface StreamedAnswer {
  request: string
  text: string
  /** Time from the request to each token, in milliseconds. */
  tokenMs: number[]
  finishReason: string | null
  error: string | undefined
  status: number
}

/** Streams a chat completion and collects the answer. */
export const streamChat = async (
  entryUrl: string,
  prompt: string,
  maxTokens: number,
  handleToken: (count: number) => void = () => {},
  key = demoKey
): Promise<StreamedAnswer> => {
  const startedMs = performance.now()
  const answer: StreamedAnswer = { request: '', text: '', tokenMs: [], finishReason: null, error: undefined, status: 0 }
  const response = await fetch(`${entryUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: demoModel, stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: prompt }] })
  })
  answer.status = response.status
  answer.request = response.headers.get('x-request-id') ?? ''
  if (response.status !== 200) return { ...answer, error: await response.text() }
  let buffered = ''
  const decoder = new TextDecoder()
  for await (const bytes of response.body as unknown as AsyncIterable<Uint8Array>) {
    buffered += decoder.decode(bytes, { stream: true })
    const events = buffered.split('\n\n')
    buffered = events.pop() as string
    for (const event of events) {
      if (event.startsWith('event: error')) answer.error = event
      if (!event.startsWith('data: {')) continue
      const [choice] = (JSON.parse(event.slice('data: '.length)) as {
        choices: Array<{ delta: { content: string }, finish_reason: string | null }>
      }).choices
      if (choice === undefined) continue
      answer.finishReason = choice.finish_reason
      if (choice.delta.content === '') continue
      answer.text += choice.delta.content
      answer.tokenMs.push(performance.now() - startedMs)
      handleToken(answer.tokenMs.length)
    }
  }
  return answer
}

/** @returns whether an answer equals an independent computation */
export const isCorrect = (answer: StreamedAnswer, prompt: string, layers: number, maxTokens: number): boolean =>
  answer.error === undefined && answer.text === computeAnswer(answer.request, `user: ${prompt}`, layers, maxTokens)

/** An answer of a plain service or an operators' route. */
export interface ServiceAnswer {
  status: number
  body: Record<string, unknown>
  durationMs: number
}

/** Calls a plain service. */
export const callService = async (
  entryUrl: string,
  method: string,
  path: string,
  body?: unknown,
  key?: string
): Promise<ServiceAnswer> => {
  const startedMs = performance.now()
  const response = await fetch(`${entryUrl}/services${path}`, {
    method,
    headers: { authorization: `Bearer ${demoKey}`, ...(key === undefined ? {} : { 'idempotency-key': key }) },
    ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
  const text = await response.text()
  const parsedBody = text === '' ? {} : JSON.parse(text) as Record<string, unknown>
  return { status: response.status, body: parsedBody, durationMs: performance.now() - startedMs }
}

/** Sends a POST request to an operators' route of an entry. */
export const callOperator = async (adminUrl: string, path: string, body: unknown): Promise<ServiceAnswer> => {
  const startedMs = performance.now()
  const response = await fetch(`${adminUrl}${path}`, { method: 'POST', body: JSON.stringify(body) })
  return { status: response.status, body: await response.json() as Record<string, unknown>, durationMs: performance.now() - startedMs }
}
