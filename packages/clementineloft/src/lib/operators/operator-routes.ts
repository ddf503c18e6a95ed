/**
 * Operators' calls of the admin server: propose a plan, confirm it and show the current configuration.
 */
import type { IncomingMessage } from 'node:http'
import * as z from 'zod'
import { ConfigPlanner } from '@clementineloft/coordination'
import { createError, ErrorKind } from '@clementineloft/kernel'
import { checkDocument } from './check-document.js'
import { parseJson, readBody } from '../callers/http-server.js'
import { planIntent } from './intents/intent.js'
import type { ProcessRuntime } from '../peers/process-runtime.js'
import './intents/endpoint-intents.js'
import './intents/team-intents.js'

const maxBodyBytes = 65_536
const proposalSchema = z.strictObject({ intent: z.string() })
const confirmationSchema = z.strictObject({ plan: z.string().regex(/^[\w-]+$/) })

const readValidBody = async <T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> => {
  const result = schema.safeParse(parseJson(await readBody(request, maxBodyBytes)))
  if (result.success) return result.data
  throw createError(ErrorKind.badRequest, `request body is invalid: ${result.error.issues.map((issue) => issue.message).join('; ')}`)
}

/** Adds the operators' calls to the admin server of an entry. */
export const addOperatorRoutes = (runtime: ProcessRuntime): void => {
  const { context, store, configRecord, admin } = runtime
  const { replica, clock, journal, log } = context
  const planner = new ConfigPlanner(store, configRecord, replica, clock, checkDocument)
  admin.addRoute('GET /config', () => ({ revision: replica.getRevision(), document: replica.getDocument() }))
  admin.addRoute('POST /plans', async (request) => {
    const { intent } = await readValidBody(request, proposalSchema)
    return await planner.propose(intent, (document) => planIntent(intent, document))
  })
  admin.addRoute('POST /confirmations', async (request) => {
    const { plan } = await readValidBody(request, confirmationSchema)
    const revision = await planner.confirm(plan)
    journal.record({ name: 'plan-confirmed', detail: `plan ${plan}, revision ${revision}` })
    log.info({ event: 'plan-confirmed', plan, revision })
    return { plan, revision }
  })
}
