/**
 * Operators' calls: propose a plan, confirm it, see what is in force.
 */
import type { IncomingMessage } from 'node:http'
import * as z from 'zod'
import { PlanBook } from '@clementineloft/coordination'
import { createError, ErrorKind } from '@clementineloft/kernel'
import { checkDocument } from './check-document.js'
import { parseJson, readBody } from '../callers/http-server.js'
import { planIntent } from './intents/intent.js'
import type { NodeRuntime } from '../peers/node-runtime.js'
import './intents/endpoint-intents.js'
import './intents/team-intents.js'

const maxBodyBytes = 65_536
const proposalSchema = z.strictObject({ intent: z.string() })
const confirmationSchema = z.strictObject({ plan: z.string().regex(/^[\w-]+$/) })

const readWith = async <T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> => {
  const result = schema.safeParse(parseJson(await readBody(request, maxBodyBytes)))
  if (result.success) return result.data
  throw createError(ErrorKind.badRequest, `the body has faults: ${result.error.issues.map((issue) => issue.message).join('; ')}`)
}

/** Adds the operators' calls to the admin server of an entry. */
export const addOperatorRoutes = (runtime: NodeRuntime): void => {
  const { context, store, configRecord, admin } = runtime
  const { replica, clock, journal, log } = context
  const book = new PlanBook(store, configRecord, replica, clock, checkDocument)
  admin.addRoute('GET /config', () => ({ revision: replica.getRevision(), document: replica.getDocument() }))
  admin.addRoute('POST /plans', async (request) => {
    const { intent } = await readWith(request, proposalSchema)
    return await book.propose(intent, (document) => planIntent(intent, document))
  })
  admin.addRoute('POST /confirmations', async (request) => {
    const { plan } = await readWith(request, confirmationSchema)
    const revision = await book.confirm(plan)
    journal.record({ name: 'plan-confirmed', detail: `plan ${plan}, revision ${revision}` })
    log.info({ event: 'plan-confirmed', plan, revision })
    return { plan, revision }
  })
}
