/**
 * Parses completion requests of the OpenAI API.
 */
import * as z from 'zod'
import { createError, ErrorKind } from '@clementineloft/kernel'
import { parseJson } from './http-server.js'

const defaultMaxTokens = 256
const maxTokensLimit = 32_768
const maxNestingDepth = 32

const contentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() })).transform((parts) => parts.map((part) => part.text).join(''))
])
const commonShape = {
  model: z.string(),
  stream: z.boolean().nullish(),
  max_tokens: z.int().min(1).max(maxTokensLimit).nullish()
}
const chatSchema = z.object({
  ...commonShape,
  max_completion_tokens: z.int().min(1).max(maxTokensLimit).nullish(),
  messages: z.array(z.object({ role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']), content: contentSchema })).min(1)
})
const textSchema = z.object({ ...commonShape, prompt: z.string().min(1) })

/** The two forms of a completion request: chat messages, or a plain text prompt. */
export const CompletionForm = {
  chat: 'chat',
  text: 'text'
} as const
export type CompletionForm = typeof CompletionForm[keyof typeof CompletionForm]

/** A parsed completion request. */
export interface CompletionRequest {
  form: CompletionForm
  model: string
  prompt: string
  isStream: boolean
  maxTokens: number
}

/**
 * Refuses values nested so deeply that a recursive traversal would exhaust the stack.
 *
 * @throws `bad-request`
 */
const checkNesting = (value: unknown, depth = 0): void => {
  if (depth > maxNestingDepth) throw createError(ErrorKind.badRequest, `the request body is nested deeper than the limit of ${maxNestingDepth} levels`)
  if (typeof value !== 'object' || value === null) return
  for (const child of Object.values(value)) checkNesting(child, depth + 1)
}

const parseWith = <T>(schema: z.ZodType<T>, body: unknown): T => {
  const result = schema.safeParse(body)
  if (result.success) return result.data
  const issues = result.error.issues.map((issue) => `"${issue.path.join('.')}": ${issue.message}`)
  throw createError(ErrorKind.badRequest, `the request body is invalid: ${issues.join('; ')}`)
}

/**
 * Parses the body of a completion request.
 *
 * @param form - form of the request
 * @param bytes - body of the request
 * @returns the parsed request
 * @throws `bad-request` that lists every invalid field
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
